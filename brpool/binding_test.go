package brpool

import (
	"testing"
	"time"

	"bramleyroute/brwire"
)

// Guards against two faults of queued IDs when a VM fails that runs the pool's
// owner and an entry. In the first, a request queued at a running entry is refused
// although it can't have run. In the second, an ID is granted to another entry
// while its first entry, which is disconnected, may still report to the next owner
// that the ID is bound to it.
func TestBindingGolden(t *testing.T) {
	id := func(n int) string { return testID(start, n) }
	bound := submit("a", id(1), 2, 100).Submit
	bound.BoundEpoch = 2
	for name, list := range map[string][]timedEvent{
		"bound_after_takeover": {
			{0, announce("e1", "v1", 1, 10_000)}, {0, Takeover{Epoch: 3, Entries: []string{"a", "b"}}},
			{10, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 3, StartedAgo: time.Hour, Queued: []brwire.Submit{bound, submit("a", id(2), 2, 100).Submit}}}},
			{1900, Tick{}}, {2000, announce("e1", "v1", 2, 10_000)}, {2000, Tick{}},
		},
		"bound_while_disconnected": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10)}, {10, submit("a", id(1), 2, 100)}, {10, submit("a", id(2), 2, 100)},
			{100, EntryDisconnected{"a"}}, {200, submit("b", id(2), 2, 100)},
			{3000, EntryLost{"a"}}, {7000, announce("e1", "v1", 2, 10)}, {7000, Tick{}}, {7099, submit("b", id(2), 2, 100)},
			{7200, submit("b", id(2), 2, 100)},
		},
	} {
		t.Run(name, func(t *testing.T) { assertGolden(t, name, list) })
	}
}
