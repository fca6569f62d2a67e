package brrollout

import (
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brwire"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestOrderPlan guards against an order to an endpoint without fencing that is sent
// while the former owner could still send one, or while the endpoint is loading for
// the former owner.
func TestOrderPlan(t *testing.T) {
	lease := simStart.Add(3 * time.Second)
	order := brengine.Order{Version: "v2"}
	tests := []struct {
		name string
		plan OrderPlan
		now  time.Time
		want OrderStep
	}{
		{"endpoint checks fencing", OrderPlan{ChecksFencing: true, FormerLeaseEnd: lease}, simStart, OrderStep{Action: OrderSend}},
		{"first owner", OrderPlan{}, simStart, OrderStep{Action: OrderSend}},
		{"former lease not ended", OrderPlan{FormerLeaseEnd: lease}, simStart, OrderStep{OrderWait, lease}},
		{"state not read", OrderPlan{FormerLeaseEnd: lease}, lease, OrderStep{Action: OrderRead}},
		{"loading the ordered version", OrderPlan{FormerLeaseEnd: lease, Read: &brengine.State{Version: "v1", Loading: "v2"}}, lease, OrderStep{Action: OrderDone}},
		{"loading another version", OrderPlan{FormerLeaseEnd: lease, Read: &brengine.State{Version: "v2", Loading: "v1"}}, lease, OrderStep{Action: OrderHold}},
		{"serving the old version", OrderPlan{FormerLeaseEnd: lease, Read: &brengine.State{Version: "v1"}}, lease, OrderStep{Action: OrderSend}},
	}
	for _, c := range tests {
		c.plan.Order = order
		if diff := cmp.Diff(c.want, c.plan.Next(c.now)); diff != "" {
			t.Errorf("%s: next step (-want +got): %s", c.name, diff)
		}
	}
}

// TestBudget guards against loads that together exceed the weight store's rate or
// the number of concurrent loads.
func TestBudget(t *testing.T) {
	b := Budget{BytesPerSecond: 100, MaxConcurrent: 4}.Divide(2)
	started := 0
	for i := range 101 {
		var ok bool
		if b, ok = b.Take(simStart.Add(time.Duration(i)*time.Second), 0, 500); ok {
			started++
		}
	}
	if started != 11 { // 10 within 100 s at 50 bytes/s, after an immediate first one
		t.Errorf("%d loads of 500 bytes in 100 s at 50 bytes/s, want 11", started)
	}
	if _, ok := b.Take(simStart.Add(time.Hour), 2, 1); ok {
		t.Error("third concurrent load was allowed, want at most 2 loads")
	}
}

// TestResumeFromStored guards against a stored state from which a new owner cannot
// continue, an order of the new owner without its fencing token, and a Step that
// modifies its argument.
func TestResumeFromStored(t *testing.T) {
	targets := []Target{{ID: "a", Version: "v1"}, {ID: "b", Version: "v1", ChecksFencing: true}}
	st, _ := Step(State{}, simStart, Started{RolloutID: "r", OldVersion: "v1", NewVersion: "v2", FinishBy: simStart.Add(time.Hour), FencingToken: 1, Endpoints: targets})
	st, first := Step(st, simStart.Add(time.Second), Tick{})
	if diff := cmp.Diff([]string{"a/1"}, placedOrders(first)); diff != "" {
		t.Fatal(diff)
	}
	stored, err := brwire.Encode(st)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := brwire.Decode[State](stored)
	if err != nil {
		t.Fatal(err)
	}
	lease := simStart.Add(4 * time.Second)
	restored, _ = Step(restored, simStart.Add(2*time.Second), Resumed{FencingToken: 2, FormerLeaseEnd: lease})
	var actions []string
	for i := 3; i < 20; i++ {
		var out []Effect
		restored, out = Step(restored, simStart.Add(time.Duration(i)*time.Second), Tick{})
		for _, e := range out {
			if r, ok := e.(ReadState); ok {
				actions = append(actions, "read "+r.EndpointID)
				restored, _ = Step(restored, simStart.Add(time.Duration(i)*time.Second), StateRead{brengine.State{EndpointID: "a", Version: "v1"}})
			}
		}
		actions = append(actions, placedOrders(out)...)
	}
	if len(actions) < 2 || actions[0] != "read a" || actions[1] != "a/2" {
		t.Errorf("new owner: got effects %v, want a read of endpoint a and then an order to it with token 2", actions)
	}
	again, err := brwire.Encode(st)
	if err != nil || !cmp.Equal(stored, again) {
		t.Error("Step modified its argument; encoding error:", err)
	}
}

func placedOrders(effects []Effect) []string {
	var ids []string
	for _, e := range effects {
		if p, ok := e.(PlaceOrder); ok {
			ids = append(ids, p.EndpointID+"/"+string(rune('0'+p.Order.FencingToken)))
		}
	}
	return ids
}

// TestLoadsKeepCapacity guards against loads that leave the old version without the
// capacity for the current work, and against taking all endpoints of one failure
// domain first.
func TestLoadsKeepCapacity(t *testing.T) {
	var targets []Target
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		targets = append(targets, Target{ID: id, FailureDomain: id[:1], CapacityTokens: 100, Version: "v1"})
	}
	st, _ := Step(State{}, simStart, Started{RolloutID: "r", OldVersion: "v1", NewVersion: "v2", FinishBy: simStart.Add(time.Hour), Endpoints: targets})
	st.SmoothedLoad = 260
	if _, out := Step(st, simStart, Tick{}); len(placedOrders(out)) != 0 {
		t.Errorf("got orders %v with 260 of 400 tokens outstanding, want none", placedOrders(out))
	}
	st.SmoothedLoad, st.Stage = 100, 5
	st, _ = Step(st, simStart, Tick{})
	st, _ = Step(st, simStart, VersionReady{"a1", "v2"})
	if _, out := Step(st, simStart, Tick{}); !cmp.Equal(placedOrders(out), []string{"b1/0"}) {
		t.Errorf("second order: got %v, want b1/0 in the other failure domain", placedOrders(out))
	}
}

