package brfleet

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"bramleyroute/brplace"
)

// TestEndpointsReachAll guards against an endpoint that is known only to the daemon
// that it announced itself to, and against late messages, or messages of a former
// endpoint at the same address, that replace newer data.
func TestEndpointsReachAll(t *testing.T) {
	c := newCluster(t, 3, 3)
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
		if err := c.fleets[i].Announce(t.Context(), a); err != nil {
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
	if err := c.fleets[0].Withdraw(t.Context(), "n"); err != nil {
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
		if err := c.fleets[i].Announce(t.Context(), a); err != nil {
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
		if err := f.Announce(t.Context(), a); err != nil {
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

// TestLeavingResponseOfFormerStart guards against an endpoint that is never used again
// after a restart, because a response of its former start arrives late and says that it
// is leaving.
func TestLeavingResponseOfFormerStart(t *testing.T) {
	f := newCluster(t, 1, 1).fleets[0]
	announce := func(born uint64) {
		t.Helper()
		if err := f.Announce(t.Context(), Announcement{Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 4}, Born: born, Sequence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	announce(1)
	announce(2)
	f.endpointLeaving(brplace.Endpoint{ID: "e", Born: 1})
	if _, serving := f.endpoints.serving("e"); !serving {
		t.Error("the new start is marked as leaving by a response of the former one")
	}
	f.endpointLeaving(brplace.Endpoint{ID: "e", Born: 2})
	if _, serving := f.endpoints.serving("e"); serving {
		t.Error("the endpoint isn't marked as leaving by its own response")
	}
}
