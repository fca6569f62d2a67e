package brplace

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newState() *State { return New(Config{FailureDomain: "z1", Random: func() float64 { return 0 }}) }

// daemonIDs returns the IDs of n daemons, sorted.
func daemonIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("d", i))
	}
	slices.Sort(ids)
	return ids
}

func addEndpoints(s *State, ids ...string) {
	for _, id := range ids {
		s.Step(at(0), EndpointChanged{Endpoint{ID: id, Service: "s", Address: id + ":1", Zone: "z1", Version: "v1", Slots: 2}})
	}
}

func request(id uint64, rank, ms int) Request {
	return Request{
		ID: id, Service: "s", Rank: rank, Stream: true, PromptTokens: 400, ExpectedEvents: 10,
		FirstByteDue: at(ms + 300), Deadline: at(ms + 15000), MaxQueueTime: 1200 * time.Millisecond,
	}
}

// formatEffects formats effects as strings for comparison.
func formatEffects(effects []Effect) []string {
	var out []string
	for _, e := range effects {
		switch e := e.(type) {
		case Dispatch:
			out = append(out, "dispatch "+string(rune('0'+e.ID))+" "+e.Endpoint.ID)
		case Reject:
			out = append(out, "reject "+string(rune('0'+e.ID))+" "+string(e.Reason))
		case Suspended:
			out = append(out, "suspend "+e.Endpoint+" "+string(e.Cause))
		}
	}
	return out
}

func checkEffects(t *testing.T, step string, got []Effect, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, formatEffects(got)); diff != "" {
		t.Errorf("%s: %s", step, diff)
	}
}

// TestUrgentFirst guards against placing a waiting request of a less urgent rank
// before a more urgent one.
func TestUrgentFirst(t *testing.T) {
	s := newState()
	addEndpoints(s, "a")
	checkEffects(t, "first", s.Step(at(0), Submit{request(1, 1, 0)}), "dispatch 1 a")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 3}}})
	checkEffects(t, "full", s.Step(at(1), Submit{request(2, 2, 1)}))
	checkEffects(t, "full for urgent ones too", s.Step(at(2), Submit{request(3, 0, 2)}))
	s.Step(at(3), PeerReported{Daemon: "p", Report: Report{"a": {Active: 1, Ended: 2}}})
	checkEffects(t, "end", s.Step(at(4), Ended{ID: 1, Result: Succeeded}))
	if s.QueueLength() != 1 {
		t.Errorf("%d requests waiting, want 1, the less urgent one", s.QueueLength())
	}
}

// TestSlotsOfOtherDaemons guards against daemons that ignore each other's usage and
// so overfill an endpoint.
func TestSlotsOfOtherDaemons(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 2}}})
	checkEffects(t, "endpoint with free slots", s.Step(at(1), Submit{request(1, 1, 1)}), "dispatch 1 b")
	s.Step(at(2), PeerLost{Daemon: "p"})
	checkEffects(t, "after the daemon is lost", s.Step(at(3), Submit{request(2, 1, 3)}), "dispatch 2 a")
}

// TestOneDispatchPerPeerReport guards against overfilled endpoints: all daemons
// receive the same report of freed slots, and each dispatches its whole queue.
func TestOneDispatchPerPeerReport(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 2}, "b": {Active: 2}}})
	for id := uint64(1); id <= 3; id++ {
		checkEffects(t, "full", s.Step(at(1), Submit{request(id, 1, 1)}))
	}
	got := s.Step(at(2), PeerReported{Daemon: "p", Report: Report{"a": {Ended: 2}, "b": {Ended: 2}}})
	if len(got) != 1 {
		t.Errorf("effects of one report %v, want one dispatch", formatEffects(got))
	}
}

// TestLeavingEndpoint guards against dispatching new requests to an endpoint that
// is shutting down.
func TestLeavingEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), EndpointChanged{Endpoint{ID: "a", Service: "s", Slots: 2, Zone: "z1", Leaving: true}})
	for id := uint64(1); id <= 2; id++ {
		checkEffects(t, "endpoint that isn't leaving", s.Step(at(1), Submit{request(id, 0, 1)}), "dispatch "+string(rune('0'+id))+" b")
	}
}

