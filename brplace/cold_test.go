package brplace

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleyroute/brlimit"
)

// coldReplay lets the endpoints of one failure domain return cold together, while a
// fleetReplay runs. They crash when they get more requests in a second than they take.
type coldReplay struct {
	limit    ColdLimit
	announce bool          // the daemons hear that the endpoints are cold
	again    bool          // the endpoints were in use until then; otherwise they have just started
	latest   time.Duration // until the last daemon in touch hears of it
	all      bool          // the endpoints of all failure domains return, not only those of one
	cut      int           // number of daemons that are cut off, know only each other, and hear of it last

	arrivals map[int][]time.Duration // of requests in the cold time, by endpoint
	crashed  map[int]bool
	most     int // greatest number of requests that an endpoint got in a second
	used     int // requests that endpoints got in the last second of the cold time
	rejected struct {
		count, atOnce int           // for the cold endpoints; within two ticks of the arrival
		latest        time.Duration // longest time from an arrival to a rejection
		first, last   time.Duration // bounds of Retry-After
	}
}

const (
	coldReplayAt     = 3 * time.Second
	coldReplayDomain = 0
	coldReplayWindow = time.Second
	cutOffDelay      = 1500 * time.Millisecond // until a daemon that is cut off hears of it
)

// allowed returns the number of requests in a second under which a cold endpoint crashes.
func (c *coldReplay) allowed() float64 { return 1.5*c.limit.Rate + 5 }

// returns reports whether endpoint i returns cold.
func (c *coldReplay) returns(i int) bool { return c.all || replayZone(i) == coldReplayDomain }

// prepare lets daemon d know the fleet, and schedules the return of the endpoints.
func (c *coldReplay) prepare(r *replayRun, s *State, d int) {
	if c == nil {
		return
	}
	ids := daemonIDs(r.daemons)
	switch {
	case d < c.cut:
		ids = ids[:0]
		for i := range c.cut {
			ids = append(ids, fmt.Sprint("d", i))
		}
	case c.cut > 0:
		ids = slices.DeleteFunc(ids, func(id string) bool {
			var i int
			fmt.Sscanf(id, "d%d", &i)
			return i < c.cut
		})
	}
	slices.Sort(ids)
	s.Step(start, FleetChanged{ids})
	s.Step(start, FleetJoined{})
	if c.announce {
		s.Step(start, ColdLimitsChanged{map[string]ColdLimit{"s": c.limit}})
	}
	delay := time.Duration(r.rng.Float64() * float64(c.latest))
	if d < c.cut {
		delay = cutOffDelay
	}
	for e := range r.endpoints {
		if !c.returns(e) {
			continue
		}
		id := fmt.Sprintf("e%03d", e)
		if !c.again {
			s.Step(start, EndpointLost{id})
		}
		r.after(coldReplayAt+delay, func() {
			r.step(d, ColdAnnounced{ID: id, Born: 2, Stated: true, Remaining: c.limit.Duration, Age: delay})
			r.step(d, EndpointChanged{Endpoint{ID: id, Service: "s", Zone: "z0", Slots: r.slots, Born: 2}})
		})
	}
}

// fails records a request that is sent to endpoint i, and reports whether it has crashed.
func (c *coldReplay) fails(r *replayRun, i int) bool {
	end := coldReplayAt + c.limit.Duration
	if !c.returns(i) || r.now < coldReplayAt || r.now > end {
		return c.crashed[i]
	}
	if end-r.now < time.Second {
		c.used++
	}
	times := append(c.arrivals[i], r.now)
	for r.now-times[0] > coldReplayWindow {
		times = times[1:]
	}
	c.arrivals[i] = times
	c.most = max(c.most, len(times))
	if float64(len(times)) > c.allowed() {
		c.crashed[i] = true
	}
	return c.crashed[i]
}

// recordRejection records the rejection of q.
func (c *coldReplay) recordRejection(r *replayRun, q *replayStream, e Reject) {
	if c == nil || e.Reason != Cold || q.arrived < coldReplayAt+c.latest {
		return
	}
	if c.rejected.count++; c.rejected.count == 1 {
		c.rejected.first = e.RetryAfter
	}
	if r.now-q.arrived <= 2*replayTick {
		c.rejected.atOnce++
	}
	c.rejected.latest = max(c.rejected.latest, r.now-q.arrived)
	c.rejected.first = min(c.rejected.first, e.RetryAfter)
	c.rejected.last = max(c.rejected.last, e.RetryAfter)
}

