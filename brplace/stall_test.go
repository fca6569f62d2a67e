package brplace

import "testing"

// TestBusyEndpointIsNotStalled guards against suspending an endpoint under overload
// because a request waits there for longer than stallTimeout, while other requests
// make progress. An endpoint that sends nothing at all is suspended.
func TestBusyEndpointIsNotStalled(t *testing.T) {
	for _, test := range []struct {
		name     string
		progress func(s *State, ms int) // applied every 200 ms
		want     []string
	}{
		{"nothing", func(*State, int) {}, []string{"suspend a silent"}},
		{"events of another stream", func(s *State, ms int) { s.Step(at(ms), Progressed{ID: 1}) }, nil},
		{"responses to another daemon", func(s *State, ms int) {
			s.Step(at(ms), PeerReported{Daemon: "p", Report: Report{"a": {Active: 1, Ended: uint64(ms)}}})
		}, nil},
		{"failures at another daemon", func(s *State, ms int) {
			s.Step(at(ms), PeerReported{Daemon: "p", Report: Report{"a": {Active: 1, Ended: uint64(ms), Failed: uint64(ms)}}})
		}, []string{"suspend a silent"}},
	} {
		s := newState()
		addEndpoints(s, "a")
		s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 1, Ended: 1}}})
		s.Step(at(0), Submit{request(1, 0, 0)})
		s.Step(at(100), FirstByte{ID: 1})
		s.Step(at(100), Submit{request(2, 0, 100)})
		var got []Effect
		for ms := 200; ms <= 1400; ms += 200 {
			test.progress(s, ms)
			got = append(got, s.Step(at(ms), Tick{})...)
		}
		checkEffects(t, test.name, got, test.want...)
	}
}
