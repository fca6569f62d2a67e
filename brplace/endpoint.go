package brplace

import "time"

const (
	// suspendTime is how long an endpoint that fails gets no requests. One that
	// fails again right after is suspended for twice as long, up to the maximum.
	suspendTime    = 800 * time.Millisecond
	maxSuspendTime = 4 * time.Second

	// failedShare is by how much the share of failures of an endpoint must exceed
	// that of the others for it to be suspended, and minSample the weight of the
	// requests that it takes to tell.
	failedShare = 0.3
	minSample   = 4.0

	// stalledAfter is the time without any answer byte from an endpoint with
	// dispatched requests after which it counts as silent.
	stalledAfter = 900 * time.Millisecond

	// sampleDecay is what is left of the weight of a sample after a tick.
	sampleDecay = 0.96

	paceWeight     = 0.2 // of a new value in a moving average
	durationWeight = 0.1
)

// endpoint is what this daemon knows of one endpoint.
type endpoint struct {
	Endpoint
	remoteness float64 // in [0, 1), a hash of the daemon and the endpoint; see affinityShare
	own        Usage   // of this daemon
	others     total   // of the other daemons
	health     sample
	endedAt    time.Time     // when a request of this daemon last ended
	progressed time.Time     // of the last sign of life in an answer
	pace       time.Duration // moving average between two events of a stream, of all daemons; 0 when not known
	duration   time.Duration // moving average of a request's time at the endpoint
	suspended  time.Time     // until when
	penalty    time.Duration // the last suspension
}

// total is the sum of other daemons' usage.
type total struct{ active, prompt int }

func (t *total) add(u Usage) {
	t.active += u.Active
	t.prompt += u.Prompt
}

func (t *total) remove(u Usage) {
	t.active -= u.Active
	t.prompt -= u.Prompt
}

// sample counts requests, with less weight for older ones.
type sample struct{ ended, failed float64 }

func (p *sample) add(ended, failed uint64) {
	p.ended += float64(ended)
	p.failed += float64(failed)
}

func (p *sample) share() float64 {
	if p.ended == 0 {
		return 0
	}
	return p.failed / p.ended
}

func (p *sample) age() {
	p.ended *= sampleDecay
	p.failed *= sampleDecay
}

// busy returns the requests at the endpoint, of all daemons.
func (e *endpoint) busy() int { return e.own.Active + e.others.active }

// prompt returns the tokens of prompts that the endpoint has yet to read.
func (e *endpoint) prompt() int { return e.own.Prompt + e.others.prompt }

func (e *endpoint) usable(now time.Time) bool {
	return !e.Leaving && !now.Before(e.suspended)
}

// learn takes the time that a request took and the pace of its stream.
func (e *endpoint) learn(took, pace time.Duration) {
	e.duration = average(e.duration, took, durationWeight)
	if pace > 0 {
		e.own.Pace = average(e.own.Pace, pace, paceWeight)
		e.pace = average(e.pace, pace, paceWeight)
	}
}

// suspend gives the endpoint no requests for a while.
func (s *State) suspend(e *endpoint, why Cause) {
	if s.now.Before(e.suspended) {
		return
	}
	if s.now.Sub(e.suspended) < maxSuspendTime && e.penalty > 0 {
		e.penalty = min(2*e.penalty, maxSuspendTime)
	} else {
		e.penalty = suspendTime
	}
	e.suspended = s.now.Add(e.penalty)
	s.effects = append(s.effects, Suspended{
		Endpoint: e.ID, For: e.penalty, Cause: why, Ended: e.health.ended, Failed: e.health.failed,
	})
	e.health = sample{}
}

// observe takes ended and failed requests of any daemon into account.
func (s *State) observe(e *endpoint, ended, failed uint64) {
	e.health.add(ended, failed)
	s.service(e.Service).health.add(ended, failed)
}

// checkHealth suspends an endpoint that fails more of its requests than the other
// endpoints of its service.
func (s *State) checkHealth(e *endpoint) {
	others := s.service(e.Service).health
	others.ended -= e.health.ended
	others.failed -= e.health.failed
	if e.health.ended >= minSample && others.ended >= minSample && e.health.share() > others.share()+failedShare {
		s.service(e.Service).health = others
		s.suspend(e, Failing)
	}
}

// checkStalled suspends an endpoint that has answered nothing for too long.
func (s *State) checkStalled(f *flight) {
	e := f.endpoint
	since := e.progressed
	if f.sent.After(since) {
		since = f.sent
	}
	if !f.began && s.now.Sub(since) > stalledAfter {
		s.suspend(e, Silent)
	}
}

// age lets the samples of a service fade.
func (v *service) age() {
	v.health.age()
	var sum time.Duration
	n := 0
	for _, e := range v.endpoints {
		e.health.age()
		if p := e.pace; p > 0 {
			sum += p
			n++
		}
	}
	if n > 0 {
		v.pace = sum / time.Duration(n)
	}
}

func average(old, value time.Duration, weight float64) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(weight*float64(value-old))
}
