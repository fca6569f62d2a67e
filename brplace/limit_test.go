package brplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleyroute/brlimit"
)

// limitReplay replays a fleet whose endpoints all state a limit, as after a cold start.
type limitReplay struct {
	daemons, endpoints int
	rate               float64       // requests/s that each endpoint takes
	demand             float64       // requests/s for each endpoint
	delay              time.Duration // until the other daemons know a limit
	split              bool          // the daemons of one half don't hear those of the other

	now      time.Duration
	rng      *rand.Rand
	states   []*State
	later    map[time.Duration][]func()
	arrivals map[string][]time.Duration // by endpoint, of those from daemons that know the limit
	known    map[side]time.Duration
	arrived  []map[uint64]time.Duration // of the waiting requests, by daemon
	byRank   [3]struct{ requests, dispatched int }
	rejected int
	lateness time.Duration // longest time from an arrival to a rejection
	noRetry  int           // rejections without a Retry-After
}

// side is an endpoint with one side of a split, whose daemons learn its limit together.
type side struct {
	endpoint string
	half     int
}

const (
	limitStep     = 5 * time.Millisecond
	limitDuration = 12 * time.Second
	limitWindow   = 4 * time.Second
	limitContact  = 500 * time.Millisecond
	limitWait     = 1200 * time.Millisecond // MaxQueueTime
)

func (r *limitReplay) run() {
	r.rng = rand.New(rand.NewPCG(3, 4))
	r.later, r.arrivals = map[time.Duration][]func(){}, map[string][]time.Duration{}
	r.known = map[side]time.Duration{}
	for range r.daemons {
		s := New(Config{Daemon: fmt.Sprint("d", len(r.states)), FailureDomain: "z1", Random: r.rng.Float64})
		s.Step(start, FleetChanged{daemonIDs(r.daemons)})
		for e := range r.endpoints {
			s.Step(start, EndpointChanged{Endpoint{ID: fmt.Sprint("e", e), Service: "s", Zone: "z1", Slots: 7, Born: 1}})
		}
		r.states, r.arrived = append(r.states, s), append(r.arrived, map[uint64]time.Duration{})
	}
	perStep := r.demand * float64(r.endpoints) * limitStep.Seconds()
	due, id := 0.0, uint64(0)
	for ; r.now < limitDuration; r.now += limitStep {
		for _, f := range r.later[r.now] {
			f()
		}
		delete(r.later, r.now)
		for d := range r.states {
			if (r.now+time.Duration(d)*limitStep)%replayTick == 0 {
				r.step(d, Tick{})
			}
		}
		for due += perStep; due >= 1; due-- {
			id++
			r.submit(id)
		}
	}
}

func (r *limitReplay) submit(id uint64) {
	d, rank, at := r.rng.IntN(r.daemons), r.rng.IntN(3), start.Add(r.now)
	r.byRank[rank].requests++
	r.arrived[d][id] = r.now
	r.step(d, Submit{Request{
		ID: id, Service: "s", Rank: rank, FirstByteDue: at.Add(600 * time.Millisecond),
		Deadline: at.Add(6 * time.Second), MaxQueueTime: limitWait,
	}})
}

func (r *limitReplay) after(d time.Duration, f func()) {
	t := r.now + max(limitStep, d)
	r.later[t] = append(r.later[t], f)
}

func (r *limitReplay) step(d int, ev Event) {
	for _, effect := range r.states[d].Step(start.Add(r.now), ev) {
		switch e := effect.(type) {
		case Dispatch:
			r.dispatch(d, e)
		case Reject:
			r.rejected++
			r.lateness = max(r.lateness, r.now-r.arrived[d][e.ID])
			if e.RetryAfter <= 0 {
				r.noRetry++
			}
		case LimitLearned:
			r.after(r.delay, func() {
				for other := range r.states {
					if other != d && (!r.split || other%2 == d%2) {
						r.step(other, LimitPublished{ID: e.ID, Born: e.Born, Limit: e.Limit})
					}
				}
			})
		}
	}
}

func (r *limitReplay) dispatch(d int, e Dispatch) {
	id, sentAt := e.Endpoint.ID, start.Add(r.now)
	r.recordArrival(id, d)
	r.byRank[r.states[d].inflight[e.ID].request.Rank].dispatched++
	r.after(10*time.Millisecond, func() {
		r.step(d, LimitObserved{ID: id, Born: 1, SentAt: sentAt, Limit: brlimit.Limit{Limited: true, Rate: r.rate}})
	})
	r.after(300*time.Millisecond, func() { r.step(d, Ended{ID: e.ID, Result: Succeeded}) })
}

