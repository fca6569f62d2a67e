package brpool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
	"github.com/sebdah/goldie/v2"
)

var start = time.Unix(1_800_000_000, 0).UTC()

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// testID returns the n-th UUIDv7 with the given creation time.
func testID(createdAt time.Time, n int) string {
	ms := createdAt.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

func newPool(kind brwire.EndpointKind) *Pool {
	n := uint64(0)
	return New(Options{Name: "m@r", Kind: kind, Rand: func() uint64 { n += 0x9e3779b97f4a7c15; return n }})
}

func submit(entry, id string, tier, prompt int) Submit {
	return Submit{EntryID: entry, Submit: brwire.Submit{RequestID: id, Customer: "trust", Route: fmt.Sprint("r", tier), Tier: tier,
		PromptTokens: prompt, MaxTokens: 100, Deadline: 10 * time.Second}}
}

func announce(id, version string, sequence uint64, capacity int) EndpointReport {
	return EndpointReport{brwire.Announce{EndpointID: id, Address: id + ":1", Kind: brwire.KindEngine, Model: "m", Region: "r", Version: version,
		Incarnation: "1", Sequence: sequence, CapacityTokens: capacity}}
}

// newOwnedPool returns a pool that owns epoch 1, with one endpoint "e1".
func newOwnedPool(t testing.TB, capacity int) *Pool {
	p := newPool(brwire.KindEngine)
	step(t, p, 0, Takeover{Epoch: 1})
	step(t, p, 0, announce("e1", "v1", 1, capacity))
	return p
}

func step(t testing.TB, p *Pool, ms int, ev Event) []Effect {
	t.Helper()
	effects := p.Step(at(ms), ev)
	if err := p.Check(); err != nil {
		t.Fatalf("after %T: %v", ev, err)
	}
	return effects
}

func formatEffects(effects []Effect) string {
	var b strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case SendGrant:
			fmt.Fprintf(&b, "  grant %s %s number=%d epoch=%d %s %s\n", e.EntryID, shortID(e.Grant.RequestID), e.Grant.Number, e.Grant.Epoch, e.Grant.EndpointID, e.Grant.Version)
		case SendRefuse:
			x := e.Refuse.Error
			fmt.Fprintf(&b, "  refuse %s %s %v entry=%q endpoint=%q retry=%v\n", e.EntryID, shortID(e.Refuse.RequestID), x.Kind, x.EntryID, x.EndpointAddress, x.RetryAfter.Round(time.Millisecond))
		case ReportSamples:
			for _, s := range e.Samples {
				fmt.Fprintf(&b, "  sample %s %s %s requests=%d errors=%d outstanding=%d tripped=%v\n", s.RolloutID, s.Route, s.Version, s.Requests, s.Errors, s.Outstanding, s.Tripped)
			}
		default:
			fmt.Fprintf(&b, "  %s %+v\n", strings.TrimPrefix(fmt.Sprintf("%T", e), "brpool."), e)
		}
	}
	return b.String()
}

func shortID(id string) string { return strings.TrimLeft(id[min(24, len(id)):], "0") }

type timedEvent struct {
	ms int
	ev Event
}

