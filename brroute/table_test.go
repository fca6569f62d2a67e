package brroute

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTable(kind brwire.EndpointKind) *Table {
	n := uint64(0)
	return New(Options{Kind: kind, Rand: func() uint64 { n++; return n }})
}

func report(id, version string, sequence uint64, capacity int) brwire.Announce {
	return brwire.Announce{EndpointID: id, Address: id + ":1", Kind: brwire.KindEngine, Version: version,
		Incarnation: "i1", Sequence: sequence, CapacityTokens: capacity}
}

func grant(t testing.TB, tb *Table, now time.Time, r Request) *Flight {
	t.Helper()
	c, ok := tb.Choose(now, r)
	if !ok {
		t.Fatal("no endpoint chosen")
	}
	f := tb.Grant(now, r, c)
	tb.Started(now, f)
	if err := tb.Check(); err != nil {
		t.Fatal(err)
	}
	return f
}

// Guards against herding: one endpoint is idle according to reports that are 5 s
// old, and every request until the next report is sent to it.
func TestStaleReportsDontHerd(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	for i := range 4 {
		a := report(fmt.Sprint("e", i), "v1", 1, 100_000)
		a.MeasuredAgoMS = 5000
		a.RunningTokens = 5000
		if i == 0 {
			a.RunningTokens = 0
		}
		tb.Report(at(0), a)
	}
	got := map[string]int{}
	for range 40 {
		got[grant(t, tb, at(10), Request{Tier: 1, PromptTokens: 1000, OutputTokens: 200, MaxTokens: 400}).EndpointID]++
	}
	for id, n := range got {
		if n > 13 || len(got) != 4 {
			t.Errorf("%s got %d of 40 requests, want at most 13 on each of 4 endpoints: %v", id, n, got)
		}
	}
}

// Guards against counting a request twice, or not at all, when a report was
// measured before or after the request's grant or end.
func TestLoadIsCorrectedAtMeasurement(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	tb.Report(at(0), report("e", "v1", 1, 100_000))
	r := Request{Tier: 1, PromptTokens: 900, OutputTokens: 100, MaxTokens: 100}
	before := grant(t, tb, at(100), r)
	grant(t, tb, at(1000), r)
	tb.Done(at(1500), before, Result{OK: true})
	for _, c := range []struct {
		sequence uint64
		ago      int64
		running  int
		want     int
	}{
		{3, 1500, 1000 + 7000, 8000}, // measured at 500 ms: the first request was running, the second wasn't
		{2, 0, 50_000, 8000},         // an earlier report that arrives late
		{4, 0, 1000 + 7000, 8000},    // measured now: only the second request is running
	} {
		a := report("e", "v1", c.sequence, 100_000)
		a.MeasuredAgoMS, a.RunningTokens = c.ago, c.running
		tb.Report(at(2000), a)
		if got := tb.Status()[0].Load; got != c.want {
			t.Errorf("report %d: load %d, want %d", c.sequence, got, c.want)
		}
	}
	restarted := report("e", "v1", 1, 100_000)
	restarted.Incarnation = "i2"
	tb.Report(at(2100), restarted)
	late := report("e", "v1", 9, 100_000)
	late.RunningTokens = 50_000
	tb.Report(at(2200), late)
	if got := tb.Status()[0].Load; got > 1000 {
		t.Errorf("load %d from a report of the earlier incarnation, want at most 1000", got)
	}
}

// Guards against load that is counted in requests instead of tokens, against
// lower tiers that use the headroom of tier 1, and against grants to endpoints
// that are silent or leaving.
func TestEligibleEndpoints(t *testing.T) {
	long := func(tier int) Request {
		return Request{Tier: tier, PromptTokens: 25_000, OutputTokens: 5000, MaxTokens: 5000}
	}
	tb := newTable(brwire.KindEngine)
	tb.Report(at(0), report("e", "v1", 1, 100_000))
	for i := range 2 {
		tb.FirstToken(at(10), grant(t, tb, at(0), long(3)), time.Duration(10+i)*time.Millisecond)
	}
	if _, ok := tb.Choose(at(20), long(2)); ok {
		t.Error("90,000 of 100,000 tokens were granted to tiers below 1")
	}
	grant(t, tb, at(20), long(1))
	if _, ok := tb.Choose(at(20), long(1)); ok {
		t.Error("120,000 tokens were granted on an endpoint of 100,000")
	}
	for _, c := range []struct {
		name  string
		apply func(tb *Table)
		now   int
		want  bool
	}{
		{"announcing", func(tb *Table) {}, 2900, true},
		{"silent for 3 s", func(tb *Table) { tb.Tick(at(3000)) }, 3000, false},
		{"leaving", func(tb *Table) { a := report("e", "v1", 2, 1000); a.Leaving = true; tb.Report(at(10), a) }, 20, false},
		{"announces again", func(tb *Table) { tb.Tick(at(3000)); tb.Report(at(3100), report("e", "v1", 2, 1000)) }, 3100, true},
	} {
		tb := newTable(brwire.KindEngine)
		tb.Report(at(0), report("e", "v1", 1, 1000))
		c.apply(tb)
		if _, ok := tb.Choose(at(c.now), long(5)); ok != c.want {
			t.Errorf("%s: Choose found an endpoint: %v, want the opposite", c.name, ok)
		}
	}
}