// recordArrival records a request at an endpoint if its daemon, or one that it hears from,
// has known the limit for the contact time.
func (r *limitReplay) recordArrival(id string, daemon int) {
	k := side{endpoint: id}
	if r.split {
		k.half = daemon % 2
	}
	if _, ok := r.known[k]; !ok {
		r.known[k] = r.now + limitContact
	}
	if r.now >= r.known[k] {
		r.arrivals[id] = append(r.arrivals[id], r.now)
	}
}

// busiest returns the greatest number of requests that an endpoint got in a window, and
// how many a second all of them got.
func (r *limitReplay) busiest() (most int, perSecond float64) {
	for id, times := range r.arrivals {
		first := 0
		for i, t := range times {
			for t-times[first] > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		known := max(r.known[side{id, 0}], r.known[side{id, 1}])
		perSecond += float64(len(times)) / (limitDuration - known).Seconds()
	}
	return most, perSecond
}

func (r *limitReplay) dispatchedPart(rank int) float64 {
	return float64(r.byRank[rank].dispatched) / float64(r.byRank[rank].requests)
}

// TestLimitedEndpoints guards against a fleet that exceeds the limits that its endpoints
// state, in any size and while it is split, against one that leaves the limits unused,
// and against requests beyond them that wait without a chance or are turned away without
// regard to rank. The endpoints take 1.5 times their limit and 5 requests more.
func TestLimitedEndpoints(t *testing.T) {
	const leastUsed = 0.9 // of the sum of the limits
	for _, test := range []struct {
		daemons, endpoints int
		rate               float64
		split              bool
	}{
		{11, 18, 0, false}, {11, 18, 0.5, false}, {11, 18, 1.6, false}, {11, 18, 1.6, true}, {11, 18, 6, false},
		{67, 144, 0.5, false}, {67, 144, 1.6, true}, {200, 156, 0, false}, {200, 156, 1.6, false}, {200, 156, 1.6, true},
	} {
		t.Run(fmt.Sprintf("daemons=%d/rate=%v/split=%v", test.daemons, test.rate, test.split), func(t *testing.T) {
			t.Parallel()
			r := limitReplay{
				daemons: test.daemons, endpoints: test.endpoints, rate: test.rate, demand: max(1, 3*test.rate),
				delay: 150 * time.Millisecond, split: test.split,
			}
			r.run()
			most, perSecond := r.busiest()
			allowed := 1.5*test.rate*limitWindow.Seconds() + 5
			used := perSecond / (max(test.rate, brlimit.MinRate) * float64(test.endpoints))
			t.Logf("at most %d requests in %v, %.1f allowed; %.2f of the limits used; dispatched by rank %.2f %.2f %.2f",
				most, limitWindow, allowed, used, r.dispatchedPart(0), r.dispatchedPart(1), r.dispatchedPart(2))
			if float64(most) > allowed {
				t.Errorf("an endpoint got %d requests in %v, want at most %.1f", most, limitWindow, allowed)
			}
			if test.rate > 0 && used < leastUsed {
				t.Errorf("%.2f of the limits used, want at least %.2f", used, leastUsed)
			}
			if r.dispatchedPart(0) < r.dispatchedPart(1) || r.dispatchedPart(1) < r.dispatchedPart(2) {
				t.Error("a rank is dispatched less often than the next")
			}
			if r.rejected == 0 || r.noRetry > 0 || r.lateness > limitWait+2*replayTick {
				t.Errorf("%d rejections, %d without a Retry-After, the latest after %v; want some, none and at most %v", r.rejected, r.noRetry, r.lateness, limitWait)
			}
		})
	}
}

// TestChangedLimit guards against an endpoint that gets no requests because each of its
// responses states another limit, as it does while it warms up.
func TestChangedLimit(t *testing.T) {
	s := newState()
	addEndpoints(s, "a")
	sent := 0
	for ms := 0; ms < 10_000; ms += 50 {
		limit := brlimit.Limit{Limited: true, Rate: 1 + float64(ms)/1e6}
		for _, ev := range []Event{Tick{}, LimitPublished{ID: "a", Limit: limit}, Submit{request(uint64(ms+1), 0, ms)}} {
			for _, effect := range s.Step(at(ms), ev) {
				if d, ok := effect.(Dispatch); ok {
					sent++
					s.Step(at(ms), Ended{ID: d.ID, Result: Succeeded})
				}
			}
		}
	}
	if sent < 8 || sent > 12 {
		t.Errorf("%d requests sent in 10 s at about one a second, want nearly 10", sent)
	}
}