// TestColdReturn guards against a fleet that sends too much to the endpoints of a failure
// domain that return cold together under full load, against one that uses none of what they
// take, and against urgent streams that suffer for it. A replay in which the daemons don't
// know that endpoints are cold is the one to compare with.
func TestColdReturn(t *testing.T) {
	for _, test := range []coldReturn{
		{11, 24, 0, false}, {11, 24, 3, false}, {11, 24, 0, true},
		{64, 78, 0, false}, {64, 78, 16, false}, {64, 78, 0, true},
		{200, 156, 0, false},
	} {
		test.check(t)
	}
}

// TestColdAgainInCutFleet is the same for endpoints that turn cold without a start in a large
// fleet of which a quarter is cut off, so that many daemons hear of it late.
func TestColdAgainInCutFleet(t *testing.T) {
	coldReturn{200, 156, 50, true}.check(t)
}

// coldReturn is a case of TestColdReturn.
type coldReturn struct {
	daemons, endpoints, cut int
	again                   bool // the endpoints turn cold without a start
}

func (test coldReturn) check(t *testing.T) {
	t.Run(fmt.Sprintf("daemons=%d/cut=%d/again=%v", test.daemons, test.cut, test.again), func(t *testing.T) {
		t.Parallel()
		replay := coldReplay{limit: ColdLimit{Rate: 9.3, Duration: 3 * time.Second}, again: test.again, cut: test.cut}
		before, unknown := replay.run(test.daemons, test.endpoints, 2)
		replay.announce = true
		after, c := replay.run(test.daemons, test.endpoints, 2)
		t.Logf("most in a second %d, %.1f allowed, %d crashed, %v; not told: %d, %d, %v",
			c.most, c.allowed(), len(c.crashed), after, unknown.most, len(unknown.crashed), before)
		if len(c.crashed) > 0 || c.most == 0 {
			t.Errorf("an endpoint got %d requests in a second, %d crashed; want at most %.1f, and some in use", c.most, len(c.crashed), c.allowed())
		}
		if after.onTime(0) < before.onTime(0)-0.02 || after.part() < before.part()-0.02 {
			t.Errorf("%.3f of the urgent streams on time, %.3f of the worth earned; want at least %.3f and %.3f, less 0.02",
				after.onTime(0), after.part(), before.onTime(0), before.part())
		}
	})
}

// TestAllReturnCold guards against a service that serves little of what its endpoints take
// when all of them return cold at once, against requests that wait for nothing, and against
// callers that all return at once.
func TestAllReturnCold(t *testing.T) {
	longestWait := draftingKinds[0].callerTimeout() * 6 / 10 // MaxQueueTime of the replay
	for _, test := range []struct {
		daemons, endpoints, cut int
		rate                    float64
	}{{11, 24, 0, 3.5}, {64, 78, 0, 3.5}, {64, 78, 16, 9.3}, {200, 156, 0, 3.5}, {84, 78, 0, 0.5}} {
		t.Run(fmt.Sprintf("daemons=%d/cut=%d/rate=%v", test.daemons, test.cut, test.rate), func(t *testing.T) {
			t.Parallel()
			replay := coldReplay{limit: ColdLimit{Rate: test.rate, Duration: 3 * time.Second}, all: true, announce: true, cut: test.cut}
			run, c := replay.run(test.daemons, test.endpoints, 2)
			takes := min(test.rate, 2*4.44) * float64(test.endpoints)
			refused := c.rejected
			t.Logf("most in a second %d, %.1f allowed; %.2f used; rejected for it %+v; %v", c.most, c.allowed(), float64(c.used)/takes, refused, run)
			if len(c.crashed) > 0 || float64(c.used) < 0.7*takes {
				t.Errorf("%d endpoints crashed, %d requests in the last second; want none and at least 0.7 of %.0f", len(c.crashed), c.used, takes)
			}
			if test.rate < 4 && (refused.count == 0 || refused.atOnce < refused.count/2 || refused.latest > longestWait+2*replayTick) {
				t.Errorf("%d rejections, %d of them at once, the latest after %v; want some, half of them at once", refused.count, refused.atOnce, refused.latest)
			}
			if test.rate < 4 && (refused.first < minRetryAfter || refused.last < 2*refused.first) {
				t.Errorf("rejected callers return in %v to %v, want at least %v and a spread", refused.first, refused.last, minRetryAfter)
			}
		})
	}
}