// TestWaitForFirstEndpoint guards against a daemon that has just started and
// rejects requests before it received the announcements of the endpoints.
func TestWaitForFirstEndpoint(t *testing.T) {
	s := newState()
	checkEffects(t, "no endpoint yet", s.Step(at(0), Submit{request(1, 1, 0)}))
	checkEffects(t, "announced", s.Step(at(100), EndpointChanged{Endpoint{ID: "a", Service: "s", Slots: 2}}), "dispatch 1 a")
	checkEffects(t, "no endpoint of another service", s.Step(at(100), Submit{Request{ID: 2, Service: "t", MaxQueueTime: time.Second}}))
	checkEffects(t, "maximum wait exceeded", s.Step(at(700), Tick{}), "reject 2 waited")
}

// TestOverloadIsRefusedAtOnce guards against queueing a request that would be
// rejected after a long wait: at one start per 250 ms the sixth request in the
// queue would exceed its maximum wait.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	s := newState()
	addEndpoints(s, "a")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {Active: 1}}})
	inTime := func(id uint64, ms int) Request {
		r := request(id, 1, ms)
		r.FirstByteDue = at(5000 + ms)
		return r
	}
	for id := uint64(1); id <= 9; id++ {
		s.Step(at(0), Submit{inTime(id, 0)})
	}
	for i, id := range []uint64{1, 2, 3, 4} {
		s.Step(at(250*(i+1)), Ended{ID: id, Result: Succeeded})
	}
	got := s.Step(at(1001), Submit{inTime(0, 1001)})
	checkEffects(t, "the queue is too long", got, "reject 0 overload")
	reject, ok := got[0].(Reject)
	if !ok || reject.RetryAfter <= 0 {
		t.Errorf("got %v, want a rejection with a positive RetryAfter", got)
	}
}

// TestFailingEndpointIsSuspended guards against an endpoint that attracts requests
// by failing them quickly. Failures reported by other daemons count as well.
func TestFailingEndpointIsSuspended(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b", "c")
	good := Usage{Ended: 10}
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {}, "b": {}, "c": {}}})
	failing := Report{"a": {Ended: 10, Failed: 8}, "b": good, "c": good}
	checkEffects(t, "noticed", s.Step(at(50), PeerReported{Daemon: "p", Report: failing}), "suspend a failing")
	for id := uint64(1); id <= 4; id++ {
		for _, e := range s.Step(at(100), Submit{request(id, 0, 100)}) {
			if d := e.(Dispatch); d.Endpoint.ID == "a" {
				t.Errorf("request %d dispatched to the failing endpoint", id)
			}
		}
	}
	seen := false
	for id := uint64(5); id <= 8; id++ {
		for _, e := range s.Step(at(1000), Submit{request(id, 0, 1000)}) {
			d, ok := e.(Dispatch)
			seen = seen || ok && d.Endpoint.ID == "a"
		}
	}
	if !seen {
		t.Error("endpoint got no request after the end of its suspension")
	}
}

// TestFailuresOfSuspendedEndpoint guards against sound endpoints that are suspended
// because another one goes on failing requests during its suspension, or is removed.
func TestFailuresOfSuspendedEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b", "c")
	usage := func(failed, failedOfC uint64) Report {
		return Report{"a": {Ended: failed, Failed: failed}, "b": {Ended: 20 + failed}, "c": {Ended: 20 + failed, Failed: failedOfC}}
	}
	s.Step(at(0), PeerReported{Daemon: "p", Report: usage(0, 0)})
	checkEffects(t, "noticed", s.Step(at(50), PeerReported{Daemon: "p", Report: usage(10, 1)}), "suspend a failing")
	for i := range 10 {
		n := uint64(i)
		checkEffects(t, fmt.Sprint("report ", i), s.Step(at(100+10*i), PeerReported{Daemon: "p", Report: usage(20+10*n, 2+n)}))
	}
	s.Step(at(300), EndpointLost{ID: "a"})
	checkEffects(t, "after its removal", s.Step(at(310), PeerReported{Daemon: "p", Report: Report{"b": {Ended: 200}, "c": {Ended: 200, Failed: 30}}}))
}

