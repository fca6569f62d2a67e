package brplace

import "time"

const (
	// urgentOverflow is how many requests beyond its slots an endpoint may hold
	// for the most urgent rank.
	urgentOverflow = 2

	// prefillRate is the prompt tokens that an endpoint of ordinary pace reads in
	// a millisecond. It only weighs prompts against the other costs.
	prefillRate = 40

	// remoteCost is the added time of an endpoint in another failure domain.
	remoteCost = 4 * time.Millisecond

	// paceShare weighs the time that the whole answer takes against that of its
	// first byte.
	paceShare = 0.15

	// delayShare weighs the time that reading a prompt adds to each answer that
	// runs at the endpoint. It keeps long prompts away from endpoints full of long
	// streams.
	delayShare = 0.3

	// fastPrice is the cost, for each rank below the most urgent, of the last slot
	// of an endpoint that takes no time at all. Requests that can wait leave the
	// fast endpoints to those that can't while these are busy.
	fastPrice = 1200 * time.Millisecond

	// overrunCost is the cost of a stream that is expected to take all the time
	// that its caller has. Estimates of the length are often off by a factor of
	// three.
	overrunCost = 1500 * time.Millisecond

	// finishShare is the part of the time that its caller has that a stream may be
	// expected to take at an endpoint.
	finishShare = 0.8
	// choosyShare is the part of its patience for which a long stream waits for an
	// endpoint that is fast enough.
	choosyShare = 0.7

	// affinityShare is the largest increase of a cost for an endpoint that the
	// daemon doesn't prefer. Each daemon prefers others, so that daemons with the
	// same picture don't choose the same endpoint, and use their connections again.
	affinityShare = 0.5

	// defaultDuration is the assumed time of a request at an endpoint that has
	// ended none.
	defaultDuration = 500 * time.Millisecond
)

// choose returns the endpoint that r should go to now, or nil if it should wait.
func (s *State) choose(v *service, r *Request) *endpoint {
	slots, free := s.slots(v)
	if r.Rank > 0 && float64(free) <= float64(r.Rank)*reservePerRank*float64(slots) {
		return nil
	}
	var best *endpoint
	var least time.Duration
	choosy := s.waitsForFaster(v, r)
	for _, e := range v.endpoints {
		if !e.usable(s.now) || !fits(e, r) || e.busy() >= e.Slots+overflow(r) || choosy && s.tooSlow(e, r) {
			continue
		}
		if c := s.cost(v, e, r); best == nil || c < least {
			best, least = e, c
		}
	}
	return best
}

// slots returns the slots of the usable endpoints of a service, and how many of
// them are free.
func (s *State) slots(v *service) (all, free int) {
	for _, e := range v.endpoints {
		if e.usable(s.now) {
			all += e.Slots
			free += max(0, e.Slots-e.busy())
		}
	}
	return all, free
}

// waitsForFaster reports whether r should rather wait than start at an endpoint
// that is too slow for it: some other one isn't, and it has not waited long.
func (s *State) waitsForFaster(v *service, r *Request) bool {
	if !r.Stream || s.now.Sub(r.Arrived) > time.Duration(choosyShare*float64(r.Patience)) {
		return false
	}
	for _, e := range v.endpoints {
		if e.usable(s.now) && fits(e, r) && !s.tooSlow(e, r) {
			return true
		}
	}
	return false
}

// tooSlow reports whether the stream of r is not expected to end in time at e.
func (s *State) tooSlow(e *endpoint, r *Request) bool {
	left := r.Deadline.Sub(s.now)
	return r.Events*float64(e.pace) > finishShare*float64(left)
}

func overflow(r *Request) int {
	if r.Rank == 0 {
		return urgentOverflow
	}
	return 0
}

// cost returns how long r is expected to take at e, with the later parts of the
// answer weighted less.
func (s *State) cost(v *service, e *endpoint, r *Request) time.Duration {
	slow := 1.0
	if p := e.pace; p > 0 && v.pace > 0 {
		slow = float64(p) / float64(v.pace)
	}
	own := slow * float64(r.Prompt) / prefillRate * float64(time.Millisecond)
	ahead := slow * float64(e.prompt()) / prefillRate * float64(time.Millisecond)
	cost := time.Duration(own + ahead + delayShare*own*float64(e.busy()))
	if slow < 1 {
		full := float64(e.busy()) / float64(max(1, e.Slots))
		cost += time.Duration(float64(r.Rank) * (1 - slow) * full * full * full * float64(fastPrice))
	}
	if r.Stream && v.pace > 0 {
		cost += s.streamCost(r, time.Duration(slow*r.Events*float64(v.pace)))
	}
	if over := e.busy() - e.Slots + 1; over > 0 {
		d := e.duration
		if d == 0 {
			d = defaultDuration
		}
		cost += time.Duration(over) * d / time.Duration(max(1, e.Slots))
	}
	// Requests that run together slow each other down a little.
	cost += time.Duration(e.busy()) * time.Millisecond
	if e.Zone != s.cfg.Zone {
		cost += remoteCost
	}
	return cost + time.Duration(affinityShare*e.remoteness*float64(cost))
}

// streamCost weighs the time that a whole stream is expected to take: slots are
// held that long, and an answer that is longer than expected misses the deadline
// the sooner the larger a part of the time is planned for.
func (s *State) streamCost(r *Request, takes time.Duration) time.Duration {
	cost := paceShare * float64(takes)
	if left := r.Deadline.Sub(s.now); left > 0 {
		part := float64(takes) / float64(left)
		cost += part * part * float64(overrunCost)
	}
	return time.Duration(cost)
}

// place dispatches r to e.
func (s *State) place(r *Request, e *endpoint) {
	e.own.Active++
	e.own.Prompt += r.Prompt
	if e.progressed.IsZero() {
		e.progressed = s.now
	}
	s.flights[r.ID] = &flight{request: *r, endpoint: e, sent: s.now}
	s.effects = append(s.effects, Dispatch{ID: r.ID, Endpoint: e.Endpoint})
}
