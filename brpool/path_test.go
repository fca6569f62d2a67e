package brpool

import (
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
)

// TestLostPathBlamesNothing guards against taking the reports of entries that have lost
// their path to the endpoints for faults of a sound endpoint, of a sound request or of a
// sound version. Without the marks of the path, the same reports must blame them.
func TestLostPathBlamesNothing(t *testing.T) {
	type blame struct{ HalfOpen, Quarantined, Stopped bool }
	for _, test := range []struct {
		name     string
		done     brwire.Done // nothing is reported if Kind is 0
		pathLost bool        // before the end of the request
		want     blame
	}{
		{"dial failed", brwire.Done{Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable}, false, blame{HalfOpen: true}},
		{"dial failed, path too", brwire.Done{Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable, PathFailed: true}, false, blame{}},
		{"lost", brwire.Done{Outcome: brerror.Unknown, Kind: brerror.EndpointFailed, EndpointLost: true}, false, blame{Quarantined: true, Stopped: true}},
		{"lost, path too", brwire.Done{Outcome: brerror.Unknown, Kind: brerror.EndpointFailed, EndpointLost: true, PathFailed: true}, false, blame{}},
		{"silent", brwire.Done{}, false, blame{HalfOpen: true, Stopped: true}},
		{"silent, path too", brwire.Done{}, true, blame{}},
		{"slow", brwire.Done{OK: true, Outcome: brerror.Ran, OutputTokens: 9, FirstToken: 70 * time.Millisecond, Duration: 150 * time.Millisecond}, false, blame{Stopped: true}},
		{"slow, path too", brwire.Done{OK: true, Outcome: brerror.Ran, OutputTokens: 9, FirstToken: 70 * time.Millisecond, Duration: 150 * time.Millisecond}, true, blame{}},
	} {
		p := newPool(brwire.KindEngine)
		step(t, p, 0, Takeover{Epoch: 1})
		for _, e := range []string{"e1", "e2", "e3", "e4"} {
			step(t, p, 0, announce(e, "v2", 1, 10_000))
		}
		step(t, p, 0, SetRollouts{[]Rollout{{ID: "ro", Old: "v1", New: "v2", PerMille: 1000,
			Targets: []Target{{Route: submit("a", testID(start, 1), 2, 100).Submit.Route, FirstToken: 50 * time.Millisecond}}}}})
		var got blame
		apply := func(ms int, ev Event) (grants []brwire.Grant) {
			for _, e := range step(t, p, ms, ev) {
				switch e := e.(type) {
				case SendGrant:
					grants = append(grants, e.Grant)
				case NoteEndpoint:
					got.HalfOpen = got.HalfOpen || e.State == "half_open"
				case NoteQuarantine:
					got.Quarantined = true
				case VersionStopped:
					got.Stopped = true
				}
			}
			return grants
		}
		for n := range 16 {
			ms := 10 * n
			ev := submit("a", testID(start, n+1), 2, 100)
			ev.Submit.Fingerprint = "the same"
			for _, g := range apply(ms, ev) {
				if test.done.Outcome != brerror.NotRun || test.done.Kind == 0 {
					apply(ms, Started{"a", brwire.Started{RequestID: g.RequestID, Epoch: 1, Number: g.Number}})
				}
				if test.pathLost {
					apply(ms, PathLost{"a", brwire.PathLost{RequestID: g.RequestID}})
				}
				if d := test.done; d.OK || d.Kind != 0 {
					d.RequestID, d.Epoch, d.Number = g.RequestID, 1, g.Number
					apply(ms, Done{"a", d})
				}
			}
		}
		for ms := 200; ms < 2900; ms += 100 {
			apply(ms, Tick{})
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: blamed (-want +got):\n%s", test.name, diff)
		}
	}
}