// TestPromptTimeIsLearned guards against an assumed prompt speed that doesn't fit the
// endpoints: a short response to a long prompt counted as a long request where prompts
// are read four times as fast. Times behind another prompt don't count.
func TestPromptTimeIsLearned(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {EventInterval: 20 * time.Millisecond}, "b": {EventInterval: 20 * time.Millisecond}}})
	s.Step(at(0), Tick{})
	summary := func(id uint64, now int) Request {
		r := request(id, 0, now)
		r.Stream, r.PromptTokens, r.ExpectedEvents = true, 6000, 5
		return r
	}
	v := s.service("s")
	for i := range 20 {
		now, id := 2000*i, uint64(i+1)
		s.Step(at(now), Submit{summary(id, now)})
		s.Step(at(now+36), FirstByte{ID: id})
		s.Step(at(now+1000), Ended{ID: id, Result: Succeeded})
	}
	if got := v.promptTime(6000); got < 30*time.Millisecond || got > 45*time.Millisecond {
		t.Errorf("expected time of a prompt of 6000 tokens: %v, want about 36ms", got)
	}
	if r := summary(100, 40000); !v.isShort(&r) {
		t.Error("a response of 5 events to a prompt of 6000 tokens isn't short at a mean duration of a second")
	}
	before := v.tokenTime
	s.Step(at(40000), PeerReported{Daemon: "p", Report: Report{"a": {PendingPromptTokens: 9000}, "b": {PendingPromptTokens: 9000}}})
	s.Step(at(40000), Submit{summary(101, 40000)})
	s.Step(at(40500), FirstByte{ID: 101})
	if v.tokenTime != before {
		t.Errorf("time for a token is %v after a prompt that waited, want %v", v.tokenTime, before)
	}
}

// TestReserveOfServiceWithOneRank guards against slots that are reserved for requests
// more urgent than any of the service, and against a reserve that doesn't come back with
// the first of these.
func TestReserveOfServiceWithOneRank(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b", "c") // 6 slots
	s.Step(at(0), FleetChanged{daemonIDs(100)})
	nearlyFull := Report{"a": {Active: 2}, "b": {Active: 2}, "c": {Active: 1}}
	s.Step(at(0), PeerReported{Daemon: "p", Report: nearlyFull})
	checkEffects(t, "last slot", s.Step(at(1), Submit{request(1, 2, 1)}), "dispatch 1 c")
	s.Step(at(2), Ended{ID: 1, Result: Succeeded})
	checkEffects(t, "more urgent", s.Step(at(3), Submit{request(2, 0, 3)}), "dispatch 2 c")
	s.Step(at(4), Ended{ID: 2, Result: Succeeded})
	checkEffects(t, "reserved slot", s.Step(at(5), Submit{request(3, 2, 5)}))
}

// TestAllFail guards against suspending all endpoints of a service when all of them
// fail equally often.
func TestAllFail(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	bad := Usage{Ended: 10, Failed: 5}
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{"a": {}, "b": {}}})
	s.Step(at(50), PeerReported{Daemon: "p", Report: Report{"a": bad, "b": bad}})
	checkEffects(t, "alike", s.Step(at(60), Submit{request(1, 0, 60)}), "dispatch 1 a")
}

// TestStalledEndpoint guards against dispatching further requests to an endpoint
// that has sent no response byte for a second.
func TestStalledEndpoint(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	checkEffects(t, "first", s.Step(at(0), Submit{request(1, 0, 0)}), "dispatch 1 a")
	checkEffects(t, "noticed", s.Step(at(1000), Tick{}), "suspend a silent")
	for id := uint64(2); id <= 3; id++ {
		checkEffects(t, "endpoint without stalled requests", s.Step(at(1001), Submit{request(id, 0, 1001)}), "dispatch "+string(rune('0'+id))+" b")
	}
}

