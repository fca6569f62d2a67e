package brplace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLongPromptsStayWithinMemory guards against endpoints that crash, since the daemons of a
// fleet, which know each other's requests late, together send them more than their memory, and
// against a bound that costs callers much while there is room.
func TestLongPromptsStayWithinMemory(t *testing.T) {
	kinds := []streamKind{
		{rank: 0, perEndpoint: 0.5, prompt: 30000, events: 20, target: 3 * time.Second, deadline: 12 * time.Second, worth: 2, lateWorth: 0.5},
		{rank: 1, perEndpoint: 1, prompt: 1800, events: 20, target: time.Second, deadline: 6 * time.Second, worth: 1, lateWorth: 0.3},
	}
	for name, f := range map[string]fleetReplay{
		"small": {daemons: 8, endpoints: 12, reportInterval: 20 * time.Millisecond, reportDelay: 5 * time.Millisecond},
		"large": {daemons: 84, endpoints: 30, reportInterval: 336 * time.Millisecond, reportDelay: 20 * time.Millisecond},
	} {
		f.slots, f.memory, f.kinds, f.spread, f.stepped, f.duration = 6, 284396, kinds, 0.5, true, 30*time.Second
		t.Run(name, func(t *testing.T) {
			for _, f.load = range []float64{1.5, 3} {
				f.limitMemory = false
				before := f.run()
				f.limitMemory = true
				after := f.run()
				t.Logf("load %.1f: %d of %d dispatches beyond the memory, %v; with the bound %d, %v", f.load, before.overfull, before.streams, before, after.overfull, after)
				if after.overfull > 0 || f.load == 3 && before.overfull < 50 {
					t.Errorf("%d dispatches beyond the memory, %d without the bound", after.overfull, before.overfull)
				}
				if after.part() < 0.95*before.part() {
					t.Errorf("earned %.3f, %.3f without the bound", after.part(), before.part())
				}
			}
		})
	}
}

// TestTooLargeForMemory guards against a request that no endpoint can hold crashing one after
// the other, and against one that fits alone being refused or sent to an endpoint in use.
func TestTooLargeForMemory(t *testing.T) {
	s := New(Config{Daemon: "d", Random: func() float64 { return 0 }})
	s.Step(start, EndpointChanged{Endpoint{ID: "e", Service: "s", Slots: 4}})
	s.Step(start, MemoryLimitsChanged{map[string]int{"s": 1000}})
	var got [][]Effect
	for i, prompt := range []int{951, 950, 10} {
		got = append(got, s.Step(start, Submit{Request{
			ID: uint64(i), Service: "s", Stream: true, PromptTokens: prompt, OutputTokens: 50,
			FirstByteDue: start.Add(time.Second), Deadline: start.Add(3 * time.Second), MaxQueueTime: time.Second,
		}}))
	}
	got = append(got, s.Step(start, Ended{ID: 1, Result: Succeeded}))
	e := Endpoint{ID: "e", Service: "s", Slots: 4}
	want := [][]Effect{{Reject{ID: 0, Reason: TooLarge, RetryAfter: maxRetryAfter, FreeSlots: 4}}, {Dispatch{ID: 1, Endpoint: e}}, nil, {Dispatch{ID: 2, Endpoint: e}}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
