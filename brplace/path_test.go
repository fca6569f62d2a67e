package brplace

import (
	"fmt"
	"testing"
)

// TestLostPathSuspendsNoEndpoint guards against suspending sound endpoints because this
// daemon has lost its path to them: it could send nothing through other daemons then.
func TestLostPathSuspendsNoEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b", "c")
	for i := range 12 {
		s.Step(at(0), Submit{request(uint64(i+1), 0, 0)})
	}
	for i := range 3 {
		s.Step(at(100), Ended{ID: uint64(i + 1), Result: WrongAddress})
	}
	s.Step(at(200), PathLost{})
	var got []Effect
	for i := 3; i < 9; i++ {
		got = append(got, s.Step(at(250), Ended{ID: uint64(i + 1), Result: Failed})...)
	}
	for ms := 300; ms < 3000; ms += 50 {
		got = append(got, s.Step(at(ms), Tick{})...)
	}
	checkEffects(t, "failures of requests that ran when the path was lost", got)
	for _, id := range []string{"a", "b", "c"} {
		if e := s.endpoints[id]; !e.usable(at(3000)) || e.own.Failed > 1 {
			t.Errorf("endpoint %s: usable %v, %d failures published, want true and at most the one from before", id, e.usable(at(3000)), e.own.Failed)
		}
	}
}

// TestPartitionedPeersSuspendNoEndpoint guards against suspending sound endpoints because
// most of the daemons have lost their path to them and report failures.
func TestPartitionedPeersSuspendNoEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	report := func(ms int, peer string, ended, failed uint64) []Effect {
		return s.Step(at(ms), PeerReported{Daemon: peer, Report: Report{
			"a": {Active: 1, Ended: ended, Failed: failed}, "b": {Active: 1, Ended: ended},
		}})
	}
	var got []Effect
	for i := range 7 {
		peer := fmt.Sprint("p", i)
		report(0, peer, 0, 0)
		s.Step(at(10), PeerPartitioned{Daemon: peer, Partitioned: true})
		got = append(got, report(20, peer, 10, 10)...)
	}
	checkEffects(t, "failures at partitioned daemons", got)
	s.Step(at(30), PeerPartitioned{Daemon: "p0"})
	if got := report(40, "p0", 90, 90); len(got) != 1 {
		t.Errorf("effects %v of failures at a daemon with a path, want a suspension", got)
	}
}