// TestLongPromptRepelsRequests guards against dispatching a request to an endpoint
// that has a prompt of several seconds to process while another endpoint has none.
func TestLongPromptRepelsRequests(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	long := request(1, 0, 0)
	long.PromptTokens = 30000
	checkEffects(t, "long prompt", s.Step(at(0), Submit{long}), "dispatch 1 a")
	for id := uint64(2); id <= 3; id++ {
		checkEffects(t, "after the long prompt", s.Step(at(1), Submit{request(id, 0, 1)}), "dispatch "+string(rune('0'+id))+" b")
	}
}

// TestLongStreamsToFastEndpoints guards against dispatching a stream of many events
// to an endpoint that can't finish it before the deadline although a fast one has
// free slots. Short streams may go to either.
func TestLongStreamsToFastEndpoints(t *testing.T) {
	s := newState()
	addEndpoints(s, "fast", "slow")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{
		"fast": {Active: 1, PendingPromptTokens: 12000, EventInterval: 15 * time.Millisecond}, "slow": {EventInterval: 45 * time.Millisecond},
	}})
	s.Step(at(0), Tick{})
	for _, test := range []struct {
		events float64
		want   string
	}{{5, "dispatch 1 slow"}, {100, "dispatch 2 fast"}} {
		r := request(uint64(test.want[9]-'0'), 0, 1)
		r.ExpectedEvents, r.Deadline = test.events, at(6000)
		checkEffects(t, "stream", s.Step(at(1), Submit{r}), test.want)
	}
}

// TestLongStreamsWaitForFastEndpoints guards against starting a long stream at an
// endpoint that can't finish it in time although a fast one will have a free slot
// soon. The wait is limited, since the estimated length may be wrong.
func TestLongStreamsWaitForFastEndpoints(t *testing.T) {
	s := newState()
	addEndpoints(s, "fast", "slow")
	busy := Report{"fast": {Active: 2, EventInterval: 15 * time.Millisecond}, "slow": {EventInterval: 45 * time.Millisecond}}
	s.Step(at(0), PeerReported{Daemon: "p", Report: busy})
	s.Step(at(0), Tick{})
	long := func(id uint64) Request {
		r := request(id, 1, 0)
		r.ExpectedEvents = 400
		return r
	}
	checkEffects(t, "waits", s.Step(at(1), Submit{long(1)}))
	checkEffects(t, "second long stream waits", s.Step(at(1), Submit{long(2)}))
	checkEffects(t, "short stream doesn't wait", s.Step(at(2), Submit{request(3, 1, 2)}), "dispatch 3 slow")
	free := Report{"fast": {Active: 1, Ended: 1, EventInterval: 15 * time.Millisecond}, "slow": {EventInterval: 45 * time.Millisecond}}
	checkEffects(t, "slot freed", s.Step(at(100), PeerReported{Daemon: "p", Report: free}), "dispatch 1 fast")
	checkEffects(t, "end of the wait", s.Step(at(900), Tick{}), "dispatch 2 slow")
}

// TestVersions guards against dispatching a request to an endpoint version that the
// rollout excludes for it.
func TestVersions(t *testing.T) {
	s := newState()
	addEndpoints(s, "a")
	s.Step(at(0), EndpointChanged{Endpoint{ID: "n", Service: "s", Version: "v2", Zone: "z1", Slots: 9}})
	r := request(1, 0, 0)
	r.Version = "v2"
	checkEffects(t, "new version", s.Step(at(0), Submit{r}), "dispatch 1 n")
	for id := uint64(2); id <= 4; id++ {
		r := request(id, 0, 0)
		r.ExcludedVersion = "v2"
		for _, e := range s.Step(at(0), Submit{r}) {
			if d, ok := e.(Dispatch); ok && d.Endpoint.Version != "v1" {
				t.Errorf("request %d dispatched to version %s, want v1", id, d.Endpoint.Version)
			}
		}
	}
}

