package brplace

import (
	"maps"
	"slices"
	"time"

	"bramleyroute/brlimit"
)

// endpointLimit is the limit that one start of an endpoint has stated, to this daemon or
// another. It may be known before the endpoint is.
type endpointLimit struct {
	born  uint64
	known brlimit.Known
	// rejectedAt is the time at which this daemon last published a rejection.
	rejectedAt time.Time
}

// limitOf returns the limit of a start of an endpoint, and creates it if necessary.
// The limit of an earlier start doesn't hold for a later one; see isBrittle.
func (s *State) limitOf(id string, born uint64) *endpointLimit {
	l := s.limits[id]
	if l == nil || l.born < born {
		l = &endpointLimit{born: born}
		s.limits[id] = l
	}
	return l
}

// Limit returns the limit that a start of an endpoint has stated, as far as known.
func (s *State) Limit(id string, born uint64) brlimit.Limit {
	if l := s.limits[id]; l != nil && l.born == born {
		return l.known.Limit()
	}
	return brlimit.Limit{}
}

// observeLimit applies what a response states about the limit of its endpoint.
func (s *State) observeLimit(ev LimitObserved) {
	l := s.limitOf(ev.ID, ev.Born)
	if l.born != ev.Born {
		return
	}
	if e := s.endpoints[ev.ID]; e != nil && ev.Rejected {
		s.service(e.Service).rates.admission.recordAnswer(true)
	}
	publish := l.known.Observe(s.now, ev.SentAt, ev.Limit)
	s.applyLimit(s.endpoints[ev.ID])
	ev.Rejected = ev.Rejected && l.known.Limit().Brittle
	if ev.Rejected {
		s.recordRejection(ev.ID)
		if s.now.Sub(l.rejectedAt) >= rejectionInterval {
			l.rejectedAt, publish = s.now, true
		}
	}
	if publish {
		ev.Limit = l.known.Limit()
		s.effects = append(s.effects, LimitLearned(ev))
	}
}

// setLimit applies a limit that another daemon has published.
func (s *State) setLimit(ev LimitPublished) {
	l := s.limitOf(ev.ID, ev.Born)
	if l.born != ev.Born {
		return
	}
	l.known.Set(s.now, ev.Limit)
	if s.endpoints[ev.ID] == nil && ev.Limit == (brlimit.Limit{}) {
		delete(s.limits, ev.ID)
	}
	s.applyLimit(s.endpoints[ev.ID])
	if ev.Rejected {
		s.recordRejection(ev.ID)
	}
}

// applyLimit makes the limit that is known of e effective. Until the next tick assigns
// this daemon its share, it sends nothing to an endpoint that states its first limit, and
// keeps its share of an earlier one.
func (s *State) applyLimit(e *endpoint) {
	if e == nil {
		return
	}
	l := s.limits[e.ID]
	e.stated = l != nil && l.born == e.Born
	if limit := s.Limit(e.ID, e.Born); limit != e.limit {
		if !e.limit.Limited {
			e.bucket = brlimit.Bucket{}
		}
		e.limit = limit
		s.service(e.Service).sharesStale = true
	}
	s.applyCold(e)
	s.setBrittle(e, s.isBrittle(e))
}

// setDaemons replaces the IDs of the daemons. They hold the limits of all services.
func (s *State) setDaemons(ids []string) {
	if slices.Equal(s.daemons, ids) {
		return
	}
	s.daemons = slices.Clone(ids)
	for _, v := range s.services {
		v.sharesStale = true
		v.memory.parts = nil
	}
}

// assignShares assigns this daemon its shares of the limits of the endpoints of v, after
// these or the daemons have changed.
func (s *State) assignShares(v *service) {
	if !v.sharesStale {
		return
	}
	v.sharesStale = false
	rates, slots := map[string]float64{}, map[string]int{}
	for _, e := range v.endpoints {
		if e.evacuated {
			continue
		}
		if e.limit.Limited {
			rates[e.ID] = e.limit.Rate
		}
		if e.slotUse.brittle {
			slots[e.ID] = e.Slots
		}
	}
	daemons := s.daemons
	if len(daemons) == 0 {
		daemons = []string{s.cfg.Daemon}
	}
	shares := brlimit.Shares(rates, daemons, s.cfg.Daemon)
	for id := range maps.Keys(rates) {
		s.endpoints[id].bucket.SetShare(s.now, shares[id])
	}
	parts := brlimit.Slots(slots, daemons, s.cfg.Daemon)
	for id := range maps.Keys(slots) {
		s.endpoints[id].slotUse.share = parts[id]
	}
	s.assignColdShares(v, daemons)
}