// Guards against an endpoint whose stall isn't detected, and against more than
// one trial at a time in the pool.
func TestHalfOpen(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	for i := range 3 {
		tb.Report(at(0), report(fmt.Sprint("e", i), "v1", 1, 100_000))
	}
	r := Request{Tier: 1, PromptTokens: 100, OutputTokens: 100, MaxTokens: 100}
	stalled := map[string]bool{}
	for len(stalled) < 2 {
		f := grant(t, tb, at(0), r)
		if f.EndpointID != "e2" {
			stalled[f.EndpointID] = true
			continue
		}
		tb.Done(at(50), f, Result{OK: true, PromptTokens: 100, OutputTokens: 50, FirstToken: 30 * time.Millisecond, Duration: 50 * time.Millisecond})
	}
	opened := 0
	for ms := 100; ms <= 1100; ms += 100 {
		opened += len(tb.Tick(at(ms)))
	}
	if opened != 2 {
		t.Fatalf("%d endpoints half-open 1 s after their first token was expected, want 2", opened)
	}
	for i := range 2 {
		tb.Report(at(2000), report(fmt.Sprint("e", i), "v1", 2, 100_000))
	}
	tb.Report(at(2000), report("e2", "v1", 2, 100_000))
	low := r
	low.Tier = 4
	if f := grant(t, tb, at(2200), r); f.EndpointID != "e2" {
		t.Errorf("tier 1 request was used as a trial on %s", f.EndpointID)
	}
	trial := grant(t, tb, at(2200), low)
	if next := grant(t, tb, at(2200), low); trial.EndpointID == "e2" || next.EndpointID != "e2" {
		t.Errorf("trial on %s, next request on %s, want only the latter on e2", trial.EndpointID, next.EndpointID)
	}
	if c := tb.FirstToken(at(2250), trial, 50*time.Millisecond); len(c) != 1 || c[0].State != Closed {
		t.Errorf("after a successful trial: changes %v, want one to closed", c)
	}
	if second := grant(t, tb, at(2300), low); second.EndpointID == "e2" || second.EndpointID == trial.EndpointID {
		t.Errorf("second trial on %s, want the endpoint not tried before", second.EndpointID)
	}
}

// Guards against an endpoint that keeps failing without becoming half-open.
func TestConsecutiveFailures(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	tb.Report(at(0), report("e", "v1", 1, 100_000))
	var changes []Change
	for range maxConsecutiveFailures {
		changes = tb.Done(at(10), grant(t, tb, at(0), Request{Tier: 1, PromptTokens: 10, OutputTokens: 1}), Result{Kind: brerror.EndpointFailed})
	}
	if len(changes) != 1 || changes[0].State != HalfOpen {
		t.Errorf("after consecutive failures: changes %v, want one to half-open", changes)
	}
}

// Guards against a canary share that is exceeded, that drifts, or that counts
// requests of excluded routes.
func TestShareIsExact(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	tb.Report(at(0), report("old", "v1", 1, 1<<30))
	tb.Report(at(0), report("new", "v2", 1, 1<<30))
	group := []ShareGroup{{ID: "r", Shares: []VersionShare{{Version: "v2", PerMille: 50, Excluded: []string{"booking"}}}}}
	tb.SetShares(group)
	got := 0
	for n := 1; n <= 2000; n++ {
		if f := grant(t, tb, at(0), Request{Tier: 1, Group: "r", Route: "booking", PromptTokens: 1}); f.Version != "v1" {
			t.Fatal("excluded route got the new version")
		}
		if grant(t, tb, at(0), Request{Tier: 1, Group: "r", Route: "drafting", PromptTokens: 1}).Version == "v2" {
			got++
		}
		if got != n*50/1000 {
			t.Fatalf("new version got %d of %d grants, want %d", got, n, n*50/1000)
		}
	}
	tb.Stop("r", "v2", "")
	tb.SetShares(group)
	for range 100 {
		if f := grant(t, tb, at(0), Request{Tier: 1, Group: "r", Route: "drafting", PromptTokens: 1}); f.Version != "v1" {
			t.Fatal("stopped version got a request")
		}
		if f := grant(t, tb, at(0), Request{Tier: 1, PromptTokens: 1}); f.Version != "v1" {
			t.Fatal("a request without a group got the new version")
		}
	}
}

func ExampleTable() {
	t := New(Options{Kind: brwire.KindEngine, Rand: func() uint64 { return 0 }})
	t.Report(start, brwire.Announce{EndpointID: "e1", Incarnation: "a", Sequence: 1, CapacityTokens: 50_000, RunningTokens: 49_000})
	t.Report(start, brwire.Announce{EndpointID: "e2", Incarnation: "b", Sequence: 1, CapacityTokens: 50_000})
	r := Request{Tier: 3, PromptTokens: 2000, OutputTokens: 300, MaxTokens: 500}
	if c, ok := t.Choose(start, r); ok {
		fmt.Println(t.Grant(start, r, c).EndpointID, t.Outstanding())
	}
	// Output: e2 2300
}