// Guards against changed effects of whole event sequences: duplicates, the recovery
// with and without a missing entry, the planned transfer and an open breaker.
func TestGolden(t *testing.T) {
	id := func(n int) string { return testID(start, n) }
	done := func(entry string, n int, number uint64, m brwire.Done) Done {
		m.RequestID, m.Epoch, m.Number = id(n), 1, number
		return Done{EntryID: entry, Done: m}
	}
	ok := brwire.Done{OK: true, Outcome: brerror.Ran, PromptTokens: 100, OutputTokens: 50, FirstToken: 50 * time.Millisecond, Duration: time.Second}
	failed := brwire.Done{Outcome: brerror.Unknown, Kind: brerror.EndpointFailed}
	withGeneratedID := submit("b", testID(start, 8), 2, 100)
	withGeneratedID.Submit.GeneratedID = true
	rollout := SetRollouts{[]Rollout{{ID: "ro", Old: "v1", New: "v2", PerMille: 1000}}}
	for name, list := range map[string][]timedEvent{
		"duplicates": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)},
			{10, submit("a", id(1), 2, 100)}, {11, submit("a", id(1), 2, 100)}, {12, submit("b", id(1), 2, 100)},
			{20, Started{"a", brwire.Started{RequestID: id(1), Epoch: 1, Number: 1}}},
			{21, Withdraw{"a", brwire.Withdraw{RequestID: id(1), Epoch: 1, Number: 1}}},
			{22, Locate{Ref: 7, Locate: brwire.Locate{RequestID: id(1)}}},
			{1020, done("a", 1, 1, ok)}, {1021, done("a", 1, 1, ok)}, {1022, submit("b", id(1), 2, 100)},
			{1023, Locate{Ref: 8, Locate: brwire.Locate{RequestID: id(1)}}},
			{1030, submit("a", id(2), 2, 100)},
			{1031, done("a", 2, 2, brwire.Done{Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable})},
			{1032, submit("b", id(2), 2, 100)},
			{1033, done("a", 2, 2, brwire.Done{Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable})},
			{1034, done("b", 2, 2, brwire.Done{Outcome: brerror.NotRun, Kind: brerror.EndpointUnavailable})},
			{1035, submit("c", id(2), 2, 100)},
			{700_000, submit("c", id(3), 2, 100)}, {700_000, submit("c", "not-an-id", 2, 100)},
		},
		"recovery": {
			{0, announce("e1", "v1", 1, 10_000)}, {0, Takeover{Epoch: 3, Entries: []string{"a", "b"}}},
			{10, submit("b", id(1), 2, 100)}, {10, submit("b", id(2), 2, 100)},
			{20, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 3, StartedAgo: time.Hour, Queued: []brwire.Submit{submit("a", id(4), 1, 100).Submit},
				Running: []brwire.RunningRef{{Submit: submit("a", id(1), 2, 100).Submit, EndpointID: "e1", Address: "e1:1", Version: "v1"}},
				Ended:   []brwire.EndedRef{{RequestID: id(2), EndpointID: "e1", Address: "e1:1", Ran: true}}}}},
			{30, Recovered{brwire.JoinReply{EntryID: "b", Epoch: 3, StartedAgo: time.Hour}}},
			{40, submit("b", id(2), 2, 100)},
			{50, LeaseEnded{}}, {60, submit("b", id(5), 2, 100)},
		},
		"missing_entry": {
			{0, announce("e1", "v1", 1, 10_000)}, {0, Takeover{Epoch: 3, Entries: []string{"a", "b"}}},
			{10, submit("b", id(1), 2, 100)}, {10, withGeneratedID}, {20, Recovered{brwire.JoinReply{EntryID: "b", Epoch: 3, StartedAgo: time.Hour}}},
			{1900, Tick{}}, {2000, announce("e1", "v1", 2, 10_000)}, {2000, Tick{}},
			{2100, submit("b", id(6), 2, 100)}, {4000, announce("e1", "v1", 3, 10_000)}, {4000, submit("b", testID(at(4000), 7), 2, 100)},
			{4100, EntryJoined{"a"}}, {4200, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 3, StartedAgo: time.Hour, Finished: []string{id(1)}}}},
			{4300, submit("b", id(1), 2, 100)}, {4300, submit("b", id(6), 2, 100)},
		},
		"restarted_entry": {
			{0, announce("e1", "v1", 1, 10_000)}, {0, Takeover{Epoch: 3, Entries: []string{"a"}}},
			{10, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 3, StartedAgo: 5 * time.Second}}},
			{20, submit("a", testID(at(-6000), 1), 2, 100)}, {20, submit("a", testID(at(-3000), 2), 2, 100)},
		},
		"rejoin": { // a restarted entry, a lost grant, and a grant after the join
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)}, {10, submit("a", id(1), 2, 100)}, {10, submit("b", id(2), 2, 100)},
			{20, EntryLost{"a"}}, {20, EntryLost{"b"}}, {30, EntryJoined{"a"}}, {30, EntryJoined{"b"}}, {40, submit("b", id(3), 2, 100)},
			{50, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 1, StartedAgo: 25 * time.Millisecond, Queued: []brwire.Submit{submit("a", id(1), 2, 100).Submit}}}},
			{50, Recovered{brwire.JoinReply{EntryID: "b", Epoch: 1, StartedAgo: time.Hour,
				Queued: []brwire.Submit{submit("b", id(2), 2, 100).Submit, submit("b", id(3), 2, 100).Submit}}}},
		},
		"restarted_soon": { // a process that is killed and restarted before its entry counts as lost
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)}, {10, submit("a", id(1), 2, 100)},
			{20, Started{"a", brwire.Started{RequestID: id(1), Epoch: 1, Number: 1}}}, {30, EntryDisconnected{"a"}}, {1000, EntryJoined{"a"}},
			{1010, Recovered{brwire.JoinReply{EntryID: "a", Epoch: 1, StartedAgo: 500 * time.Millisecond}}},
			{61_000, Tick{}}, {62_100, Tick{}}, {62_200, submit("b", id(1), 2, 100)},
		},
		"release": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)},
			{10, submit("a", id(1), 2, 100)}, {10, submit("b", id(2), 2, 100)}, {20, Release{}},
			{30, submit("a", id(3), 2, 100)}, {40, Started{"a", brwire.Started{RequestID: id(1), Epoch: 1, Number: 1}}}, {50, EntryLost{"b"}},
		},
		"lost_entry": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)}, {0, Tick{}},
			{10, submit("a", id(1), 2, 100)}, {10, submit("b", id(2), 2, 100)}, {1600, Tick{}}, {1700, EntryLost{"b"}},
			{1800, submit("a", id(2), 2, 100)}, {61_000, Tick{}}, {63_000, Tick{}}, {63_000, submit("a", id(2), 2, 100)},
		},
		"stalled_version": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)}, {0, announce("e2", "v2", 1, 10_000)}, {0, rollout}, {0, Tick{}},
			{10, submit("a", id(1), 2, 100)}, {10, submit("a", id(2), 2, 100)}, {10, submit("a", id(3), 2, 100)},
			{20, Started{"a", brwire.Started{RequestID: id(1), Epoch: 1, Number: 1}}}, {20, Started{"a", brwire.Started{RequestID: id(2), Epoch: 1, Number: 2}}},
			{20, Started{"a", brwire.Started{RequestID: id(3), Epoch: 1, Number: 3}}}, {900, Tick{}}, {1000, Tick{}}, {1100, Tick{}},
			{1110, submit("a", id(4), 2, 100)},
		},
		"trip": {
			{0, Takeover{Epoch: 1}}, {0, announce("e1", "v1", 1, 10_000)}, {0, announce("e2", "v2", 1, 10_000)}, {0, rollout}, {0, Tick{}},
			{10, submit("a", id(1), 2, 100)}, {10, submit("a", id(2), 2, 100)}, {10, submit("a", id(3), 2, 100)},
			{20, done("a", 1, 1, failed)}, {20, done("a", 2, 2, failed)}, {20, done("a", 3, 3, failed)},
			{30, submit("a", id(4), 2, 100)}, {1000, Tick{}},
		},
	} {
		t.Run(name, func(t *testing.T) { assertGolden(t, name, list) })
	}
}