// withinLimit reports whether this daemon may send another request to e now.
func (e *endpoint) withinLimit(now time.Time) bool {
	if e.isCold(now) {
		return e.cold.mayTake(now)
	}
	return !e.limit.Limited || e.bucket.Tokens(now) >= 1
}

// unservable returns why r can't be placed in time and the time after which it may be
// sent again, or an empty reason if it may be placed. That is so if each eligible
// endpoint either stays paused for longer than r may wait, has a limit or is cold, and this
// daemon's shares of the limits don't reach for r and the requests ahead of it, or is
// brittle, and this daemon has no slot of it and may not borrow one. For a cold endpoint r
// waits until FirstByteDue at most. One that turns warm by then has no limit in this regard.
func (s *State) unservable(v *service, r *Request, ahead int) (Reason, time.Duration) {
	remaining := r.MaxQueueTime - s.now.Sub(r.queuedAt)
	var pause time.Duration // until the first endpoint is no longer paused
	var rate, tokens float64
	var warmIn time.Duration // until the first cold endpoint is warm, if known
	limited := false
	reason := Limited
	for _, e := range v.endpoints {
		if e.closed() || !eligible(e, r) {
			continue
		}
		switch p := e.pausedUntil.Sub(s.now); {
		case p > 0 && p > remaining:
			if pause == 0 || p < pause {
				pause = p
			}
		case e.slotUse.brittle && (e.slotUse.share == 0 || s.now.Before(e.suspendedUntil)) && !s.lends(e):
			limited = true
		case e.isCold(s.now):
			limited, reason = true, Cold
			rate += e.cold.bucket.Rate()
			tokens += e.cold.available(s.now)
			if d := e.cold.warmIn(s.now); d > 0 && (warmIn == 0 || d < warmIn) {
				warmIn = d
			}
		case !e.limit.Limited:
			return "", 0
		default:
			limited = true
			rate += e.bucket.Rate()
			tokens += e.bucket.Tokens(s.now)
		}
	}
	if !limited {
		if pause == 0 {
			return "", 0
		}
		return Paused, pause + s.spread()
	}
	if reason == Cold && !r.resent() {
		// A response that is late is worth less than one of another try soon.
		remaining = min(remaining, r.FirstByteDue.Sub(s.now))
	}
	missing := float64(ahead+1) - tokens
	switch {
	case missing <= 0 || v.sharesStale || warmIn > 0 && warmIn <= remaining:
		return "", 0
	case rate == 0:
		if warmIn == 0 {
			return reason, s.retryDelay()
		}
		return reason, min(max(warmIn, minRetryAfter), maxRetryAfter) + s.spread()
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	if wait <= remaining {
		return "", 0
	}
	if warmIn > 0 {
		wait = min(wait, warmIn)
	}
	return reason, min(max(wait, minRetryAfter), maxRetryAfter) + s.spread()
}

// spread returns a random time that is added to the Retry-After of requests which are
// rejected for the same reason, so that they don't all return at once.
func (s *State) spread() time.Duration { return time.Duration(s.cfg.Random() * float64(pauseSpread)) }

// rejectUnservable rejects the waiting requests that can't be placed in time. Those that
// were in time when they arrived may have been overtaken by more urgent ones.
func (s *State) rejectUnservable(v *service) {
	ahead := 0
	v.queue = slices.DeleteFunc(v.queue, func(r *Request) bool {
		reason, retryAfter := s.unservable(v, r, ahead)
		if reason == "" {
			ahead++
			return false
		}
		s.reject(r, reason, retryAfter)
		return true
	})
}

// aheadOf returns the number of waiting requests that precede r.
func (s *State) aheadOf(v *service, r *Request) int {
	n := 0
	for _, q := range v.queue {
		if !before(s.now, r, q) {
			n++
		}
	}
	return n
}