// TestReportOmitsInactiveEndpoints guards against reports that grow with the fleet
// because they list every endpoint that the daemon ever used, and against reports
// that omit the outcome of the last request of an endpoint.
func TestReportOmitsInactiveEndpoints(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), Submit{request(1, 0, 0)})
	s.Step(at(0), Submit{request(2, 0, 0)})
	s.Step(at(100), Ended{ID: 1, Result: Failed})
	want := Report{"a": {Ended: 1, Failed: 1}, "b": {Active: 1, PendingPromptTokens: 400}}
	if diff := cmp.Diff(want, s.Report(at(200), time.Second)); diff != "" {
		t.Error("report soon after the end of a request (-want +got):", diff)
	}
	if diff := cmp.Diff(Report{"b": {Active: 1, PendingPromptTokens: 400}}, s.Report(at(1100), time.Second)); diff != "" {
		t.Error("report after the retention (-want +got):", diff)
	}
}

// TestEventIntervalKeptAfterReport guards against losing the event interval of an
// endpoint when the reports of the other daemons no longer list the endpoint.
func TestEventIntervalKeptAfterReport(t *testing.T) {
	s := newState()
	addEndpoints(s, "a", "b")
	s.Step(at(0), PeerReported{Daemon: "p", Report: Report{
		"a": {Active: 1, EventInterval: 90 * time.Millisecond}, "b": {Active: 1, EventInterval: 10 * time.Millisecond},
	}})
	s.Step(at(10), PeerReported{Daemon: "p", Report: Report{}})
	s.Step(at(20), Tick{})
	long := request(1, 0, 30)
	long.ExpectedEvents, long.Deadline = 100, at(5030)
	checkEffects(t, "long stream", s.Step(at(30), Submit{long}), "dispatch 1 b")
}

// TestDaemonsPreferDifferentEndpoints guards against daemons with the same view
// that all choose the same endpoint, and against a daemon that chooses a different
// endpoint, and so opens a new connection, for each request.
func TestDaemonsPreferDifferentEndpoints(t *testing.T) {
	const daemons, endpoints = 200, 8
	chosen := map[string]int{}
	for d := range daemons {
		s := New(Config{Daemon: strconv.Itoa(d), FailureDomain: "z1", Random: func() float64 { return 0 }})
		addEndpoints(s, "a", "b", "c", "d", "e", "f", "g", "h")
		first := s.Step(at(0), Submit{request(1, 0, 0)})[0].(Dispatch).Endpoint.ID
		s.Step(at(10), FirstByte{ID: 1})
		s.Step(at(20), Ended{ID: 1, Result: Succeeded})
		if again := s.Step(at(30), Submit{request(2, 0, 30)})[0].(Dispatch).Endpoint.ID; again != first {
			t.Errorf("daemon %d chose %s, then %s, want the same endpoint", d, first, again)
		}
		chosen[first]++
	}
	for id, n := range chosen {
		if n > 2*daemons/endpoints {
			t.Errorf("%d of %d daemons chose %s, want at most twice the mean", n, daemons, id)
		}
	}
	if len(chosen) != endpoints {
		t.Errorf("%d endpoints chosen, want all %d", len(chosen), endpoints)
	}
}

// BenchmarkSubmit measures a placement among the endpoints of one service.
func BenchmarkSubmit(b *testing.B) {
	for _, size := range []int{18, 140, 650} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			s := newState()
			for i := range size {
				s.Step(at(0), EndpointChanged{Endpoint{ID: string(rune(i + 256)), Service: "s", Slots: 7}})
			}
			for i := range b.N {
				r := request(uint64(i+1), 0, 0)
				s.Step(at(0), Submit{r})
				s.Step(at(1), Ended{ID: r.ID, Result: Succeeded})
			}
		})
	}
}
