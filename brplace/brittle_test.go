package brplace

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brlimit"
)

// brittleFleet returns a replay with reports as frequent as those of brfleet.
func brittleFleet(daemons, endpoints, slots int, kinds []streamKind) brittleReplay {
	r := brittleReplay{daemons: daemons, endpoints: endpoints, slots: slots, kinds: kinds, rejections: 1}
	r.reportInterval, r.reportDelay, r.limitDelay = 20*time.Millisecond, 10*time.Millisecond, 30*time.Millisecond
	if daemons > fullChoiceDaemons {
		n := time.Duration(daemons)
		r.reportInterval, r.reportDelay, r.limitDelay = 4*time.Millisecond*n, 100*time.Millisecond, 150*time.Millisecond
		r.domainInterval, r.domainDelay = 3*time.Millisecond*n/6, 35*time.Millisecond
	}
	return r
}

// TestBrittleEndpoints guards against daemons that together send brittle endpoints more
// than their slots: these reject the rest, and fail when they have rejected more than they
// bear in a second. By the users' rule at most 2 and a tenth of them may. It also guards
// against slots that nobody uses while requests wait, and against requests that are held
// beyond their longest wait.
func TestBrittleEndpoints(t *testing.T) {
	for _, test := range []struct {
		daemons, endpoints, slots int
		kinds                     []streamKind
		load                      float64
		rejections                int
		split                     bool
	}{
		{11, 18, 7, draftingKinds, 0.7, 1, false}, {11, 18, 7, draftingKinds, 1, 1, false}, {11, 18, 7, draftingKinds, 2, 1, false},
		{11, 18, 7, draftingKinds, 2, 0, false}, {11, 18, 7, draftingKinds, 1.5, 2, true}, {11, 18, 7, draftingKinds, 2, 5, false},
		{11, 4, 6, bookingKinds, 0.1, 1, false}, {11, 4, 6, bookingKinds, 0.2, 1, false}, {11, 4, 6, bookingKinds, 1, 1, false},
		{67, 72, 4, draftingKinds, 1, 1, false}, {67, 72, 4, draftingKinds, 2, 1, false},
		{67, 6, 6, bookingKinds, 0.1, 1, false}, {67, 6, 6, bookingKinds, 0.2, 1, false}, {67, 6, 6, bookingKinds, 1, 1, false},
		{200, 156, 4, draftingKinds, 1, 1, false},
		{200, 6, 6, bookingKinds, 0.1, 1, false}, {200, 6, 6, bookingKinds, 0.2, 1, false}, {200, 6, 6, bookingKinds, 1, 1, false},
	} {
		t.Run(fmt.Sprintf("daemons=%d/endpoints=%d/load=%v/rejections=%d", test.daemons, test.endpoints, test.load, test.rejections), func(t *testing.T) {
			t.Parallel()
			r := brittleFleet(test.daemons, test.endpoints, test.slots, test.kinds)
			r.load, r.rejections, r.split = test.load, test.rejections, test.split
			r.run()
			t.Log(&r)
			if bound := 2 + 0.1*float64(test.endpoints); float64(r.falls) > bound {
				t.Errorf("%d falls, want at most %.1f", r.falls, bound)
			}
			// Half of the slots is much for shares of one or two slots with arrivals by chance.
			if eachHasSlots := test.endpoints*test.slots >= test.daemons; eachHasSlots && test.load >= 1 && r.used() < 0.5 {
				t.Errorf("%.2f of the slots used at a load of %v, want at least half", r.used(), test.load)
			}
			if r.noRetry > 0 || r.late > 2*replayTick {
				t.Errorf("%d requests rejected without a Retry-After, the latest %v after its longest wait; want none, and at most %v", r.noRetry, r.late, 2*replayTick)
			}
		})
	}
}

