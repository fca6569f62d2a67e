package brroute

import (
	"time"

	"bramleyroute/brwire"
)

const (
	// maxCandidates is the number of cheapest endpoints among which Choose selects
	// at random. Their costs must be within tieMargin of the lowest cost, so that
	// equal endpoints share the load.
	maxCandidates = 3
	tieMargin     = 0.002 // s
	// decodeWeight is the weight of the decode time in the cost. A slower decode
	// delays the end of a response but not the first token, to which deadlines
	// apply. With a weight of 1, the tokens prefilled although cached elsewhere
	// rose by 30% at 0.7 of capacity (TestCompare, seeds 1 to 3).
	decodeWeight = 0.25
	// maxPendingPrefill is the prefill, in seconds, that tiers 2 to 5 may leave
	// pending on an endpoint. Engines admit requests in arrival order, so all of it
	// delays the next tier 1 request. A grant takes a few milliseconds to replace
	// it.
	maxPendingPrefill = 0.150
	// smallPrefill is the prefill, in seconds, that a request may add to an
	// endpoint whose pending prefill is at maxPendingPrefill. It covers a prompt
	// whose prefix is cached on the endpoint.
	smallPrefill = 0.015
)

// Choice is an endpoint chosen for a request. It is valid until the next call of
// a method that changes the Table.
type Choice struct {
	endpoint         *endpoint
	share            int // index of the version share; -1 for the remainder
	cached           int
	maxCached        int
	trial            bool
	timeToFirstToken time.Duration
}

// TimeToFirstToken returns the expected time from the dispatch to the first token.
func (c Choice) TimeToFirstToken() time.Duration { return c.timeToFirstToken }

type candidate struct {
	endpoint *endpoint
	cost     float64
}

// Choose returns the endpoint with the lowest expected cost for r, or false when
// no endpoint can accept r now. Choose doesn't change the load of the endpoints; a
// choice takes effect when it is passed to Grant.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	tokens := r.Tokens(t.opts.Kind)
	if r.Tier > 1 && t.lowTierOutstanding > 0 && t.lowTierOutstanding+tokens > t.capacity*(100-t.headroom)/100 {
		return Choice{}, false
	}
	maxCached := t.MaxCachedTokens(r)
	c, ok := t.chooseVersion(now, r)
	if !ok {
		return Choice{}, false
	}
	c.cached = t.cachedOn(c.endpoint, r)
	c.maxCached = maxCached
	s := t.speedOf(c.endpoint)
	uncached := 1
	if t.opts.Kind != brwire.KindService {
		uncached = max(0, r.PromptTokens-c.cached)
	}
	c.timeToFirstToken = seconds(s.timeToFirstToken(c.endpoint.pending + uncached))
	return c, true
}

func (t *Table) chooseVersion(now time.Time, r Request) (Choice, bool) {
	g := t.groups[r.Group]
	if g == nil {
		c, ok := t.pick(now, r, func(v string) bool { return !t.reserved[v] })
		c.share = -1
		return c, ok
	}
	remainderAllowed, sum := true, 0
	for i := range g.shares {
		s := &g.shares[i]
		perMille := s.perMille(r.Route)
		sum += perMille
		if perMille == 0 || s.credit+perMille < 1000 {
			continue
		}
		if c, ok := t.pick(now, r, func(v string) bool { return v == s.Version }); ok {
			c.share = i
			return c, true
		}
		remainderAllowed = remainderAllowed && !t.hasAvailable(s.Version)
	}
	if sum >= 1000 && !remainderAllowed {
		return Choice{}, false
	}
	c, ok := t.pick(now, r, func(v string) bool { return t.getsRemainder(g, v) })
	c.share = -1
	return c, ok
}

