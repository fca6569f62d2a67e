package brdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/brpool"
	"bramleyroute/brsetting"
	"bramleyroute/brstate"
	"bramleyroute/brtest"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

const (
	testModel    = "model-a"
	testService  = "bookings"
	testCustomer = "customer-key-0001"
	testPeerKey  = "peer-key-00000001"
	testTimeout  = 20 * time.Second
)

// cluster is a set of daemons in this process, each with a path of its own to the
// endpoints.
type cluster struct {
	t        *testing.T
	daemons  []*Daemon
	networks []*endpointNetwork
	fakes    []*brfake.Endpoint
	servers  []*httptest.Server // of fakes
}

// startCluster starts n daemons, three of them control replicas, and waits until all
// accept work. All are entries, and all but the last one are schedulers.
func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	var peers []brsetting.ControlPeer
	var listeners []net.Listener
	for i := range n {
		listeners = append(listeners, listen(t))
		if i < 3 {
			peers = append(peers, brsetting.ControlPeer{DaemonID: fmt.Sprint("vm", i), Address: listeners[i].Addr().String()})
		}
	}
	for i, l := range listeners {
		s := brsetting.Settings{
			DaemonID: fmt.Sprint("vm", i), Roles: []brwire.Role{brwire.RoleEntry}, Region: "local", FailureDomain: "a", ControlPeers: peers,
			PeerKeys: []string{testPeerKey}, MaxBodyBytes: 1 << 20, EntryBufferRequests: 1000, EntryBufferBytes: 1 << 24,
			StallTimeout: time.Second, StuckTimeout: time.Minute, TimelineEvents: 10_000, LeaseDuration: 3 * time.Second,
		}
		if i < n-1 {
			s.Roles = append(s.Roles, brwire.RoleScheduler)
		}
		if i < len(peers) {
			s.Roles, s.DataDir = append(s.Roles, brwire.RoleControl), t.TempDir()
		}
		w := &endpointNetwork{}
		d, err := Start(s, Options{
			Log: zerolog.Nop(), Fatal: func(err error) { t.Error(err) }, DialEndpoint: w.dial, PeerListener: l, CallerListener: listen(t),
		})
		if err != nil {
			t.Fatal(err)
		}
		c.daemons, c.networks = append(c.daemons, d), append(c.networks, w)
	}
	t.Cleanup(c.close)
	c.configure()
	for _, d := range c.daemons {
		brtest.Await(t, testTimeout, d.self.ID+" is ready", func() bool {
			return d.ready() == nil && d.session.currentView().ConfigurationRevision > 0
		})
	}
	return c
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (c *cluster) close() {
	for _, w := range c.networks {
		w.set(connected)
	}
	for _, f := range c.fakes {
		f.Close()
	}
	var wg sync.WaitGroup
	for _, d := range c.daemons {
		wg.Go(func() { _ = d.Close() })
	}
	wg.Wait()
}

// configure applies a configuration with an engine's model and a service.
func (c *cluster) configure() {
	c.t.Helper()
	doc := brconfig.Document{
		Models: []brconfig.Model{{Name: testModel, Kind: "engine"}, {Name: testService, Kind: "service"}},
		Templates: []brconfig.Template{{Name: "visits", Routes: []brconfig.Route{
			{Name: "question", Model: testModel, Tier: 1, FirstTokenMS: 1000, DeadlineMS: 3000},
			{Name: "lookup", Model: testService, Tier: 2, FirstTokenMS: 1000, DeadlineMS: 3000},
		}}},
		Customers: []brconfig.Customer{{Name: "trust", Template: "visits", Keys: []string{testCustomer}}},
	}
	d := c.daemons[0]
	brtest.Await(c.t, testTimeout, "first daemon is ready", func() bool { return d.ready() == nil })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	revision := d.session.currentView().ConfigurationRevision
	if _, err := d.session.propose(ctx, brstate.Command{
		ID: uuid.NewString(), PutConfiguration: &brstate.PutConfiguration{Expected: revision, Document: &doc},
	}); err != nil {
		c.t.Fatal(err)
	}
}