// brittleState returns the state of one of three daemons, whose endpoints a and b have
// the given slots and state that they are brittle.
func brittleState(slots, rejections int) *State {
	s := New(Config{Daemon: "d1", Random: func() float64 { return 0 }})
	s.Step(at(0), FleetChanged{[]string{"d1", "d2", "d3"}})
	for _, id := range []string{"a", "b"} {
		s.Step(at(0), EndpointChanged{Endpoint{ID: id, Service: "s", Slots: slots, Born: 1}})
		s.Step(at(0), LimitPublished{ID: id, Born: 1, Limit: brlimit.Limit{Brittle: true, RejectionLimit: rejections}})
	}
	for _, d := range []string{"d2", "d3"} {
		s.Step(at(0), PeerReported{d, Report{}})
	}
	s.Step(at(50), Tick{})
	return s
}

// dispatches returns the requests that effects dispatch.
func dispatches(effects []Effect) (d []Dispatch) {
	for _, e := range effects {
		if e, ok := e.(Dispatch); ok {
			d = append(d, e)
		}
	}
	return d
}

// submitAll submits n requests at the given time and returns the endpoints of those that
// are dispatched, by ID, and the rejections.
func submitAll(s *State, first uint64, n, ms int) (sent map[uint64]string, rejected []Reject) {
	sent = map[uint64]string{}
	for i := range n {
		r := request(first+uint64(i), 0, ms)
		r.MaxQueueTime = time.Second
		for _, effect := range s.Step(at(ms), Submit{r}) {
			switch e := effect.(type) {
			case Dispatch:
				sent[e.ID] = e.Endpoint.ID
			case Reject:
				rejected = append(rejected, e)
			}
		}
	}
	return sent, rejected
}

// TestOwnSlotsOnly guards against a daemon that sends a brittle endpoint more requests
// than its part of the slots, or goes on doing so when the endpoint isn't brittle any
// more, and against the slot of a request that was broken off being reused before the
// endpoint can have noticed.
func TestOwnSlotsOnly(t *testing.T) {
	s := brittleState(6, 1)
	sent, rejected := submitAll(s, 1, 10, 60)
	if len(sent) != 4 || len(rejected) > 0 {
		t.Fatalf("%d requests sent and %d rejected, want 4 sent, a third of 12 slots, and the others waiting", len(sent), len(rejected))
	}
	if n := len(dispatches(s.Step(at(100), Ended{ID: 1, Result: Inconclusive}))); n != 0 {
		t.Errorf("%d requests sent when one was broken off, want none before its endpoint has noticed", n)
	}
	if n := len(dispatches(s.Step(at(100+int(releaseDelay.Milliseconds())), Tick{}))); n != 1 {
		t.Errorf("%d requests sent %v later, want 1", n, releaseDelay)
	}
	if n := len(dispatches(s.Step(at(300), Ended{ID: 2, Result: Succeeded}))); n != 1 {
		t.Errorf("%d requests sent when one has succeeded, want 1", n)
	}
	s.Step(at(400), LimitPublished{ID: "a", Born: 1})
	if n := len(dispatches(s.Step(at(450), Tick{}))); n < 4 {
		t.Errorf("%d requests sent when an endpoint of 6 slots is no longer brittle, want all 4 that wait", n)
	}
}

// TestRejectionByBrittleEndpoint guards against a daemon that sends an endpoint more in
// the second after a rejection, also one that another daemon has had, and against sending
// the rejected request where there is no room either.
func TestRejectionByBrittleEndpoint(t *testing.T) {
	for _, own := range []bool{true, false} {
		s := brittleState(6, 1)
		sent, _ := submitAll(s, 1, 1, 60)
		endpoint, request := sent[1], uint64(1)
		if own {
			effects := s.Step(at(70), LimitObserved{
				ID: endpoint, Born: 1, SentAt: at(60), Limit: brlimit.Limit{Brittle: true, RejectionLimit: 1}, Rejected: true,
			})
			if len(effects) != 1 || !effects[0].(LimitLearned).Rejected {
				t.Errorf("effects %v of a rejection, want it published", effects)
			}
			s.Step(at(70), Ended{ID: request, Result: Inconclusive})
		} else {
			s.Step(at(70), LimitPublished{ID: endpoint, Born: 1, Limit: brlimit.Limit{Brittle: true, RejectionLimit: 1}, Rejected: true})
		}
		sent, _ = submitAll(s, 10, 6, 100)
		for id, e := range sent {
			if e == endpoint {
				t.Errorf("own %v: request %d sent to the endpoint 30 ms after its rejection", own, id)
			}
		}
		if len(sent) != 2 {
			t.Errorf("own %v: %d requests sent to the other endpoint, want 2, its slots of this daemon", own, len(sent))
		}
		if !own {
			if n := len(dispatches(s.Step(at(200), Ended{ID: request, Result: Succeeded}))); n != 1 {
				t.Errorf("%d requests sent when an own request has made room, want 1", n)
			}
		}
		want := 2
		if !own {
			want = 1
		}
		if n := len(dispatches(s.Step(at(1080), Tick{}))); n != want {
			t.Errorf("own %v: %d requests sent a second after the rejection, want %d", own, n, want)
		}
	}
}

