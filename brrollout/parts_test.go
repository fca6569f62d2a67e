package brrollout

import (
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brwire"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against an order that is sent to an endpoint without fencing while the
// former owner could still send one, or on top of one of its loads.
func TestOrderPlan(t *testing.T) {
	lease := simStart.Add(3 * time.Second)
	order := brengine.Order{Version: "v2"}
	tests := []struct {
		name string
		plan OrderPlan
		now  time.Time
		want OrderStep
	}{
		{"checks fencing", OrderPlan{ChecksFencing: true, FormerLeaseBy: lease}, simStart, OrderStep{Action: OrderSend}},
		{"first owner", OrderPlan{}, simStart, OrderStep{Action: OrderSend}},
		{"lease runs", OrderPlan{FormerLeaseBy: lease}, simStart, OrderStep{OrderWait, lease}},
		{"not read", OrderPlan{FormerLeaseBy: lease}, lease, OrderStep{Action: OrderRead}},
		{"loads it", OrderPlan{FormerLeaseBy: lease, Read: &brengine.State{Version: "v1", Loading: "v2"}}, lease, OrderStep{Action: OrderDone}},
		{"loads other", OrderPlan{FormerLeaseBy: lease, Read: &brengine.State{Version: "v2", Loading: "v1"}}, lease, OrderStep{Action: OrderHold}},
		{"serves old", OrderPlan{FormerLeaseBy: lease, Read: &brengine.State{Version: "v1"}}, lease, OrderStep{Action: OrderSend}},
	}
	for _, c := range tests {
		c.plan.Order = order
		if diff := cmp.Diff(c.want, c.plan.Next(c.now)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Guards against loads that together exceed the weight store's rate or the
// number of concurrent loads.
func TestBudget(t *testing.T) {
	b := Budget{BytesPerSecond: 100, Concurrent: 4}.Divide(2)
	taken := 0
	for i := range 101 {
		var ok bool
		if b, ok = b.Take(simStart.Add(time.Duration(i)*time.Second), 0, 500); ok {
			taken++
		}
	}
	if taken != 11 { // 100 s at 50 bytes/s, and the first at once
		t.Errorf("%d loads of 500 bytes in 100 s at 50 bytes/s, want 11", taken)
	}
	if _, ok := b.Take(simStart.Add(time.Hour), 2, 1); ok {
		t.Error("third concurrent load was allowed, want at most 2")
	}
}

// Guards against a state that a new owner cannot continue from, an order of the
// new owner without its token, and a Step that changes its argument.
func TestResumeFromStored(t *testing.T) {
	targets := []Target{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1", ChecksFencing: true}}
	st, _ := Step(State{}, simStart, Started{RolloutID: "r", OldVersion: "v1", NewVersion: "v2", FinishBy: simStart.Add(time.Hour), FencingToken: 1, Endpoints: targets})
	st, first := Step(st, simStart.Add(time.Second), Tick{})
	if diff := cmp.Diff([]string{"a/1"}, orders(first)); diff != "" {
		t.Fatal(diff)
	}
	stored, err := brwire.Encode(st)
	if err != nil {
		t.Fatal(err)
	}
	back, err := brwire.Decode[State](stored)
	if err != nil {
		t.Fatal(err)
	}
	lease := simStart.Add(4 * time.Second)
	back, _ = Step(back, simStart.Add(2*time.Second), Resumed{FencingToken: 2, FormerLeaseBy: lease})
	var seen []string
	for i := 3; i < 20; i++ {
		var out []Effect
		back, out = Step(back, simStart.Add(time.Duration(i)*time.Second), Tick{})
		for _, e := range out {
			if r, ok := e.(ReadState); ok {
				seen = append(seen, "read "+r.EndpointID)
				back, _ = Step(back, simStart.Add(time.Duration(i)*time.Second), StateRead{brengine.State{EndpointID: "a", Version: "v1"}})
			}
		}
		seen = append(seen, orders(out)...)
	}
	if len(seen) < 2 || seen[0] != "read a" || seen[1] != "a/2" {
		t.Errorf("new owner did %v, want the read of a and then its order with token 2", seen)
	}
	again, err := brwire.Encode(st)
	if err != nil || !cmp.Equal(stored, again) {
		t.Error("Step changed the state that it was given", err)
	}
}

func orders(effects []Effect) []string {
	var ids []string
	for _, e := range effects {
		if p, ok := e.(PlaceOrder); ok {
			ids = append(ids, p.EndpointID+"/"+string(rune('0'+p.Order.FencingToken)))
		}
	}
	return ids
}

// Guards against loads that leave the old version without the capacity for the
// present work, and against a failure domain that is emptied first.
func TestMovesKeepCapacity(t *testing.T) {
	var targets []Target
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		targets = append(targets, Target{ID: id, FailureDomain: id[:1], CapacityTokens: 100, Version: "v1"})
	}
	st, _ := Step(State{}, simStart, Started{RolloutID: "r", OldVersion: "v1", NewVersion: "v2", FinishBy: simStart.Add(time.Hour), Endpoints: targets})
	st.Smoothed = 260
	if _, out := Step(st, simStart, Tick{}); len(orders(out)) != 0 {
		t.Errorf("orders %v with 260 of 400 tokens outstanding, want none", orders(out))
	}
	st.Smoothed, st.Stage = 100, 5
	st, _ = Step(st, simStart, Tick{})
	st, _ = Step(st, simStart, VersionReady{"a1", "v2"})
	if _, out := Step(st, simStart, Tick{}); !cmp.Equal(orders(out), []string{"b1/0"}) {
		t.Errorf("second order %v, want b1 of the other failure domain", orders(out))
	}
}

// Guards against a judge that blames the new version for what hits both: over
// 200 sequences of equal but changing rates at most one may be called worse.
func TestJudgeOnEqualRates(t *testing.T) {
	worse := 0
	for i := range uint64(200) {
		s := newSim(kind{name: "good but noisy", noisy: true}, i, Policy{})
		j := Judge{OldVersion: "v1", NewVersion: "v2"}
		for range 600 {
			s.now = s.now.Add(time.Second)
			s.burst = max(0, s.burst-1)
			if s.rng.IntN(100) == 0 {
				s.burst = 20
			}
			j = j.Add(s.now, s.sample(1, "v1", poisson(s.rng, 20), s.load(), 0)).Add(s.now, s.sample(1, "v2", poisson(s.rng, 5), s.load(), 0)).Close(s.now)
			if j.Verdict().Worse {
				worse++
				break
			}
		}
	}
	if worse > 1 {
		t.Errorf("%d of 200 equal versions were called worse, want at most 1 at alpha 0.001", worse)
	}
}

// Guards against a second or late outcome, a share after taking back and a share
// above the stage's, under any order of events and after any resumption.
func TestAnyEventsKeepOutcome(t *testing.T) {
	ids, versions := []string{"a", "b", "c", "d"}, []string{"v1", "v2"}
	rapid.Check(t, func(t *rapid.T) {
		now, share, outcome := simStart, 0, Pending
		start := Started{RolloutID: "r", OldVersion: "v1", NewVersion: "v2", FinishBy: simStart.Add(time.Hour)}
		for _, id := range ids {
			start.Endpoints = append(start.Endpoints, Target{ID: id, Version: "v1", ChecksFencing: id < "c"})
		}
		st, _ := Step(State{}, now, start)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "seconds")) * time.Second)
			id, v := rapid.SampledFrom(ids).Draw(t, "id"), rapid.SampledFrom(versions).Draw(t, "version")
			n := rapid.IntRange(0, 50).Draw(t, "requests")
			ev := rapid.SampledFrom([]Event{Tick{}, Tick{}, Tick{}, start, VersionReady{id, v}, EndpointLost{id}, LoadFailed{id, v},
				EndpointSeen{Target{ID: id, Version: v}}, OrderResult{id, "r/" + id + "/v2/1", OrderRefused}, Resumed{FormerLeaseBy: now.Add(time.Second)},
				StateRead{brengine.State{EndpointID: id, Version: v}}, Samples{brwire.Samples{RolloutID: "r", Version: v, Requests: n, Errors: n / 9}}, Tripped{}}).Draw(t, "event")
			var effects []Effect
			st, effects = Step(st, now, ev)
			for _, e := range effects {
				switch e := e.(type) {
				case SetShare:
					share = e.PerMille
				case Finish:
					if outcome != Pending && e.Outcome != outcome || e.Outcome == Finished && e.At.After(st.FinishBy) {
						t.Fatalf("outcome %v at %v after %v", e.Outcome, e.At, outcome)
					}
					outcome = e.Outcome
				}
			}
			_, isTick := ev.(Tick)
			if isTick && !now.Before(st.FinishBy) && outcome == Pending || outcome == TakenBack && share != 0 ||
				outcome == Pending && share > stages[st.Stage].PerMille || outcome != st.Phase && st.Ended() {
				t.Fatalf("outcome %q with share %d at stage %d, phase %q at %v", outcome, share, st.Stage, st.Phase, now)
			}
		}
	})
}

func BenchmarkStepSamples(b *testing.B) {
	s := newSim(kinds[9], 1, Policy{})
	st, ev := s.result().state, Samples{s.sample(1, "v1", 20, 0.5, 0.5)}
	st.Phase = Running
	b.ReportAllocs()
	for b.Loop() {
		st, _ = Step(st, s.now, ev)
	}
}

// Guards against a short rollout in which no sample is weighed because the fixed
// times outlast its stages, and against changed times in one of full length.
func TestScaled(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct{ length, want time.Duration }{
		{time.Hour, settleTime},
		{shortLength, settleTime},
		{2 * time.Minute, 2 * time.Second},
		{30 * time.Second, leastTime},
	} {
		s := State{StartedAt: start, FinishBy: start.Add(c.length)}
		if got := s.scaled(settleTime); got != c.want {
			t.Errorf("settle time in %v: %v, want %v", c.length, got, c.want)
		}
		if lead := s.FinishBy.Sub(s.finishAt()); lead < leastTime {
			t.Errorf("%v before finish_by in %v, which a tick may miss", lead, c.length)
		}
	}
}
