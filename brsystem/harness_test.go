package brsystem

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brconfig"
	_ "bramleyroute/brdaemon" // makes go test discard cached results after a change of the daemon
	"bramleyroute/brerror"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brtest"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	operatorKey = "operator-key-0001"
	customerKey = "customer-key-0001"
	otherKey    = "customer-key-0002"
	model       = "model-a"
	service     = "bookings"
	region      = "local"
)

var (
	binaries string // directory with the built programs
	keepLogs = flag.Bool("keep-logs", false, "print the processes' logs also for tests that pass")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "brsystem-")
	if err == nil {
		binaries = dir
		build := exec.Command("go", "build", "-o", dir+"/", "bramleyroute/cmd/bramleyroute", "bramleyroute/cmd/bramleyctl", "bramleyroute/cmd/brfake")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "brsystem: build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a bramleyroute process.
type daemon struct {
	process
	id                     string
	peer, caller, operator string // listen addresses
	advertised             string // peer address that other daemons dial
	dir                    string
	proxy                  *toxiproxy.Proxy // in front of peer; set with spec.proxied
	linkProxy              *linkProxy       // in front of peer; set with spec.partitions
}

// cluster is a set of daemons and fake endpoints on loopback.
type cluster struct {
	t       *testing.T
	spec    spec
	dir     string
	daemons []*daemon
	fakes   []*fake
	proxies *toxiproxy.ApiServer
	key     string // operator key; empty means operatorKey
}

// spec describes the daemons of a cluster.
type spec struct {
	daemons  int  // number of daemons
	controls int  // number of daemons, the first ones, with the control role
	proxied  bool // links between daemons pass through one proxy for each daemon
	// partitions gives each ordered pair of daemons a proxy of its own, so that a
	// daemon can be isolated from the others.
	partitions bool
	// controlOnly gives the daemons with the control role no other role.
	controlOnly bool
	domains     []string // failure domains, assigned in turn; nil means a, b, c
	document    *brconfig.Document
	settings    map[string]string // additional settings of every daemon, by name without the prefix BRAMLEYROUTE_
}

// newCluster starts a cluster, waits until every daemon is ready, and applies
// the configuration. It stops the cluster at the end of the test.
func newCluster(t *testing.T, s spec) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts whole processes")
	}
	acquireProcesses(t, s.daemons+fakesPerCluster)
	c := &cluster{t: t, spec: s, dir: t.TempDir()}
	c.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	for i := range s.daemons {
		d := &daemon{id: fmt.Sprintf("vm%d", i), peer: brtest.FreeAddress(t), caller: brtest.FreeAddress(t), operator: brtest.FreeAddress(t)}
		d.dir = filepath.Join(c.dir, d.id)
		d.advertised = d.peer
		if s.proxied {
			d.proxy = c.newProxy("peer-"+d.id, d.peer)
			d.advertised = d.proxy.Listen
		}
		if s.partitions {
			d.linkProxy = c.newLinkProxy(d)
			d.advertised = d.linkProxy.listener.Addr().String()
		}
		c.daemons = append(c.daemons, d)
	}
	for i, d := range c.daemons {
		d.process = c.newProcess(d.id, binaries+"/bramleyroute")
		d.env = c.environment(i, d)
	}
	for _, d := range c.daemons {
		d.start()
	}
	t.Cleanup(c.close)
	for _, d := range c.daemons {
		c.waitReady(d)
	}
	c.putConfig(document(s.document))
	return c
}

const (
	maxProcesses    = 40 // in all clusters that run at the same time
	fakesPerCluster = 2  // fake endpoints counted for each cluster
)

var (
	processSlots = make(chan struct{}, maxProcesses)
	acquireMutex sync.Mutex // held while a cluster acquires its slots, so that no two clusters wait for each other with some of them
)

// acquireProcesses acquires n process slots, waiting for them if necessary, and
// releases them at the end of the test.
func acquireProcesses(t *testing.T, n int) {
	acquireMutex.Lock()
	defer acquireMutex.Unlock()
	for range n {
		processSlots <- struct{}{}
	}
	t.Cleanup(func() {
		for range n {
			<-processSlots
		}
	})
}

// environment returns the settings of the i-th daemon as environment variables.
func (c *cluster) environment(i int, d *daemon) []string {
	roles := "entry,scheduler"
	if i < c.spec.controls {
		roles += ",control"
		if c.spec.controlOnly {
			roles = "control"
		}
	}
	domains := c.spec.domains
	if domains == nil {
		domains = []string{"a", "b", "c"}
	}
	var peers []string
	for _, p := range c.daemons[:c.spec.controls] {
		peers = append(peers, p.id+"="+p.advertised)
	}
	env := []string{}
	for name, v := range map[string]string{
		"DAEMON_ID": d.id, "ROLES": roles, "REGION": region, "FAILURE_DOMAIN": domains[i%len(domains)],
		"CALLER_ADDRESS": d.caller, "PEER_ADDRESS": d.peer, "OPERATOR_ADDRESS": d.operator, "ADVERTISED_PEER_ADDRESS": d.advertised,
		"CONTROL_PEERS": strings.Join(peers, ","), "DATA_DIR": d.dir, "PEER_KEYS": "peer-key-00000001", "OPERATOR_KEYS": operatorKey,
		"LOG_LEVEL": "debug",
	} {
		env = append(env, "BRAMLEYROUTE_"+name+"="+v)
	}
	for name, v := range c.spec.settings {
		env = append(env, "BRAMLEYROUTE_"+name+"="+v)
	}
	return env
}

