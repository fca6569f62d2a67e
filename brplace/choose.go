package brplace

import "time"

const (
	// urgentOverflow is the number of requests beyond its slots that an endpoint
	// may have when the next request is of the most urgent rank.
	urgentOverflow = 2

	// remoteCost is the extra latency of an endpoint in another failure domain.
	remoteCost = 4 * time.Millisecond

	// streamTimeWeight is the weight of the duration of the whole response
	// relative to the time to its first byte.
	streamTimeWeight = 0.15

	// prefillDelayWeight is the weight of the delay that prompt processing adds to
	// each response in progress at the endpoint. It keeps long prompts away from
	// endpoints that run many long streams.
	prefillDelayWeight = 0.3

	// fastEndpointCost is the cost of the last slot of an infinitely fast endpoint,
	// for each rank below the most urgent one. It reserves busy fast endpoints for
	// urgent requests.
	fastEndpointCost = 1200 * time.Millisecond

	// overrunCost is the cost of a stream whose expected duration equals the
	// remaining time until its deadline. Length estimates are often off by a factor of three.
	overrunCost = 1500 * time.Millisecond

	// maxDeadlineFraction is the largest fraction of the remaining time until
	// its deadline that a stream may be expected to take at an endpoint.
	maxDeadlineFraction = 0.8
	// fastWaitFraction is the fraction of its MaxQueueTime that a long stream waits
	// for an endpoint that is fast enough.
	fastWaitFraction = 0.7

	// affinityWeight is the largest relative increase of the cost of an endpoint
	// that the daemon doesn't prefer. Each daemon prefers different endpoints, so
	// that daemons with the same view don't all choose the same endpoint and so
	// that they reuse connections.
	affinityWeight = 0.5

	// fullChoiceDaemons is the number of daemons up to which each of them chooses
	// among all endpoints. In a larger fleet it draws sampledEndpoints of the first
	// preferredEndpoints that have room, in its own order of preference. Those of its
	// own failure domain come first, whose usage it knows sooner. Few preferred
	// endpoints let a daemon reuse its connections.
	fullChoiceDaemons  = 24
	preferredEndpoints = 8
	sampledEndpoints   = 3

	// overloadFraction is the fraction of free slots, without the reserve, below which a
	// daemon of a large fleet runs at most fairShareFactor times its share of the slots
	// of a service. It is divided by one more than the rank, since the reserve limits
	// the less urgent ranks earlier.
	overloadFraction = 0.1
	fairShareFactor  = 1.3

	// defaultDuration is the assumed duration of a request at an endpoint that has
	// completed none.
	defaultDuration = 500 * time.Millisecond
)

// choose returns the endpoint to dispatch r to, or nil if r has to wait.
func (s *State) choose(v *service, r *Request) *endpoint {
	if v.byRates(r) {
		return s.chooseByRates(v, r)
	}
	mayStart := s.mayStart(v, r)
	if !mayStart && !s.mayStartCold(v) {
		return nil
	}
	candidates := s.candidates(v, r, s.mayUse(mayStart))
	if len(candidates) == 0 && mayStart && v.borrows {
		// All daemons with the same view would take the cheapest one.
		candidates = s.sample(s.candidates(v, r, s.mayLend), 1)
	}
	var best *endpoint
	var lowest time.Duration
	for _, e := range candidates {
		if c := s.cost(v, e, r); best == nil || c < lowest {
			best, lowest = e, c
		}
	}
	return best
}

// mayStart reports whether r may start although its slot is then missing for others:
// more slots are free than are reserved for more urgent ranks, and this daemon doesn't
// exceed its share of the slots while few are free.
func (s *State) mayStart(v *service, r *Request) bool {
	slots, free := s.slots(v)
	rank := float64(v.placementRank(r))
	available := float64(free) - s.reservedSlots(v, r, slots)
	if rank > 0 && available <= 0 {
		return false
	}
	overloaded := available <= overloadFraction/(1+rank)*float64(slots)
	return !s.large() || !overloaded || v.running < s.fairShare(slots)
}

// candidates returns the endpoints to choose from for r: all that have room for it by
// the given function, or in a large fleet a random sample of those that this daemon prefers. The daemons of a
// large fleet see each other's usage late. If all of them chose the cheapest endpoint,
// they would choose the same one until the next reports arrive.
func (s *State) candidates(v *service, r *Request, hasRoom func(*endpoint, *Request) bool) []*endpoint {
	skipSlow := s.waitsForFaster(v, r)
	limit := len(v.endpoints)
	if s.large() {
		limit = preferredEndpoints
	}
	var found []*endpoint
	for _, e := range v.endpoints {
		if len(found) == limit {
			break
		}
		if !e.usable(s.now) || !eligible(e, r) || !hasRoom(e, r) || !s.hasMemory(v, e, r) || skipSlow && s.tooSlow(e, r) {
			continue
		}
		found = append(found, e)
	}
	if s.large() {
		return s.sample(found, sampledEndpoints)
	}
	return found
}

