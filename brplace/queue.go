package brplace

import (
	"slices"
	"time"
)

const (
	// maxPlacements limits the number of waiting requests placed by one event.
	maxPlacements = 1 << 20

	// reservePerRank is the fraction of the slots of a service that is reserved for
	// more urgent requests, for each rank below the most urgent one.
	reservePerRank = 0.03
	// largeReservePerRank is the same in a large fleet, where more requests start
	// before their dispatches are reported.
	largeReservePerRank = 0.12

	// minRetryAfter and maxRetryAfter limit the retry delay returned with a
	// rejection, which is uniformly distributed between them.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Second

	// startIntervalWeight is the weight of a new value in the moving average of the
	// time between two placements of waiting requests.
	startIntervalWeight = 0.2
)

// submit places, queues or rejects a request.
func (s *State) submit(r Request) {
	v := s.service(r.Service)
	v.urgentRank = min(v.urgentRank, r.Rank)
	v.demand.record(r.Rank)
	r.short, r.queuedAt = v.isShort(&r), s.now
	if s.tooLarge(&r) {
		s.reject(&r, TooLarge, maxRetryAfter)
		return
	}
	v.memory.sizes = v.memory.sizes.Add(s.now, r.PromptTokens, r.OutputTokens)
	if s.onlyEvacuated(v, &r) {
		s.reject(&r, Evacuated, s.retryDelay())
		return
	}
	_, r.beyondShare = s.beyondShare[r.Customer]
	if s.exceedsShare(v, &r) {
		s.reject(&r, ShareExceeded, s.retryDelay())
		return
	}
	if !s.hasCandidate(v, &r) {
		if len(r.ExcludedEndpoints) > 0 {
			s.reject(&r, NoEndpoint, s.retryDelay())
			return
		}
		// The daemon may have just started. Endpoints announce themselves to it within
		// one heartbeat, so half the maximum wait is enough.
		r.MaxQueueTime /= 2
	}
	v.borrows = s.mayBorrow(v)
	if reason, retryAfter := s.unservable(v, &r, s.aheadOf(v, &r)); reason != "" {
		s.reject(&r, reason, retryAfter)
		return
	}
	if !s.admits(v, &r) {
		v.rates.rejected++
		s.reject(&r, OverCapacity, s.returnDelay(r.FirstByteDue.Sub(s.now)-workMargin*v.rates.work))
		return
	}
	if len(v.queue) == 0 {
		if e := s.choose(v, &r); e != nil {
			s.place(&r, e)
			return
		}
	}
	v.queue = append(v.queue, &r)
	s.placeWaiting(v, 1)
	position := slices.Index(v.queue, &r)
	if position >= 0 && time.Duration(position+1)*v.startInterval > s.patience(v, &r) {
		v.queue = slices.Delete(v.queue, position, position+1)
		s.reject(&r, Overload, s.overloadDelay(&r))
	}
}

// overloadDelay returns the time after which r may be sent again if it is rejected when it
// arrives. In a large fleet it can then still be in time.
func (s *State) overloadDelay(r *Request) time.Duration {
	if s.large() {
		return s.returnDelay(r.FirstByteDue.Sub(s.now))
	}
	return s.retryDelay()
}

// patience returns how long r may be expected to wait when it arrives. In a large fleet that
// is until its first byte is due, unless it is of the most urgent rank: a late one hardly finds a
// slot there, and its caller has more of a rejection at once. A request that was sent before
// waits as long as it may: its caller may have a part of the response already.
func (s *State) patience(v *service, r *Request) time.Duration {
	if s.large() && r.Rank > v.urgentRank && !r.resent() {
		return min(r.MaxQueueTime, r.FirstByteDue.Sub(s.now))
	}
	return r.MaxQueueTime
}

// hasCandidate reports whether any endpoint is eligible for r, including suspended
// ones.
func (s *State) hasCandidate(v *service, r *Request) bool {
	return slices.ContainsFunc(v.endpoints, func(e *endpoint) bool { return !e.closed() && eligible(e, r) })
}

// eligible reports whether r may run at e by version and earlier attempts.
func eligible(e *endpoint, r *Request) bool {
	return (r.Version == "" || e.Version == r.Version) &&
		(r.ExcludedVersion == "" || e.Version != r.ExcludedVersion) &&
		!slices.Contains(r.ExcludedEndpoints, e.ID)
}

// before reports whether r precedes q in the queue. Requests are ordered by queueRank,
// then those of customers within their share before the others, then those not yet past
// FirstByteDue before those past it, then by FirstByteDue.
func before(now time.Time, r, q *Request) bool {
	if r.queueRank() != q.queueRank() {
		return r.queueRank() < q.queueRank()
	}
	if r.beyondShare != q.beyondShare {
		return q.beyondShare
	}
	if rLate, qLate := now.After(r.FirstByteDue), now.After(q.FirstByteDue); rLate != qLate {
		return qLate
	}
	return r.FirstByteDue.Before(q.FirstByteDue)
}

func (s *State) cancel(id uint64) {
	for _, v := range s.services {
		v.queue = slices.DeleteFunc(v.queue, func(r *Request) bool { return r.ID == id })
	}
}

// placeWaiting places up to limit waiting requests in queue order.
func (s *State) placeWaiting(v *service, limit int) {
	if len(v.queue) == 0 {
		return
	}
	slices.SortStableFunc(v.queue, func(a, b *Request) int {
		switch {
		case before(s.now, a, b):
			return -1
		case before(s.now, b, a):
			return 1
		}
		return 0
	})
	remaining := v.queue[:0]
	for i, r := range v.queue {
		if limit == 0 {
			remaining = append(remaining, v.queue[i:]...)
			break
		}
		e := s.choose(v, r)
		if e == nil {
			remaining = append(remaining, r)
			continue
		}
		s.place(r, e)
		v.recordStart(s.now)
		limit--
	}
	clear(v.queue[len(remaining):])
	v.queue = remaining
}

// recordStart records the placement of a waiting request at the time now. Intervals
// of more than a second count as one second.
func (v *service) recordStart(now time.Time) {
	if !v.lastStart.IsZero() {
		v.startInterval = movingAverage(v.startInterval, min(now.Sub(v.lastStart), time.Second), startIntervalWeight)
	}
	v.lastStart = now
}

// expire rejects the requests that have waited for longer than their MaxQueueTime.
func (s *State) expire(v *service) {
	if len(v.queue) == 0 {
		v.startInterval, v.lastStart = 0, time.Time{}
	}
	v.queue = slices.DeleteFunc(v.queue, func(r *Request) bool {
		if s.now.Sub(r.queuedAt) < r.MaxQueueTime {
			return false
		}
		s.reject(r, QueueTimeout, s.retryDelay())
		return true
	})
}

// reject rejects r. retryAfter is the time after which its caller may send it again.
func (s *State) reject(r *Request, reason Reason, retryAfter time.Duration) {
	v := s.service(r.Service)
	_, free := s.slots(v)
	s.effects = append(s.effects, Reject{
		ID: r.ID, Reason: reason, RetryAfter: retryAfter, Waiting: len(v.queue), FreeSlots: free,
	})
}

// retryDelay returns a random retry delay.
func (s *State) retryDelay() time.Duration {
	return minRetryAfter + time.Duration(s.cfg.Random()*float64(maxRetryAfter-minRetryAfter))
}