func (c *cluster) newProcess(name string, args ...string) process {
	logs, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	return process{t: c.t, name: name, args: args, logs: logs, pid: new(atomic.Int64)}
}

func (c *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(c.proxies, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Stop)
	return p
}

// block makes a proxy discard the data of one direction on open and new
// connections without closing them. The direction "upstream" is towards the
// process behind the proxy, "downstream" away from it.
func (c *cluster) block(p *toxiproxy.Proxy, direction string) {
	c.t.Helper()
	_, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":"cut-%s","type":"timeout","stream":%q,"toxicity":1,"attributes":{"timeout":0}}`, direction, direction)))
	if err != nil {
		c.t.Fatal(err)
	}
}

// unblock ends the effect of block in both directions.
func (c *cluster) unblock(p *toxiproxy.Proxy) {
	p.Toxics.ResetToxics(context.Background())
}

// close kills all processes. If the test failed, it prints the end of each
// daemon's log.
func (c *cluster) close() {
	for _, f := range c.fakes {
		f.kill()
	}
	for _, d := range c.daemons {
		d.kill()
	}
	if !c.t.Failed() && !*keepLogs {
		return
	}
	for _, d := range c.daemons {
		if b, err := os.ReadFile(d.logs.Name()); err == nil {
			c.t.Logf("log of %s:\n%s", d.id, tail(b, 60))
		}
	}
}

func tail(b []byte, lines int) []byte {
	all := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	return bytes.Join(all[max(0, len(all)-lines):], []byte("\n"))
}

func (c *cluster) waitReady(d *daemon) {
	c.t.Helper()
	c.eventually(d.id+" ready", func() bool {
		res, err := http.Get("http://" + d.operator + "/readyz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

const eventuallyTimeout = 30 * time.Second

// eventually polls until ok returns true and fails the test after
// eventuallyTimeout. It polls because the tests have no notification of state
// changes in other processes.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	brtest.Await(c.t, eventuallyTimeout, what, ok)
}

// callOperator calls the operator interface of a daemon.
func callOperator[Req, Resp any](d *daemon, method, path string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return broperator.Call[Req, Resp](ctx, "http://"+d.operator, brpeer.Keys{operatorKey}, method, path, req)
}

// putConfig replaces the configuration regardless of its current revision. It
// fails the test if the document is invalid.
func (c *cluster) putConfig(doc brconfig.Document) {
	c.t.Helper()
	c.eventually("configuration accepted", func() bool {
		now, err := callOperator[broperator.Empty, broperator.Config](c.daemons[0], "GET", broperator.PathConfig, broperator.Empty{})
		if err != nil {
			return false
		}
		_, err = callOperator[broperator.PutConfig, broperator.Accepted](c.daemons[0], "PUT", broperator.PathConfig,
			broperator.PutConfig{ExpectedRevision: now.Revision, Document: doc})
		if brerror.Is(err, brerror.InvalidRequest) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

// pools returns the pools according to the first daemon that responds.
func (c *cluster) pools() []broperator.Pool {
	for _, d := range c.daemons {
		if p, err := callOperator[broperator.Empty, []broperator.Pool](d, "GET", broperator.PathPools, broperator.Empty{}); err == nil {
			return p
		}
	}
	return nil
}

// endpointState returns the state of an endpoint in its pool, or an empty string
// if no pool has it.
func (c *cluster) endpointState(id string) string {
	for _, p := range c.pools() {
		for _, e := range p.Endpoints {
			if e.ID == id {
				return e.State
			}
		}
	}
	return ""
}

// owner waits until the pool of a model has a reachable owner and returns it.
func (c *cluster) owner(name string) *daemon {
	c.t.Helper()
	var found *daemon
	c.eventually("owner of "+name, func() bool {
		for _, p := range c.pools() {
			for _, d := range c.daemons {
				if p.Name == name+"@"+region && p.Reachable && p.Owner == d.id {
					found = d
				}
			}
		}
		return found != nil
	})
	return found
}

// document returns *d, or the default configuration of the tests if d is nil.
func document(d *brconfig.Document) brconfig.Document {
	if d != nil {
		return *d
	}
	return brconfig.Document{
		Models: []brconfig.Model{{Name: model, Kind: "engine"}, {Name: service, Kind: "service"}},
		Templates: []brconfig.Template{{Name: "visits", Routes: []brconfig.Route{
			{Name: "question", Model: model, Tier: 1, FirstTokenMS: 410, TokenMS: 28, DeadlineMS: 8000},
			{Name: "draft", Model: model, Tier: 4, FirstTokenMS: 5000, DeadlineMS: 20000, MaxTokens: 100_000},
			{Name: "book", Model: service, Tier: 1, FirstTokenMS: 1000, DeadlineMS: 8000, NonIdempotent: true},
			{Name: "lookup", Model: service, Tier: 2, FirstTokenMS: 1000, DeadlineMS: 8000},
		}}},
		Customers: []brconfig.Customer{
			{Name: "trust", Template: "visits", Keys: []string{customerKey}},
			{Name: "other", Template: "visits", Keys: []string{otherKey}},
		},
	}
}
