package brplace

import (
	"time"

	"bramleyroute/brlimit"
)

const (
	// minSuspendTime is the duration of the first suspension of an endpoint. If
	// the endpoint is suspended again less than maxSuspendTime after the end of a
	// suspension, the duration doubles, up to maxSuspendTime.
	minSuspendTime = 800 * time.Millisecond
	maxSuspendTime = 4 * time.Second

	// failureRateMargin is the amount by which the failure rate of an endpoint must
	// exceed that of the other endpoints for it to be suspended. minSampleWeight is
	// the least weight of requests for either rate to be meaningful.
	failureRateMargin = 0.3
	minSampleWeight   = 4.0

	// stallTimeout is the time after which an endpoint is suspended that sends nothing:
	// no first byte of a dispatched request, no event of another stream, and no complete
	// response, as far as this daemon knows.
	stallTimeout = 900 * time.Millisecond

	// pauseSpread is the longest random delay added to the Retry-After of requests
	// rejected because of a pause, so that they don't all return at its end.
	pauseSpread = 500 * time.Millisecond

	// sampleDecay is the factor applied to the weight of past requests at each tick.
	sampleDecay = 0.96

	// eventIntervalWeight and durationWeight are the weights of a new value in the
	// moving averages of event interval and request duration.
	eventIntervalWeight = 0.2
	durationWeight      = 0.1
)

// endpoint is the state of one endpoint as seen by this daemon.
type endpoint struct {
	Endpoint
	affinityHash   float64  // in [0, 1), a hash of the daemon and the endpoint; see affinityWeight
	own            Usage    // usage by this daemon
	others         usageSum // usage by the other daemons
	health         decayingCount
	lastEnded      time.Time     // time the last request of this daemon ended
	lastProgress   time.Time     // time of the last event of a stream or complete response, or of the first dispatch
	eventInterval  time.Duration // moving average between two events of a stream, over all daemons; 0 if unknown
	duration       time.Duration // moving average of request durations
	suspendedUntil time.Time
	lastSuspension time.Duration  // duration of the last suspension
	evacuated      bool           // its failure domain is evacuated
	pausedUntil    time.Time      // until then the endpoint wants no requests of this daemon
	limit          brlimit.Limit  // as its present start states
	stated         bool           // the present start has stated a limit, or that it has none
	bucket         brlimit.Bucket // this daemon's share of the rate
	slotUse        slotUse
	cold           coldUse
	flow           flow
	learned        learned
	memory         memoryUse
}

// usageSum is the sum of the usage by other daemons.
type usageSum struct{ active, prompt int }

func (s *usageSum) add(u Usage) {
	s.active += u.Active
	s.prompt += u.PendingPromptTokens
}

func (s *usageSum) remove(u Usage) {
	s.active -= u.Active
	s.prompt -= u.PendingPromptTokens
}

// decayingCount counts ended and failed requests with weights that decay over time.
type decayingCount struct{ ended, failed float64 }

func (c *decayingCount) add(ended, failed uint64) {
	c.ended += float64(ended)
	c.failed += float64(failed)
}

func (c *decayingCount) remove(d decayingCount) {
	c.ended = max(0, c.ended-d.ended)
	c.failed = max(0, c.failed-d.failed)
}

func (c *decayingCount) failureRate() float64 {
	if c.ended == 0 {
		return 0
	}
	return c.failed / c.ended
}

func (c *decayingCount) decay() {
	c.ended *= sampleDecay
	c.failed *= sampleDecay
}

// active returns the number of requests at the endpoint, over all daemons.
func (e *endpoint) active() int { return e.own.Active + e.others.active }

// pendingPrompt returns the number of prompt tokens that the endpoint has yet to
// process, over all daemons.
func (e *endpoint) pendingPrompt() int { return e.own.PendingPromptTokens + e.others.prompt }

// usable reports whether this daemon may send a request to the endpoint now: it accepts
// new requests and isn't evacuated, is neither suspended nor paused, and its limit leaves room.
func (e *endpoint) usable(now time.Time) bool {
	return !e.closed() && !now.Before(e.suspendedUntil) && !now.Before(e.pausedUntil) && e.withinLimit(now)
}