// assertGolden compares the effects of a list of events with a golden file.
func assertGolden(t *testing.T, name string, list []timedEvent) {
	p := newPool(brwire.KindEngine)
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "%d ms: %T\n%s", e.ms, e.ev, formatEffects(step(t, p, e.ms, e.ev)))
	}
	goldie.New(t).Assert(t, name, []byte(b.String()))
}

// Guards against a tier 1 request (a traveller's question) that waits for lower-tier
// drafting requests, in the queue or on the endpoints.
func TestTier1NotBehindLowerTiers(t *testing.T) {
	p := newOwnedPool(t, 10_000)
	for n := range 50 {
		step(t, p, n, submit("a", testID(start, n), 4, 900))
	}
	if s := p.Status(); s.Outstanding > 8000 || s.QueuedByTier[3] == 0 {
		t.Fatalf("drafting: %d tokens on endpoints, want at most 8000; queued by tier %v, want some in tier 4", s.Outstanding, s.QueuedByTier)
	}
	if got := formatEffects(step(t, p, 100, submit("a", testID(start, 100), 1, 900))); !strings.Contains(got, "grant a 64 ") {
		t.Errorf("tier 1 request was not granted immediately: %s", got)
	}
}

// Guards against shedding a request of a higher tier while a lower one stays
// queued, and against refusals under overload without a retry time.
func TestFullQueueShedsLowestTier(t *testing.T) {
	p := newOwnedPool(t, 1000)
	step(t, p, 0, SetLimits{Model: brconfig.Model{QueueTokens: 3000}})
	step(t, p, 0, submit("a", testID(start, 1), 1, 900)) // fills the endpoint
	for n, tier := range []int{5, 3, 2} {
		step(t, p, 1, submit("a", testID(start, 10+n), tier, 900))
	}
	got := formatEffects(step(t, p, 2, submit("a", testID(start, 20), 1, 900)))
	if !strings.HasPrefix(got, "  refuse a a overloaded") || strings.Count(got, "refuse") != 1 {
		t.Errorf("effects %s, want one refusal as overloaded", got)
	}
	if ra := p.retryAfter(5); ra < 750*time.Millisecond || ra > 1250*time.Millisecond {
		t.Errorf("retry after %v, want 1 s with 25%% jitter", ra)
	}
}