// sample returns n random elements of endpoints, or all if there are fewer. It reorders
// endpoints.
func (s *State) sample(endpoints []*endpoint, n int) []*endpoint {
	if len(endpoints) <= n {
		return endpoints
	}
	for i := range n {
		j := i + int(s.cfg.Random()*float64(len(endpoints)-i))
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	return endpoints[:n]
}

// large reports whether the fleet is so large that each daemon chooses among a part of
// the endpoints.
func (s *State) large() bool { return len(s.daemons) > fullChoiceDaemons }

// reserve returns the fraction of the slots that is reserved for each rank below the
// most urgent one.
func (s *State) reserve() float64 {
	if s.large() {
		return largeReservePerRank
	}
	return reservePerRank
}

// fairShare returns the number of requests that this daemon may run at the given number
// of slots under overload. All daemons see the same few free slots; without a limit they
// all send their waiting requests there, and long queues form at some endpoints.
func (s *State) fairShare(slots int) int {
	return max(1, int(fairShareFactor*float64(slots)/float64(len(s.daemons))))
}

// slots returns the number of slots of the usable endpoints of a service, and how
// many of them are free. An endpoint with a limit, or a cold one, counts with the one
// request that this daemon may send to it at a time.
func (s *State) slots(v *service) (total, free int) {
	for _, e := range v.endpoints {
		if !e.usable(s.now) {
			continue
		}
		slots, unused := e.window(), max(0, e.window()-e.active())
		if e.limit.Limited || e.isCold(s.now) {
			slots, unused = min(1, slots), min(1, unused)
		}
		total += slots
		free += unused
	}
	return total, free
}

// waitsForFaster reports whether r should not start at an endpoint that is too slow
// for it, since some usable endpoint is fast enough and r has waited for at most
// fastWaitFraction of its MaxQueueTime. A request that was sent before has no time for
// that.
func (s *State) waitsForFaster(v *service, r *Request) bool {
	if !r.Stream || len(r.ExcludedEndpoints) > 0 || s.now.Sub(r.queuedAt) > time.Duration(fastWaitFraction*float64(r.MaxQueueTime)) {
		return false
	}
	for _, e := range v.endpoints {
		if e.usable(s.now) && eligible(e, r) && !s.tooSlow(e, r) {
			return true
		}
	}
	return false
}

// tooSlow reports whether the stream of r is expected to end too close to its
// deadline, or after it, at e. See maxDeadlineFraction.
func (s *State) tooSlow(e *endpoint, r *Request) bool {
	remaining := r.Deadline.Sub(s.now)
	return r.ExpectedEvents*float64(e.eventInterval) > maxDeadlineFraction*float64(remaining)
}

// hasRoom reports whether this daemon may send r to e by the number of requests there:
// within its own slots if e is brittle, and within those of e otherwise.
func (s *State) hasRoom(e *endpoint, r *Request) bool {
	if e.slotUse.brittle {
		return s.hasOwnSlot(e)
	}
	return e.active() < e.window()+overflow(r)
}

// overflow returns the number of requests beyond the slots of an endpoint that r
// may be dispatched with.
func overflow(r *Request) int {
	if r.Rank == 0 {
		return urgentOverflow
	}
	return 0
}

// cost returns the weighted expected latency of r at e. The time to the first byte
// counts in full, the rest of a stream with streamTimeWeight.
func (s *State) cost(v *service, e *endpoint, r *Request) time.Duration {
	slowdown := v.slowdown(e)
	prefill := slowdown * float64(v.promptTime(r.PromptTokens))
	pendingPrefill := slowdown * float64(v.promptTime(e.pendingPrompt()))
	cost := time.Duration(prefill + pendingPrefill + prefillDelayWeight*prefill*float64(e.active()))
	if slowdown < 1 {
		utilization := float64(e.active()) / float64(max(1, e.Slots))
		cost += time.Duration(float64(r.Rank) * (1 - slowdown) * utilization * utilization * utilization * float64(fastEndpointCost))
	}
	if !r.Stream {
		cost += v.expectedCall(e)
	}
	if r.Stream && v.eventInterval > 0 {
		cost += s.streamCost(r, time.Duration(slowdown*r.ExpectedEvents*float64(v.eventInterval)))
	}
	if excess := e.active() - e.window() + 1; excess > 0 {
		d := e.duration
		if d == 0 {
			d = defaultDuration
		}
		cost += time.Duration(excess) * d / time.Duration(max(1, e.window()))
	}
	// Concurrent requests slow each other down slightly.
	cost += time.Duration(e.active()) * time.Millisecond
	if e.Zone != s.cfg.FailureDomain {
		cost += remoteCost
	}
	return cost + time.Duration(affinityWeight*e.affinityHash*float64(cost))
}

// streamCost returns the cost of a stream of the given expected duration. The
// stream occupies a slot for that time. If the response is longer than expected, it
// is the more likely to miss the deadline the larger the fraction of the remaining
// time is that it was expected to take.
func (s *State) streamCost(r *Request, duration time.Duration) time.Duration {
	cost := streamTimeWeight * float64(duration)
	if remaining := r.Deadline.Sub(s.now); remaining > 0 {
		fraction := float64(duration) / float64(remaining)
		cost += fraction * fraction * float64(overrunCost)
	}
	return time.Duration(cost)
}

// place dispatches r to e.
func (s *State) place(r *Request, e *endpoint) {
	unqueued := e.active() < e.Slots && e.pendingPrompt() == 0
	e.own.Active++
	e.memory.own += r.tokens()
	s.service(r.Service).countRunning(r, 1)
	e.own.PendingPromptTokens += r.PromptTokens
	if e.limit.Limited {
		e.bucket.Take(s.now)
	}
	e.takeCold(s.now)
	s.takeSlot(e)
	if e.lastProgress.IsZero() {
		e.lastProgress = s.now
	}
	s.inflight[r.ID] = &inflightRequest{request: *r, endpoint: e, dispatchedAt: s.now, unqueued: unqueued, active: e.active()}
	s.effects = append(s.effects, Dispatch{ID: r.ID, Endpoint: e.Endpoint})
}
