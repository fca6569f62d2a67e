package brplace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPausedEndpoint guards against sending requests to an endpoint that has asked for
// a pause, and against using it no more after the pause.
func TestPausedEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), EndpointPaused{ID: "a", Duration: 2 * time.Second})
	s.Step(at(1), EndpointPaused{ID: "a", Duration: time.Second}) // doesn't end the first pause
	for id := uint64(1); id <= 2; id++ {
		checkEffects(t, "during the pause", s.Step(at(1), Submit{request(id, 0, 1)}), "dispatch "+string(rune('0'+id))+" b")
	}
	s.Step(at(1500), PeerReported{Daemon: "p", Report: Report{"b": {Active: 4}}})
	checkEffects(t, "end of the pause", s.Step(at(2000), Submit{request(3, 0, 2000)}), "dispatch 3 a")
}

// TestAllEndpointsPaused guards against holding requests that no endpoint takes in
// time: those that arrive and those that wait are rejected at once with the time until
// the first pause ends. A request that may wait until then waits.
func TestAllEndpointsPaused(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 4}, "b": {Active: 4}}})
	checkEffects(t, "full", s.Step(at(0), Submit{request(1, 1, 0)}))
	checkEffects(t, "one is paused", s.Step(at(100), EndpointPaused{ID: "a", Duration: 5 * time.Second}))
	got := s.Step(at(100), EndpointPaused{ID: "b", Duration: 3 * time.Second})
	want := []Effect{Reject{ID: 1, Reason: Paused, RetryAfter: 3 * time.Second, Waiting: 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("waiting request: %s", diff)
	}
	got = s.Step(at(600), Submit{request(2, 0, 600)})
	want = []Effect{Reject{ID: 2, Reason: Paused, RetryAfter: 2500 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("new request: %s", diff)
	}
	s.Step(at(2000), PeerLost{Daemon: "p"})
	checkEffects(t, "short rest of the pause", s.Step(at(2500), Submit{request(3, 0, 2500)}))
	checkEffects(t, "end of the pause", s.Step(at(3100), Tick{}), "dispatch 3 b")
}

// TestRetryAfterMaxQueueTime guards against rejecting a request as paused that is sent
// again after its MaxQueueTime, while an endpoint has room and none is paused.
func TestRetryAfterMaxQueueTime(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	r := request(1, 0, 0)
	r.ExcludedEndpoints = []string{"a"}
	checkEffects(t, "retry", s.Step(at(1300), Submit{r}), "dispatch 1 b")
}
