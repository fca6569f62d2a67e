package brsystem

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
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
	_ "bramleyroute/brdaemon" // or go test would show kept results after a change of the daemon
	"bramleyroute/brerror"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"

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
	binaries string // folder of the built programs
	keepLogs = flag.Bool("keep-logs", false, "print the processes' logs of passing tests too")
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
	nextPort.Store(rand.Uint32N(portCount)) // other runs may be under way
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a bramleyroute process.
type daemon struct {
	process
	id                     string
	peer, caller, operator string // addresses that it listens on
	advertised             string // peer address that others dial
	dir                    string
	proxy                  *toxiproxy.Proxy // in front of peer, with spec.proxied
	front                  *front           // in front of peer, with spec.partitions
}

// cluster is a set of daemons and endpoints on loopback.
type cluster struct {
	t       *testing.T
	spec    spec
	dir     string
	daemons []*daemon
	fakes   []*fake
	proxies *toxiproxy.ApiServer
	key     string // of the operators; empty means operatorKey
}

// spec says what a cluster consists of.
type spec struct {
	daemons  int // the first of them have the control role too
	controls int
	proxied  bool // peer links between daemons go through proxies
	// partitions gives each pair of daemons a proxy of its own, so that a daemon
	// can be cut off from others.
	partitions bool
	// controlOnly leaves the daemons with the control role without other roles.
	controlOnly bool
	domains     []string // failure domains in turn; nil means a, b, c
	document    *brconfig.Document
	settings    map[string]string // further settings of every daemon, by name without the prefix
}

func newCluster(t *testing.T, s spec) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts whole processes")
	}
	takeProcesses(t, s.daemons+fakesPerCluster)
	c := &cluster{t: t, spec: s, dir: t.TempDir()}
	c.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	for i := range s.daemons {
		d := &daemon{id: fmt.Sprintf("vm%d", i), peer: freeAddress(t), caller: freeAddress(t), operator: freeAddress(t)}
		d.dir = filepath.Join(c.dir, d.id)
		d.advertised = d.peer
		if s.proxied {
			d.proxy = c.newProxy("peer-"+d.id, d.peer)
			d.advertised = d.proxy.Listen
		}
		if s.partitions {
			d.front = c.newFront(d)
			d.advertised = d.front.listener.Addr().String()
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
	maxProcesses    = 40 // of all clusters that run at the same time
	fakesPerCluster = 2
)

var (
	processes = make(chan struct{}, maxProcesses)
	taking    sync.Mutex // one cluster at a time takes its share, so that none waits with a part of it
)

// takeProcesses waits until n more processes may run, for the time of the test.
func takeProcesses(t *testing.T, n int) {
	taking.Lock()
	defer taking.Unlock()
	for range n {
		processes <- struct{}{}
	}
	t.Cleanup(func() {
		for range n {
			<-processes
		}
	})
}

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

// cut makes a proxy swallow what goes through it in one direction ("upstream" is
// towards the process behind it), on open and on new connections, silently.
func (c *cluster) cut(p *toxiproxy.Proxy, direction string) {
	c.t.Helper()
	_, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":"cut-%s","type":"timeout","stream":%q,"toxicity":1,"attributes":{"timeout":0}}`, direction, direction)))
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) heal(p *toxiproxy.Proxy) {
	p.Toxics.ResetToxics(context.Background())
}

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

// eventually polls until ok. The state of other processes has no channel to wait
// on.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %v", what, eventuallyTimeout)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// operate calls a daemon's operators' interface.
func operate[Req, Resp any](d *daemon, method, path string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return broperator.Call[Req, Resp](ctx, "http://"+d.operator, brpeer.Keys{operatorKey}, method, path, req)
}

// putConfig replaces the configuration, whatever its revision is.
func (c *cluster) putConfig(doc brconfig.Document) {
	c.t.Helper()
	c.eventually("configuration accepted", func() bool {
		now, err := operate[broperator.Empty, broperator.Config](c.daemons[0], "GET", broperator.PathConfig, broperator.Empty{})
		if err != nil {
			return false
		}
		_, err = operate[broperator.PutConfig, broperator.Accepted](c.daemons[0], "PUT", broperator.PathConfig,
			broperator.PutConfig{ExpectedRevision: now.Revision, Document: doc})
		if brerror.Is(err, brerror.InvalidRequest) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

func (c *cluster) pools() []broperator.Pool {
	for _, d := range c.daemons {
		if p, err := operate[broperator.Empty, []broperator.Pool](d, "GET", broperator.PathPools, broperator.Empty{}); err == nil {
			return p
		}
	}
	return nil
}

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

// owner returns the daemon that owns the pool of a model.
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
