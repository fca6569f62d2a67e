package brplace

import (
	"testing"
	"time"
)

// TestResubmittedRequestMayWait guards against rejecting a request in the moment in which
// it is submitted again, because its first dispatch took longer than its MaxQueueTime.
func TestResubmittedRequestMayWait(t *testing.T) {
	full := Report{"b": {Active: 4}}
	for _, test := range []struct {
		name   string
		before func(s *State)
		free   Event // makes room 700 ms after the request was submitted again
	}{
		{"full", func(s *State) { s.Step(at(0), PeerReported{Daemon: "p", Report: full}) }, PeerReported{Daemon: "p", Report: Report{"b": {Ended: 4}}}},
		{"paused", func(s *State) { s.Step(at(1400), EndpointPaused{ID: "b", Duration: 700 * time.Millisecond}) }, Tick{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, freed := range []bool{true, false} {
				s := newState()
				addEndpoints(s, "a", "b")
				test.before(s)
				r := request(1, 0, 0)
				r.ExcludedEndpoints = []string{"a"}
				checkEffects(t, "submitted again", s.Step(at(1500), Submit{r}))
				checkEffects(t, "waits", s.Step(at(1550), Tick{}))
				if freed {
					checkEffects(t, "room", s.Step(at(2200), test.free), "dispatch 1 b")
					continue
				}
				s.Step(at(1600), PeerReported{Daemon: "p", Report: full})
				checkEffects(t, "still waits", s.Step(at(2650), Tick{}))
				checkEffects(t, "maximum wait exceeded", s.Step(at(2700), Tick{}), "reject 1 waited")
			}
		})
	}
}