// pause keeps this daemon's requests from an endpoint for the duration that the
// endpoint asked for, and rejects the waiting requests that can't be placed in time.
func (s *State) pause(id string, duration time.Duration) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	if until := s.now.Add(duration); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	s.rejectUnservable(s.service(e.Service))
}

// recordSuccess adds the duration of a request and the event interval of its
// stream to the moving averages. An interval of 0 is ignored.
func (e *endpoint) recordSuccess(duration, interval time.Duration) {
	e.duration = movingAverage(e.duration, duration, durationWeight)
	if interval > 0 {
		e.own.EventInterval = movingAverage(e.own.EventInterval, interval, eventIntervalWeight)
		e.eventInterval = movingAverage(e.eventInterval, interval, eventIntervalWeight)
	}
}

// suspend suspends the endpoint unless it is suspended already. See minSuspendTime
// for the duration.
func (s *State) suspend(e *endpoint, cause Cause) {
	if s.now.Before(e.suspendedUntil) {
		return
	}
	if s.now.Sub(e.suspendedUntil) < maxSuspendTime && e.lastSuspension > 0 {
		e.lastSuspension = min(2*e.lastSuspension, maxSuspendTime)
	} else {
		e.lastSuspension = minSuspendTime
	}
	e.suspendedUntil = s.now.Add(e.lastSuspension)
	s.effects = append(s.effects, Suspended{
		Endpoint: e.ID, Duration: e.lastSuspension, Cause: cause, Ended: e.health.ended, Failed: e.health.failed,
	})
	s.forgetOutcomes(e)
	s.presumeColdAfter(e, cause)
}

// forgetOutcomes removes the past requests of an endpoint from its health statistics and
// those of its service.
func (s *State) forgetOutcomes(e *endpoint) {
	s.service(e.Service).health.remove(e.health)
	e.health = decayingCount{}
}

// recordOutcomes adds ended and failed requests of any daemon to the health
// statistics of the endpoint and its service, unless the endpoint is evacuated.
func (s *State) recordOutcomes(e *endpoint, ended, failed uint64) {
	if e.evacuated {
		return
	}
	e.health.add(ended, failed)
	s.service(e.Service).health.add(ended, failed)
}

// checkHealth suspends an endpoint whose failure rate exceeds that of the other
// endpoints of its service by more than failureRateMargin.
func (s *State) checkHealth(e *endpoint) {
	others := s.service(e.Service).health
	others.remove(e.health)
	if e.health.ended >= minSampleWeight && others.ended >= minSampleWeight && e.health.failureRate() > others.failureRate()+failureRateMargin {
		s.suspend(e, Failing)
	}
}

// ProgressSince reports whether an endpoint has sent anything after t, as far as this
// daemon knows.
func (s *State) ProgressSince(id string, t time.Time) bool {
	e := s.endpoints[id]
	return e != nil && e.lastProgress.After(t)
}

// checkStalled suspends the endpoint of f if f has no first byte and the endpoint
// has made no progress for longer than stallTimeout. A request on a lost path tells nothing.
func (s *State) checkStalled(f *inflightRequest) {
	e := f.endpoint
	since := e.lastProgress
	if f.dispatchedAt.After(since) {
		since = f.dispatchedAt
	}
	if !f.gotFirstByte && !f.pathLost && s.now.Sub(since) > stallTimeout {
		s.suspend(e, Stalled)
	}
}

// updateStatistics decays the health statistics of a service and its endpoints and
// updates the mean event interval of the service.
func (v *service) updateStatistics() {
	v.health.decay()
	var sum time.Duration
	n := 0
	for _, e := range v.endpoints {
		e.health.decay()
		if p := e.eventInterval; p > 0 {
			sum += p
			n++
		}
	}
	if n > 0 {
		v.eventInterval = sum / time.Duration(n)
	}
}

// movingAverage returns old moved towards value by the given weight, or value if
// old is 0.
func movingAverage(old, value time.Duration, weight float64) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(weight*float64(value-old))
}