// addEndpoints starts n endpoints that announce themselves to one daemon, and waits until
// their pool has an owner that knows them and that all daemons know. The last one serves version v2, the others v1.
func (c *cluster) addEndpoints(n int, config brfake.Config) {
	c.t.Helper()
	config.Region, config.FailureDomain, config.CapacityTokens = "local", "a", 65536
	config.Daemons = []string{c.daemons[len(c.daemons)-1].self.PeerAddress}
	for i := range n {
		config.Version = "v1"
		if i == n-1 {
			config.Version = "v2"
		}
		server := httptest.NewUnstartedServer(nil)
		config.EndpointID, config.Address = fmt.Sprint(config.Model, i), server.Listener.Addr().String()
		f := brfake.New(config)
		server.Config.Handler, server.Config.ConnContext = f.Handler(), f.ConnContext
		server.Start()
		c.t.Cleanup(server.Close)
		c.fakes, c.servers = append(c.fakes, f), append(c.servers, server)
	}
	brtest.Await(c.t, testTimeout, "endpoints of "+config.Model+" are in use", func() bool {
		r := c.owner(config.Model)
		if r == nil {
			return false
		}
		s, ok := r.status()
		known := func(d *Daemon) bool {
			o, _ := d.session.currentView().Owner(r.name)
			return o.Holder == r.daemon.self.ID
		}
		return ok && len(s.Endpoints) == n && !slices.ContainsFunc(c.daemons, func(d *Daemon) bool { return !known(d) })
	})
}

// owner returns the runner of the pool of a model at its owner, or nil.
func (c *cluster) owner(model string) *poolRunner {
	for _, d := range c.daemons {
		if d.scheduler == nil {
			continue
		}
		if r := d.scheduler.find(brwire.PoolName(model, "local")); r != nil && r.heldEpoch() != 0 {
			return r
		}
	}
	return nil
}

// address returns the address of an endpoint added by addEndpoints.
func (c *cluster) address(model string, n int) string {
	r := c.owner(model)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[fmt.Sprint(model, n)].Address
}

// rollOut sends a share of the requests to version v2 of a model.
func (c *cluster) rollOut(model string, perMille int) {
	target := brpool.Target{Route: "question", FirstToken: 500 * time.Millisecond}
	c.owner(model).post(brpool.SetRollouts{Rollouts: []brpool.Rollout{
		{ID: "rollout-" + model, Old: "v1", New: "v2", PerMille: perMille, Targets: []brpool.Target{target}},
	}})
}

// events returns the events of some kinds on all daemons.
func (c *cluster) events(kinds ...brtimeline.Kind) (found []brtimeline.Event) {
	for _, d := range c.daemons {
		for _, e := range d.recorder.Events(brtimeline.Filter{}) {
			if slices.Contains(kinds, e.Kind) {
				found = append(found, e)
			}
		}
	}
	return found
}

// checkRuns fails the test if an endpoint or several have got a request twice.
func (c *cluster) checkRuns() {
	c.t.Helper()
	runs := map[string]int{}
	for _, f := range c.fakes {
		for id, n := range f.Counts().Requests {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			c.t.Errorf("request %s reached the endpoints %d times, want once", id, n)
		}
	}
}

// served counts the requests at an entry.
type served struct{ sent, ok int }

func (s served) rate() float64 { return float64(s.ok) / float64(max(1, s.sent)) }

// load sends a request each interval to each daemon for the given time, and returns the
// results by daemon when all requests have ended.
func (c *cluster) load(duration, interval time.Duration, send func(d *Daemon, n int) bool) []served {
	results := make([]served, len(c.daemons))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, d := range c.daemons {
		wg.Go(func() {
			for from, n := time.Now(), 0; time.Since(from) < duration; n++ {
				wg.Go(func() {
					ok := send(d, n)
					mu.Lock()
					defer mu.Unlock()
					results[i].sent++
					if ok {
						results[i].ok++
					}
				})
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return results
}

// complete sends a completion request to an entry and reports whether it was answered in
// full.
func complete(d *Daemon, _ int) bool {
	body, err := json.Marshal(brengine.Completion{Model: testModel, Prompt: "a short question", MaxTokens: 8, Stream: true, Route: "question"})
	if err != nil {
		panic(err)
	}
	status, answer := exchange(d, brengine.PathCompletions, "", body)
	return status == http.StatusOK && strings.Contains(answer, brengine.DoneMarker)
}

// lookUp calls the plain service and reports whether it has answered. Calls with the same
// number are equal.
func lookUp(d *Daemon, n int) bool {
	status, _ := exchange(d, brengine.PathServices+testService+"/visits", "lookup", fmt.Append(nil, "visit ", n))
	return status == http.StatusOK
}

// exchange sends a request to an entry and returns the status and the body of the
// response. The status is 0 if there is none.
func exchange(d *Daemon, path, route string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.self.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+testCustomer)
	if route != "" {
		r.Header.Set(brengine.HeaderRoute, route)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(answer)
	}
	return response.StatusCode, string(answer)
}
