package brplace

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time in which an endpoint counts its rejections. After one
	// of them a daemon reuses no slots but those of its own requests for as long.
	rejectionWindow = time.Second
	// rejectionInterval is the least time between two rejections of an endpoint that a
	// daemon publishes.
	rejectionInterval = 250 * time.Millisecond

	// releaseDelay is the time for which the slot of a request counts as taken that
	// ended without a complete response: until the endpoint has noticed. Some endpoints
	// work on to the end. If one bears no rejection at all, the slot counts as taken for
	// unnoticedDurations times the mean duration of its requests.
	releaseDelay       = 100 * time.Millisecond
	unnoticedDurations = 2

	// lendingUtilization is the part of the slots of a service in use up to which a daemon
	// that has no slot of it may use those of others. At twice of it none may. In a fleet
	// so large that some have none, they see each other's requests too late to tell which
	// slots are free: at a quarter of the slots in use, calls of 15 ms find all six slots
	// of an endpoint taken every three seconds by chance alone (Erlang's loss formula).
	lendingUtilization = 0.08
	// utilizationWeight is the weight of a new value in the moving average of the
	// utilization of a service, which is updated at each tick.
	utilizationWeight = 0.05
)

// slotUse is what a daemon knows of the slots of an endpoint that bears few rejections.
type slotUse struct {
	brittle bool // requests beyond the slots of the endpoint harm it
	share   int  // slots that belong to this daemon
	// releasing holds the times until which slots count as taken; see releaseDelay.
	releasing []time.Time
	// rejectedUntil is the end of the rejectionWindow of the last rejection, and freed
	// the number of own requests that have ended since and weren't followed by another.
	rejectedUntil time.Time
	freed         int
}

// hasShares reports whether the daemons share what e takes.
func (e *endpoint) hasShares() bool { return e.limit.Limited || e.slotUse.brittle }

// isBrittle reports whether e bears few rejections, by what it states or, until its first
// response, by what the start before it or most endpoints of the service have stated.
func (s *State) isBrittle(e *endpoint) bool {
	if e.stated {
		return e.limit.Brittle
	}
	l := s.limits[e.ID]
	return l != nil && l.known.Limit().Brittle || s.service(e.Service).mostBrittle
}

// setBrittle records whether e is brittle. This daemon has no slots of it until the next
// tick.
func (s *State) setBrittle(e *endpoint, brittle bool) {
	if e.slotUse.brittle == brittle {
		return
	}
	e.slotUse.brittle, e.slotUse.share = brittle, 0
	s.service(e.Service).sharesStale = true
}

// updateUtilization updates the moving average of the part of the slots of v in use.
func (v *service) updateUtilization() {
	slots, active := 0, 0
	for _, e := range v.endpoints {
		if e.evacuated {
			continue
		}
		slots += e.Slots
		active += e.active()
	}
	v.utilization += utilizationWeight * (float64(active)/float64(max(1, slots)) - v.utilization)
}

// updateBrittle assumes of the endpoints of v that have stated nothing what most of the
// others state.
func (s *State) updateBrittle(v *service) {
	stated, brittle := 0, 0
	for _, e := range v.endpoints {
		if e.stated {
			stated++
			if e.limit.Brittle {
				brittle++
			}
		}
	}
	v.mostBrittle = 2*brittle > stated
	for _, e := range v.endpoints {
		s.setBrittle(e, s.isBrittle(e))
	}
}

// taken returns the number of slots of the endpoint that this daemon's requests occupy.
func (e *endpoint) taken(now time.Time) int {
	u := &e.slotUse
	u.releasing = slices.DeleteFunc(u.releasing, func(t time.Time) bool { return !now.Before(t) })
	return e.own.Active + len(u.releasing)
}

// free returns the number of free slots of e, as far as known.
func (s *State) free(e *endpoint) int { return e.Slots - e.others.active - e.taken(s.now) }

// hasOwnSlot reports whether one of this daemon's slots of e is free: the endpoint has
// room, as far as known, and within a rejectionWindow one of this daemon's requests has
// made it.
func (s *State) hasOwnSlot(e *endpoint) bool {
	if s.free(e) < 1 {
		return false
	}
	if s.now.Before(e.slotUse.rejectedUntil) {
		return e.slotUse.freed > 0
	}
	return e.taken(s.now) < e.slotUse.share
}

// mayBorrow reports whether this daemon may use slots that aren't its own for a request
// now: it has none in use of the service, hears from all other daemons, and a draw by the
// utilization of the service permits it.
func (s *State) mayBorrow(v *service) bool {
	if v.sharesStale || len(s.peers)+1 < len(s.daemons) {
		return false
	}
	brittle := false
	for _, e := range v.endpoints {
		if e.slotUse.share > 0 && e.usable(s.now) {
			return false
		}
		brittle = brittle || e.slotUse.brittle && !e.evacuated
	}
	return brittle && s.cfg.Random() < 2-v.utilization/lendingUtilization
}

// lends reports whether this daemon may take a slot of e that isn't its own, if it may
// take one at all: more than half of the slots are free, as far as known, and e bears a
// rejection and has rejected nothing in the last rejectionWindow.
func (s *State) lends(e *endpoint) bool {
	return s.service(e.Service).borrows && e.slotUse.brittle && e.limit.RejectionLimit > 0 && e.usable(s.now) &&
		!s.now.Before(e.slotUse.rejectedUntil) && s.free(e) > e.Slots/2
}

// mayLend is lends for State.candidates.
func (s *State) mayLend(e *endpoint, _ *Request) bool { return s.lends(e) }

// takeSlot records that a request is sent to e.
func (s *State) takeSlot(e *endpoint) {
	if s.now.Before(e.slotUse.rejectedUntil) {
		e.slotUse.freed--
	}
}

// recordRejection records that an endpoint has rejected a request of this or another
// daemon for want of room.
func (s *State) recordRejection(id string) {
	if e := s.endpoints[id]; e != nil {
		e.slotUse.rejectedUntil, e.slotUse.freed = s.now.Add(rejectionWindow), 0
	}
}

// recordSlot records the end of a request that was sent to e.
func (s *State) recordSlot(e *endpoint, result Result) {
	u := &e.slotUse
	switch {
	case !u.brittle || result == WrongAddress:
	case result == Succeeded:
		if s.now.Before(u.rejectedUntil) {
			u.freed++
		}
	default:
		delay := releaseDelay
		if e.limit.RejectionLimit == 0 {
			delay = max(delay, unnoticedDurations*e.duration)
		}
		u.releasing = append(u.releasing, s.now.Add(delay))
	}
}