// pick returns the best endpoint of the accepted versions. A half-open endpoint
// whose trial is due is preferred, except for tier 1.
func (t *Table) pick(now time.Time, r Request, accept func(version string) bool) (Choice, bool) {
	t.candidates = t.candidates[:0]
	var trial *endpoint
	tokens := r.Tokens(t.opts.Kind)
	for _, e := range t.list {
		if !e.usable() || !e.withinLimit(now) || !accept(e.Version) {
			continue
		}
		if e.halfOpen {
			due := t.trial == nil && !now.Before(e.retryAt) && (!e.limit.Brittle || t.fits(e, r, tokens))
			if due && (trial == nil || e.retryAt.Before(trial.retryAt)) {
				trial = e
			}
			continue
		}
		if t.fits(e, r, tokens) {
			t.addCandidate(candidate{e, t.cost(e, r)})
		}
	}
	if trial != nil && (r.Tier > 1 || len(t.candidates) == 0) {
		return Choice{endpoint: trial, trial: true}, true
	}
	if len(t.candidates) == 0 {
		return Choice{}, false
	}
	n := 1
	for n < len(t.candidates) && t.candidates[n].cost <= t.candidates[0].cost+tieMargin {
		n++
	}
	if n > 1 {
		n = int(t.opts.Rand() % uint64(n))
	} else {
		n = 0
	}
	return Choice{endpoint: t.candidates[n].endpoint}, true
}

// addCandidate adds c if it is among the maxCandidates cheapest, in order of cost.
func (t *Table) addCandidate(c candidate) {
	i := len(t.candidates)
	if i == maxCandidates {
		if c.cost >= t.candidates[i-1].cost {
			return
		}
		i--
	} else {
		t.candidates = append(t.candidates, c)
	}
	for ; i > 0 && t.candidates[i-1].cost > c.cost; i-- {
		t.candidates[i] = t.candidates[i-1]
	}
	t.candidates[i] = c
}

// fits reports whether e has room for r, which has the given number of tokens in
// all. An idle endpoint accepts a request of any length. The cached part of the
// prompt needs no room, since engines share cached blocks. It is counted once r
// is granted, so an endpoint exceeds its limit by at most one cached prompt. One
// that bears few rejections may not exceed it.
func (t *Table) fits(e *endpoint, r Request, tokens int) bool {
	occupied := max(e.load, e.outstanding)
	if occupied == 0 {
		return true
	}
	cached := 0
	if t.opts.Kind == brwire.KindEngine && !e.limit.Brittle {
		cached = t.cachedOn(e, r)
	}
	limit := t.outstandingLimitOf(e)
	if r.Tier > 1 {
		limit = limit * (100 - t.headroom) / 100
		if t.opts.Kind == brwire.KindEngine && e.pending > 0 {
			s := t.speedOf(e)
			if s.prefillTime*float64(r.PromptTokens-cached) > smallPrefill && s.prefillTime*float64(e.pending) > maxPendingPrefill {
				return false
			}
		}
	}
	return occupied+tokens-cached <= limit
}

// cost returns the expected cost of r on e in seconds: the wait for the pending
// prefill, the prefill of the uncached tokens and the weighted decode time. The
// delay of overdue requests on e is added.
func (t *Table) cost(e *endpoint, r Request) float64 {
	s := t.speedOf(e)
	overdue := e.overdue.Seconds()
	if t.opts.Kind == brwire.KindService {
		return overdue + s.timeToFirstToken(e.pending+1)*(1+t.relativeLoad(e))
	}
	uncached := max(0, r.PromptTokens-t.cachedOn(e, r))
	decode := s.tokenTime * (1 + t.relativeLoad(e)) * float64(r.OutputTokens)
	return overdue + s.timeToFirstToken(e.pending+uncached) + decodeWeight*decode
}

// MaxCachedTokens returns the largest number of prompt tokens of r that any one
// endpoint has cached.
func (t *Table) MaxCachedTokens(r Request) int {
	return min(t.index.lookup(r.PrefixHashes)*brwire.PrefixBlockTokens, max(0, r.PromptTokens-1))
}

// UsableCount returns the number of endpoints that may get new requests: those that
// are announcing themselves, aren't leaving and aren't loading a version.
func (t *Table) UsableCount() int {
	n := 0
	for _, e := range t.list {
		if e.usable() {
			n++
		}
	}
	return n
}

// Capacity returns the sum of the usable endpoints' limits in tokens (service:
// requests).
func (t *Table) Capacity() int { return t.capacity }

// cachedOn returns the number of prompt tokens of r that e has cached, according
// to the last lookup. The last token of a prompt is always computed.
func (t *Table) cachedOn(e *endpoint, r Request) int {
	return min(t.index.depth[e.slot]*brwire.PrefixBlockTokens, max(0, r.PromptTokens-1))
}

// hasAvailable reports whether any endpoint of a version is usable and not
// half-open.
func (t *Table) hasAvailable(version string) bool {
	for _, e := range t.list {
		if e.Version == version && e.usable() && !e.halfOpen {
			return true
		}
	}
	return false
}