// TestBrittleBeforeFirstResponse guards against a new start of an endpoint that counts as
// sound until its first response, though the start before it or the other endpoints of
// its service were brittle, and against one that counts as brittle for good.
func TestBrittleBeforeFirstResponse(t *testing.T) {
	s := brittleState(6, 1)
	s.Step(at(100), EndpointChanged{Endpoint{ID: "a", Service: "s", Slots: 6, Born: 2}})
	s.Step(at(100), EndpointChanged{Endpoint{ID: "c", Service: "s", Slots: 6, Born: 2}})
	s.Step(at(150), Tick{})
	if sent, _ := submitAll(s, 1, 20, 160); len(sent) != 6 {
		t.Errorf("%d requests sent, want 6, a third of 18 slots", len(sent))
	}
	for _, id := range []string{"a", "b", "c"} {
		s.Step(at(200), LimitObserved{ID: id, Born: map[bool]uint64{true: 1, false: 2}[id == "b"], SentAt: at(180)})
	}
	if n := len(dispatches(s.Step(at(250), Tick{}))); n < 12 {
		t.Errorf("%d requests sent when no endpoint is brittle, want at least 12", n)
	}
}

// TestDaemonWithoutSlots guards against a daemon that holds requests for which it has no
// slot, and against one that uses slots of the others though they are busy, though it
// doesn't hear from all of them, or though the endpoints bear no rejection.
func TestDaemonWithoutSlots(t *testing.T) {
	for _, test := range []struct {
		name       string
		rejections int
		busy       int // slots in use by another daemon
		lost       string
		sent       bool
	}{
		{"free", 1, 0, "", true},
		{"half full", 1, 1, "", false},
		{"daemon lost", 1, 0, "d2", false},
		{"no rejection", 0, 0, "", false},
	} {
		s := brittleState(1, test.rejections)
		s.Step(at(60), FleetChanged{[]string{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}})
		for _, d := range []string{"d4", "d5", "d6", "d7"} {
			s.Step(at(60), PeerReported{d, Report{}})
		}
		s.Step(at(60), PeerReported{"d2", Report{"a": {Active: test.busy}, "b": {Active: test.busy}}})
		if test.lost != "" {
			s.Step(at(60), PeerLost{test.lost})
		}
		s.Step(at(100), Tick{})
		if s.endpoints["a"].slotUse.share+s.endpoints["b"].slotUse.share > 0 {
			t.Fatal("d1 has a slot, want none for this test")
		}
		sent, rejected := submitAll(s, 1, 1, 110)
		if (len(sent) == 1) != test.sent || (len(rejected) == 1) == test.sent {
			t.Errorf("%s: %d sent, %d rejected; want sent %v and else rejected at once", test.name, len(sent), len(rejected), test.sent)
		}
		for _, r := range rejected {
			if r.Reason != Limited || r.RetryAfter < minRetryAfter {
				t.Errorf("%s: rejected because %q, to be sent again after %v; want %q and at least %v", test.name, r.Reason, r.RetryAfter, Limited, minRetryAfter)
			}
		}
	}
}