// TestJudgeOnEqualRates guards against a judge that attributes to the new version
// what affects both: of 200 sequences of equal but varying rates, at most one may
// be judged worse.
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
		t.Errorf("%d of 200 equal versions were judged worse, want at most 1 at alpha 0.001", worse)
	}
}

// TestJudgeAtLowRate guards against a judge that compares the few requests of the new
// version only with those of the old one that end within the same few seconds: at one
// request a second and a share of 2%, a version with half of its requests slow, beside
// 2% of the old one's, must be found worse within ten minutes.
func TestJudgeAtLowRate(t *testing.T) {
	j := Judge{OldVersion: "v1", NewVersion: "v2"}.WithTraffic(false, 20)
	oldCount, newCount := 0, 0
	for i := 1; i <= 600; i++ {
		now := simStart.Add(time.Duration(i) * time.Second)
		s := brwire.Samples{Route: "r", Version: "v1", Requests: 1}
		if i%50 == 25 {
			s.Version = "v2"
			newCount++
			s.SlowFirst = newCount % 2
		} else if oldCount++; oldCount%50 == 0 {
			s.SlowFirst = 1
		}
		if j = j.Add(now, s).Close(now); j.Verdict().Worse {
			return
		}
	}
	t.Errorf("after %d requests of the new version the verdict is %+v, want worse", newCount, j.Verdict())
}