// Guards against requests that stay queued until their deadline although they can't
// meet it, alone or because of the work ahead.
func TestEarlyRefusal(t *testing.T) {
	p := newOwnedPool(t, 2000)
	finish := func(ms, n int) {
		number := uint64(n)
		step(t, p, ms, Done{"a", brwire.Done{RequestID: testID(start, n), Epoch: 1, Number: number, OK: true, PromptTokens: 1400, OutputTokens: 50,
			FirstToken: 280 * time.Millisecond, Duration: 290 * time.Millisecond}})
	}
	for n := 1; n <= 40; n++ {
		step(t, p, 0, submit("a", testID(start, n), 3, 1400))
	}
	for n := 1; n <= 12; n++ {
		finish(n*300, n)
		step(t, p, n*300, announce("e1", "v1", uint64(1+n), 2000))
		step(t, p, n*300, Tick{})
	}
	long := submit("a", testID(start, 100), 2, 80_000)
	if got := formatEffects(step(t, p, 3700, long)); !strings.Contains(got, "deadline_unmeetable") {
		t.Errorf("16 s of prefill with a deadline of 10 s: effects %s, want deadline_unmeetable", got)
	}
	late := submit("a", testID(start, 101), 4, 1400)
	late.Submit.Deadline = 5 * time.Second
	if got := formatEffects(step(t, p, 3700, late)); !strings.Contains(got, "refuse a 65 overloaded") {
		t.Errorf("8 s of work in higher tiers ahead with a deadline of 5 s: effects %s, want overloaded", got)
	}
}

// Guards against a service pool whose limit is in tokens, or whose headroom is used
// by lower tiers.
func TestServicePool(t *testing.T) {
	p := newPool(brwire.KindService)
	step(t, p, 0, Takeover{Epoch: 1})
	for i := range 4 {
		step(t, p, 0, announce(fmt.Sprint("w", i), "v1", 1, 1))
	}
	for n := range 10 {
		step(t, p, 1, submit("a", testID(start, n), 3, 0))
	}
	if s := p.Status(); s.Outstanding != 3 || s.QueuedByTier[2] != 7 {
		t.Errorf("%d of 4 workers busy with tier 3, want 3; queued by tier %v, want 7 in tier 3", s.Outstanding, s.QueuedByTier)
	}
	step(t, p, 2, submit("a", testID(start, 20), 1, 0))
	if s := p.Status(); s.Outstanding != 4 {
		t.Errorf("%d of 4 workers busy, want 4", s.Outstanding)
	}
}

// Guards against IDs that are removed from the record while they are still accepted,
// and against a record that grows without limit.
func TestRetention(t *testing.T) {
	var s finishedSet
	for n := range maxFinished + 10 {
		k, ok := parseID(testID(at(n/10), n))
		if !ok {
			t.Fatal("valid ID was rejected")
		}
		s.add(at(n/10), k, finishedRequest{ran: true})
	}
	now := at(maxFinished/10 + 1)
	first, _ := parseID(testID(at(0), 0))
	if _, ok := s.byID[first]; len(s.byID) > maxFinished || ok || !s.tooOld(now, first, Retention) {
		t.Errorf("%d IDs recorded, want at most the limit, with the first removed and too old", len(s.byID))
	}
	s.expire(now.Add(Retention + 3*bucketWidth))
	if len(s.byID) != 0 || len(s.buckets) != 0 {
		t.Errorf("%d IDs recorded after the retention, want 0", len(s.byID))
	}
	for _, id := range []string{"", "0190A0B0-0000-7000-8000-000000000000", "0190a0b0-0000-4000-8000-000000000000", "0190a0b000007000-8000-000000000000----"} {
		if _, ok := parseID(id); ok {
			t.Errorf("ID %q was accepted, want it rejected", id)
		}
	}
}

func ExamplePool() {
	p := New(Options{Name: "m@r", Kind: brwire.KindEngine, Rand: func() uint64 { return 0 }})
	p.Step(start, Takeover{Epoch: 1})
	p.Step(start, EndpointReport{brwire.Announce{EndpointID: "e1", Address: "10.0.0.1:80", Version: "v1", Incarnation: "1", Sequence: 1, CapacityTokens: 50_000}})
	effects := p.Step(start, Submit{EntryID: "entry-1", Submit: brwire.Submit{
		RequestID: testID(start, 1), Tier: 1, PromptTokens: 200, MaxTokens: 100, Deadline: time.Second,
	}})
	if g, ok := effects[0].(SendGrant); ok {
		fmt.Println(g.EntryID, g.Grant.EndpointID)
	}
	// Output: entry-1 e1
}