// run replays a fleet at a multiple of the usual load.
func (c coldReplay) run(daemons, endpoints int, load float64) (*replayRun, *coldReplay) {
	c.latest, c.arrivals, c.crashed = 400*time.Millisecond, map[int][]time.Duration{}, map[int]bool{}
	return fleetReplay{
		daemons: daemons, endpoints: endpoints, slots: 6, kinds: draftingKinds, load: load, duration: 8 * time.Second,
		reportInterval: 300 * time.Millisecond, reportDelay: 50 * time.Millisecond, cold: &c,
	}.run(), &c
}

// TestColdEvents guards against an endpoint that counts as warm, or as cold, for the wrong
// reason. A single daemon has the whole rate.
func TestColdEvents(t *testing.T) {
	const rate, unlimited = 2, 40
	limits := ColdLimitsChanged{map[string]ColdLimit{"s": {Rate: rate, Duration: time.Hour}}}
	cold := ColdAnnounced{ID: "a", Born: 2, Stated: true, Remaining: time.Hour}
	warm := ColdAnnounced{ID: "a", Born: 2, Stated: true}
	endpoint := EndpointChanged{Endpoint{ID: "a", Service: "s", Zone: "z1", Slots: 50, Born: 2}}
	for name, test := range map[string]struct {
		events []Event
		most   int // requests in one second from two seconds after the events
	}{
		"no limit":               {[]Event{cold, endpoint, FleetJoined{}}, unlimited},
		"cold":                   {[]Event{limits, cold, endpoint, FleetJoined{}}, rate},
		"limit later":            {[]Event{cold, endpoint, FleetJoined{}, limits}, rate},
		"not joined":             {[]Event{limits, cold, endpoint}, 0},
		"warm":                   {[]Event{limits, warm, endpoint, FleetJoined{}}, unlimited},
		"warm earlier than said": {[]Event{limits, cold, endpoint, FleetJoined{}, warm}, unlimited},
		"cold again":             {[]Event{limits, warm, endpoint, FleetJoined{}, cold}, rate},
		"cold time is over":      {[]Event{limits, ColdAnnounced{ID: "a", Born: 2, Stated: true, Remaining: time.Second, Age: 500 * time.Millisecond}, endpoint, FleetJoined{}}, unlimited},
		"not stated":             {[]Event{limits, ColdAnnounced{ID: "a", Born: 2}, endpoint, FleetJoined{}}, rate},
		"not stated later":       {[]Event{limits, warm, endpoint, FleetJoined{}, ColdAnnounced{ID: "a", Born: 2}}, unlimited},
		"former start":           {[]Event{limits, warm, endpoint, FleetJoined{}, ColdAnnounced{ID: "a", Born: 1, Stated: true, Remaining: time.Hour}}, unlimited},
		"limit stated as well":   {[]Event{limits, cold, endpoint, FleetJoined{}, LimitPublished{ID: "a", Born: 2, Limit: brlimit.Limit{Limited: true, Rate: 1}}}, 1},
		"refused connection":     {[]Event{limits, warm, endpoint, FleetJoined{}, Submit{request(1, 0, 0)}, Ended{ID: 1, Result: WrongAddress}}, rate},
		"refused, then warm":     {[]Event{limits, warm, endpoint, FleetJoined{}, Submit{request(1, 0, 0)}, Ended{ID: 1, Result: WrongAddress}, warm}, unlimited},
		"refused, path lost":     {[]Event{limits, warm, endpoint, FleetJoined{}, Submit{request(1, 0, 0)}, Ended{ID: 1, Result: WrongAddress}, PathLost{}}, unlimited},
	} {
		t.Run(name, func(t *testing.T) {
			s, sent := newState(), 0
			s.Step(at(0), FleetChanged{[]string{""}})
			for i, ev := range test.events {
				s.Step(at(i), ev)
			}
			for ms := 50; ms < 3000; ms += 25 {
				s.Step(at(ms), Tick{})
				for _, effect := range s.Step(at(ms), Submit{request(uint64(ms), 0, ms)}) {
					d, ok := effect.(Dispatch)
					if !ok {
						continue
					}
					s.Step(at(ms), Ended{ID: d.ID, Result: Succeeded})
					if ms >= 2000 {
						sent++
					}
				}
			}
			if sent > test.most || 2*sent < test.most {
				t.Errorf("%d requests in a second, want %d", sent, test.most)
			}
		})
	}
}