// TestAnyEventsKeepOutcome guards against a second or late outcome, a nonzero share
// after a rollback, and a share above the stage's, under any order of events and
// after any resumption.
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
				EndpointAnnounced{Target{ID: id, Version: v}}, OrderResult{id, "r/" + id + "/v2/1", OrderRefused}, Resumed{FormerLeaseEnd: now.Add(time.Second)},
				StateRead{brengine.State{EndpointID: id, Version: v}}, Samples{brwire.Samples{RolloutID: "r", Version: v, Requests: n, Errors: n / 9}}, Tripped{}}).Draw(t, "event")
			var effects []Effect
			st, effects = Step(st, now, ev)
			for _, e := range effects {
				switch e := e.(type) {
				case SetShare:
					share = e.PerMille
				case Finish:
					if outcome != Pending && e.Outcome != outcome || e.Outcome == Finished && e.At.After(st.FinishBy) {
						t.Fatalf("outcome %v at %v after outcome %q, want one outcome before finish_by", e.Outcome, e.At, outcome)
					}
					outcome = e.Outcome
				}
			}
			_, isTick := ev.(Tick)
			if isTick && !now.Before(st.FinishBy) && outcome == Pending || outcome == RolledBack && share != 0 ||
				outcome == Pending && share > stages[st.Stage].PerMille || outcome != st.Phase && st.Ended() {
				t.Fatalf("inconsistent state: outcome %q with share %d at stage %d, phase %q at %v", outcome, share, st.Stage, st.Phase, now)
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

// TestScaled guards against a short rollout in which no sample is used because the
// fixed times last longer than its stages, and against scaled times in a rollout of
// full duration.
func TestScaled(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct{ length, want time.Duration }{
		{time.Hour, settleTime},
		{shortDuration, settleTime},
		{2 * time.Minute, 2 * time.Second},
		{30 * time.Second, minScaledTime},
	} {
		s := State{StartedAt: start, FinishBy: start.Add(c.length)}
		if got := s.scaled(settleTime); got != c.want {
			t.Errorf("settle time in a rollout of %v: got %v, want %v", c.length, got, c.want)
		}
		if lead := s.FinishBy.Sub(s.finishAt()); lead < minScaledTime {
			t.Errorf("rollout finishes %v before finish_by in a rollout of %v, want at least the tick interval", lead, c.length)
		}
	}
}

// TestJudgeFindsFaultAtFullTraffic guards against good requests at full traffic that
// hide a fault which begins after them: at 12 requests/s, of which a half fail after four
// minutes with 1%, the version must be found worse within half a minute, not before.
func TestJudgeFindsFaultAtFullTraffic(t *testing.T) {
	j := Judge{OldVersion: "v1", NewVersion: "v2"}.Add(simStart, brwire.Samples{Route: "r", Version: "v1", Requests: 200, Errors: 1})
	j = j.Flush().WithTraffic(true, 1000)
	const onset = 240
	for i := 1; i <= onset+30; i++ {
		now := simStart.Add(time.Duration(i) * time.Second)
		s := brwire.Samples{Route: "r", Version: "v2", Requests: 12, Errors: 6}
		if i <= onset {
			s.Errors = i % 8 / 7
		}
		if j = j.Add(now, s).Close(now); j.Verdict().Worse {
			if i <= onset {
				t.Errorf("worse %d s before the fault: %+v", onset-i, j.Verdict())
			}
			return
		}
	}
	t.Errorf("30 s after the fault the verdict is %+v, want worse", j.Verdict())
}

// TestJudgeWhileSettling guards against a judge that blames a good version for failing
// requests that end first after a growth of the share, or that leaves out all requests
// of that time. In each period 5% of the requests fail at once, and of the new version's
// 10% nothing else ends.
func TestJudgeWhileSettling(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed [2]int // of the new version, in even and odd periods
		want   Verdict
	}{
		{"as good as the old one", [2]int{1, 0}, Verdict{MayGrow: true}},
		{"six times as many errors", [2]int{3, 3}, Verdict{Worse: true, Doubtful: true, Unclear: true}},
	} {
		j := Judge{OldVersion: "v1", NewVersion: "v2"}
		for i := range 40 {
			now, n := simStart.Add(time.Duration(i)*time.Minute), c.failed[i%2]
			j = j.WithSettling(100).Add(now, brwire.Samples{Route: "r", Version: "v1", Requests: 90, Errors: 4 + i%2})
			j = j.Add(now, brwire.Samples{Route: "r", Version: "v2", Requests: n, Errors: n}).Flush()
		}
		v := j.Verdict()
		if v.Reason = ""; v != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, v, c.want)
		}
	}
}
