package brfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brcore"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brproxy"
	"bramleyroute/brtest"

	"github.com/rs/zerolog"
)

// cluster is a fleet of daemons on loopback. The first ones have a disk.
type cluster struct {
	t         *testing.T
	addresses []string
	dirs      []string // empty for a daemon without a disk
	fleets    []*Fleet // nil while stopped
}

func newCluster(t *testing.T, daemons, disks int) *cluster {
	t.Helper()
	c := &cluster{t: t, fleets: make([]*Fleet, daemons)}
	for i := range daemons {
		c.addresses = append(c.addresses, brtest.FreeAddress(t))
		dir := ""
		if i < disks {
			dir = filepath.Join(t.TempDir(), "data")
		}
		c.dirs = append(c.dirs, dir)
	}
	for i := range daemons {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.fleets {
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	f, err := Start(Config{
		ID: fmt.Sprint("d", i), Address: c.addresses[i], FailureDomain: "z", Dir: c.dirs[i], Tolerance: 1, Bootstrap: bootstrap,
		Seeds: func() []string { return c.addresses[:3] },
		Dialect: brproxy.Dialect{
			Decode: func(r *http.Request) (brproxy.CallParams, error) {
				return brproxy.CallParams{ID: r.Header.Get("Id")}, nil
			},
			EncodeHeader: func(in http.Header, _ brproxy.DispatchParams) http.Header { return in },
			NotRun:       func(*brconn.Response) bool { return false },
			Misdirected:  func(*brconn.Response) bool { return false },
			Leaving:      func(res *brconn.Response) bool { return res.Header.Get("Leaving") != "" },
		},
		DecodePolicy: func(body []byte) (brpolicy.Policy, error) {
			var p brpolicy.Policy
			err := json.Unmarshal(body, &p)
			return p, err
		},
		Log: zerolog.Nop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.fleets[i] = f
}

func (c *cluster) stop(i int) {
	if c.fleets[i] != nil {
		c.fleets[i].Close()
		c.fleets[i] = nil
	}
}

func testPolicy(t *testing.T, version uint64) []byte {
	t.Helper()
	body, err := json.Marshal(brpolicy.Policy{
		Version: version, Services: []brpolicy.Service{{Name: "s"}},
		Routes: []brpolicy.Route{{
			Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Timeout: time.Second, FirstByteTarget: time.Second,
			Targets: []brpolicy.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// put sends a policy to daemon i and retries until it is acknowledged, as an
// operator does.
func (c *cluster) put(i int, version uint64) {
	c.t.Helper()
	c.await(fmt.Sprintf("policy %d acknowledged", version), func() bool {
		err := c.fleets[i].PutPolicy(context.Background(), testPolicy(c.t, version))
		if err != nil && !errors.Is(err, brcore.ErrUnavailable) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

// await polls a condition that spans several daemons, since no single event
// signals it.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	deadline := time.After(20 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-deadline:
			c.t.Fatalf("timed out: %s", what)
		}
	}
}

func (c *cluster) awaitInForce(version uint64) {
	c.t.Helper()
	for i, f := range c.fleets {
		if f == nil {
			continue
		}
		c.await(fmt.Sprintf("policy %d in force at daemon %d", version, i), func() bool {
			t := f.Proxy().Table()
			return t != nil && t.Policy().Version == version
		})
	}
}

// read returns the policy version that daemon i reads, or 0 if it can't confirm
// the newest one.
func (c *cluster) read(i int) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	d, err := c.fleets[i].Policy(ctx)
	if err != nil {
		return 0
	}
	return d.Version
}

// TestPolicyReachesAll guards against an acknowledged policy that is not put in
// force at daemons without a disk, and against an older policy that replaces a
// newer one.
func TestPolicyReachesAll(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.put(4, 3)
	c.awaitInForce(3)
	c.put(0, 2)
	c.put(3, 8)
	c.awaitInForce(8)
	for i := range c.fleets {
		if v := c.read(i); v != 8 {
			t.Errorf("daemon %d reads policy version %d, want 8", i, v)
		}
	}
	var invalid *InvalidError
	if err := c.fleets[0].PutPolicy(context.Background(), []byte("{")); !errors.As(err, &invalid) {
		t.Errorf("put of a malformed policy: got %v, want an InvalidError", err)
	}
}

// TestAllDaemonsRestart guards against the loss of an acknowledged policy when all
// daemons are down at the same time.
func TestAllDaemonsRestart(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 5)
	for i := range c.fleets {
		c.stop(i)
	}
	for i := range c.fleets {
		c.start(i, false)
	}
	c.awaitInForce(5)
	if v := c.read(3); v != 5 {
		t.Errorf("policy version %d after the restart, want 5", v)
	}
}

// TestLostDisks guards against a group that loses an acknowledged policy when a
// second disk fails right after the first was replaced.
func TestLostDisks(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	for lost := range 3 {
		c.stop(lost)
		if err := os.RemoveAll(c.dirs[lost]); err != nil {
			t.Fatal(err)
		}
		c.start(lost, false)
		c.await("replica with a new disk is a voter again", func() bool {
			st, ok := c.fleets[lost].core.Status()
			return ok && st.Membership.Voters() == 3 && st.Membership.IsVoter(st.ID)
		})
		version := uint64(lost + 2)
		c.put((lost+1)%3, version)
		c.awaitInForce(version)
	}
	if v := c.read(3); v != 4 {
		t.Errorf("policy version %d after three lost disks, want 4", v)
	}
}

// TestReplacedReplica guards against a group that keeps a permanently lost replica
// as a member next to its successor at another address.
func TestReplacedReplica(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(1, 1)
	c.stop(0)
	c.dirs[3] = filepath.Join(t.TempDir(), "data")
	c.stop(3)
	c.start(3, false)
	c.await("successor replaces the lost replica as a voter", func() bool {
		st, ok := c.fleets[3].core.Status()
		return ok && st.Membership.Voters() == 3 && st.Membership.IsVoter(st.ID)
	})
	c.stop(1)
	c.put(2, 2)
	c.awaitInForce(2)
}

// TestNoMajority guards against reads of the policy and acknowledgements of a new
// one while only a minority of the replicas runs: the minority can't determine the
// newest policy.
func TestNoMajority(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	c.awaitInForce(1)
	c.stop(0)
	c.stop(1)
	c.await("no daemon confirms the newest policy", func() bool { return c.read(2) == 0 && c.read(3) == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.fleets[3].PutPolicy(ctx, testPolicy(t, 9)); !errors.Is(err, brcore.ErrUnavailable) {
		t.Errorf("put without a majority: got %v, want ErrUnavailable", err)
	}
	if v := c.fleets[3].Proxy().Table().Policy().Version; v != 1 {
		t.Errorf("policy version %d in force, want 1", v)
	}
}

// TestEndpointsReachAll guards against an endpoint that is known only to the daemon
// that it announced itself to, and against late messages, or messages of a former
// endpoint at the same address, that replace newer data.
func TestEndpointsReachAll(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.await("links", func() bool {
		for _, f := range c.fleets {
			if len(f.node.LinkedAddresses()) < 2 {
				return false
			}
		}
		return true
	})
	announce := func(i int, a Announcement) {
		t.Helper()
		if err := c.fleets[i].Announce(a); err != nil {
			t.Fatal(err)
		}
	}
	e := Announcement{
		Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 2}, Born: 100, Sequence: 4,
	}
	leaving := e
	leaving.Endpoint.Leaving, leaving.Sequence = true, 5
	announce(0, e)
	announce(1, leaving)
	announce(2, e) // older than the record of the leaving endpoint
	successor := Announcement{
		Endpoint: brplace.Endpoint{ID: "n", Service: "s", Address: "10.0.0.1:1", Slots: 2}, Born: 200, Sequence: 1,
	}
	known := func(f *Fleet) map[string]bool {
		f.endpoints.mu.Lock()
		defer f.endpoints.mu.Unlock()
		all := map[string]bool{}
		for id, a := range f.endpoints.announcements {
			all[id] = a.Endpoint.Leaving
		}
		return all
	}
	for _, f := range c.fleets {
		c.await("endpoint is leaving", func() bool { return known(f)["e"] })
	}
	announce(1, successor)
	delayed := e
	delayed.Sequence = 7
	announce(2, delayed) // from the former endpoint at the address
	for _, f := range c.fleets {
		c.await("successor replaces the former endpoint", func() bool {
			all := known(f)
			_, former := all["e"]
			_, present := all["n"]
			return present && !former
		})
	}
	if err := c.fleets[0].Withdraw("n"); err != nil {
		t.Fatal(err)
	}
	for _, f := range c.fleets {
		c.await("successor is withdrawn", func() bool { return known(f)["n"] })
	}
}

// get sends a request of testPolicy's route through a daemon and returns the status.
func get(t *testing.T, front *httptest.Server) int {
	t.Helper()
	r, err := http.NewRequest("GET", front.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// TestLeavingResponseReachesAll guards against daemons that go on sending requests to
// an endpoint that told only one of them, in a response, that it is leaving.
func TestLeavingResponseReachesAll(t *testing.T) {
	c := newCluster(t, 3, 3)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		io.WriteString(w, "ok")
	}))
	defer endpoint.Close()
	c.put(0, 1)
	c.awaitInForce(1)
	a := Announcement{
		Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 4}, Born: 1, Sequence: 1,
	}
	announce := func(i int) {
		t.Helper()
		if err := c.fleets[i].Announce(a); err != nil {
			t.Fatal(err)
		}
	}
	awaitLeaving := func(what string, want bool) {
		t.Helper()
		for _, f := range c.fleets {
			c.await(what, func() bool {
				f.endpoints.mu.Lock()
				defer f.endpoints.mu.Unlock()
				a, ok := f.endpoints.announcements["e"]
				return ok && a.Endpoint.Leaving == want
			})
		}
	}
	announce(1)
	awaitLeaving("endpoint is known", false)
	front := httptest.NewServer(c.fleets[2].Proxy())
	defer front.Close()
	get(t, front)
	awaitLeaving("endpoint is leaving", true)
	a.Sequence = 9
	announce(0)
	awaitLeaving("heartbeat of the same start changes nothing", true)
	a.Born, a.Sequence = 2, 1
	announce(0)
	awaitLeaving("endpoint has started again", false)
}

// TestWithdrawalOutlivesItsRecord guards against using a withdrawn endpoint again
// because of a heartbeat that arrives after the record of the withdrawal has expired.
func TestWithdrawalOutlivesItsRecord(t *testing.T) {
	var g registry
	a := Announcement{Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:1", Slots: 2}, Born: 100, Sequence: 4}
	g.update(a)
	withdrawn := a
	withdrawn.Endpoint.Leaving, withdrawn.Sequence = true, withdrawnSequence
	g.update(withdrawn)
	g.remove("e")
	a.Sequence = 5
	if u := g.update(a); !u.endpoint.Leaving {
		t.Error("heartbeat of the withdrawn start: the endpoint is in use again, want leaving")
	}
	a.Born, a.Sequence = 101, 1
	if u := g.update(a); u.endpoint.Leaving {
		t.Error("heartbeat of the next start: the endpoint is leaving, want in use")
	}
}

// TestUnchangedHeartbeatsAreNotPublished guards against sending every heartbeat to
// every daemon, which costs endpoints times daemons messages, and against dropping
// a heartbeat that contains a change.
func TestUnchangedHeartbeatsAreNotPublished(t *testing.T) {
	c := newCluster(t, 3, 1)
	f := c.fleets[0]
	a := Announcement{Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 2}, Born: 7, Sequence: 1}
	published := func() uint64 {
		t.Helper()
		if err := f.Announce(a); err != nil {
			t.Fatal(err)
		}
		r, ok := f.node.Get(kindEndpoint + "/e")
		if !ok {
			t.Fatal("no record of the announced endpoint")
		}
		return r.Version.Seq
	}
	steps := []struct {
		name   string
		change func()
		want   uint64
	}{
		{"first", func() {}, 1},
		{"unchanged", func() { a.Sequence = 2 }, 1},
		{"more slots", func() { a.Sequence, a.Endpoint.Slots = 3, 4 }, 3},
		{"older heartbeat", func() { a.Sequence, a.Endpoint.Slots = 2, 2 }, 3},
		{"after a restart", func() { a.Born, a.Sequence = 8, 1 }, 1},
	}
	for _, step := range steps {
		step.change()
		if got := published(); got != step.want {
			t.Errorf("%s: published sequence %d, want %d", step.name, got, step.want)
		}
	}
}

// TestServeWhileReplicasFail guards against requests that depend on a replica: they
// are served while every replica is down.
func TestServeWhileReplicasFail(t *testing.T) {
	c := newCluster(t, 4, 3)
	var served atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		io.WriteString(w, "ok")
	}))
	defer endpoint.Close()
	c.put(3, 1)
	c.awaitInForce(1)
	err := c.fleets[0].Announce(Announcement{
		Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 4}, Born: 1, Sequence: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	f := c.fleets[3]
	c.await("endpoint is known", func() bool { return f.endpoints.count() == 1 })
	front := httptest.NewServer(f.Proxy())
	defer front.Close()
	for i := range 3 {
		c.stop(i)
		if status := get(t, front); status != http.StatusOK {
			t.Errorf("status %d after the loss of %d replicas, want 200", status, i+1)
		}
	}
	if served.Load() != 3 {
		t.Errorf("%d requests reached the endpoint, want 3", served.Load())
	}
}
