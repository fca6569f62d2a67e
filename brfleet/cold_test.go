package brfleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brtest"
)

// TestColdHeartbeats guards against a heartbeat that isn't published although the endpoint
// has turned cold, and against one record for each heartbeat of a cold endpoint.
func TestColdHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name       string
		last, next Announcement
		age        time.Duration
		want       bool
	}{
		{"warm", Announcement{}, Announcement{}, time.Second, false},
		{"turned cold", Announcement{}, Announcement{ColdTime: 3 * time.Second}, time.Second, true},
		{"still cold", Announcement{ColdTime: 3 * time.Second}, Announcement{ColdTime: 1900 * time.Millisecond}, time.Second, false},
		{"cold again", Announcement{ColdTime: 3 * time.Second}, Announcement{ColdTime: 3 * time.Second}, time.Second, true},
		{"warm before", Announcement{ColdTime: 3 * time.Second}, Announcement{}, time.Second, true},
		{"warm by now", Announcement{ColdTime: 3 * time.Second}, Announcement{}, 4 * time.Second, false},
		{"stated", Announcement{ColdUnstated: true}, Announcement{}, time.Second, true},
		{"not stated", Announcement{ColdTime: 3 * time.Second}, Announcement{ColdUnstated: true}, time.Second, false},
	} {
		if got := test.next.coldDiffers(test.last, test.age); got != test.want {
			t.Errorf("%s: differs: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestEndpointTurnsColdForAllDaemons guards against daemons that send more to an endpoint
// than it takes because they don't hear that it has turned cold without a new start, or
// start only while it is cold.
func TestEndpointTurnsColdForAllDaemons(t *testing.T) {
	const (
		daemons  = 5
		rate     = 2                     // requests/s that the endpoint takes while it is cold
		allowed  = 8                     // 1.5 x rate + 5
		contact  = time.Second           // until all daemons have heard of it
		window   = time.Second           // of the check
		interval = 10 * time.Millisecond // between two requests
	)
	c := newCluster(t, daemons, 3)
	var policy brpolicy.Policy
	if err := json.Unmarshal(testPolicy(t, 1), &policy); err != nil {
		t.Fatal(err)
	}
	policy.Services[0].ColdRate, policy.Services[0].ColdStart = rate, 3*time.Second
	body, err := json.Marshal(policy)
	if err != nil {
		t.Fatal(err)
	}
	c.putBody(0, 1, body)
	c.awaitInForce(1)
	endpoints := map[string]*limitedEndpoint{"cold": {}, "other": {}}
	announcements := map[string]Announcement{}
	for id, e := range endpoints {
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		announcements[id] = Announcement{
			Endpoint: brplace.Endpoint{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 8}, Born: 1,
		}
	}
	announce := func(daemon int, id string, sequence uint64, cold time.Duration) {
		t.Helper()
		a := announcements[id]
		a.Sequence, a.ColdTime = sequence, cold
		if err := c.fleets[daemon].Announce(t.Context(), a); err != nil {
			t.Fatal(err)
		}
	}
	for id := range endpoints {
		announce(0, id, 1, 0)
	}
	awaitKnown := func() {
		t.Helper()
		for _, f := range c.fleets {
			c.await("endpoints are known", func() bool { return f.endpoints.count() == len(endpoints) })
		}
	}
	awaitKnown()
	send := func(d time.Duration) (from time.Time) {
		t.Helper()
		from = time.Now()
		for i := 0; time.Since(from) < d; i++ {
			if status, _ := sendParts(t, c.fleets[i%daemons]); status != http.StatusOK {
				t.Fatalf("status %d, want 200: the other endpoint has room", status)
			}
			time.Sleep(interval)
		}
		return from
	}
	if n := endpoints["cold"].arrived(send(contact)); n <= allowed {
		t.Fatalf("%d requests reach the warm endpoint, want it in use", n)
	}
	announce(1, "cold", 2, time.Minute)
	c.stop(daemons - 1)
	c.start(daemons-1, false)
	c.awaitInForce(1)
	awaitKnown()
	send(contact)
	used := 0
	for range 4 {
		n := endpoints["cold"].arrived(send(window))
		if used += n; n > allowed {
			t.Errorf("%d requests in %v reach a cold endpoint, want at most %d", n, window, allowed)
		}
	}
	if used == 0 {
		t.Error("no request reaches the cold endpoint, want nearly what it takes")
	}
	announce(2, "cold", 3, 0)
	brtest.Await(t, 10*time.Second, "endpoint is in use again", func() bool { return endpoints["cold"].arrived(send(window)) > allowed })
}
