package brroute

import (
	"time"

	"bramleyroute/brwire"
)

const (
	// candidates is how many of the cheapest endpoints the choice is among, if
	// their costs are within tie of the least, so that equal endpoints share.
	candidates = 3
	tie        = 0.002 // s
	// decodePart is the part of the decode time that counts in the cost. A slower
	// decode delays the end of an answer, not the first token that deadlines are
	// about; with 1, tokens prefilled although cached elsewhere were 30% more at
	// 0.7 of capacity (TestCompare, seeds 1 to 3).
	decodePart = 0.25
	// maxPending is the prefill, in seconds, that tiers 2 to 5 may leave pending
	// on an endpoint. Engines admit in arrival order, so all of it delays the
	// next tier 1 request; a grant takes a few milliseconds to replace it.
	maxPending = 0.150
	// smallPrefill is the prefill, in seconds, that a request may add to an
	// endpoint whose pending prefill is at maxPending: what a prompt adds whose
	// prefix is cached there.
	smallPrefill = 0.015
)

// Choice is an endpoint for a request. It is valid until the next call of a
// method that changes the Table.
type Choice struct {
	endpoint *endpoint
	share    int // index of the version share; -1 for the rest
	cached   int
	warmest  int
	trial    bool
	first    time.Duration
}

// First returns the expected time from the dispatch to the first token.
func (c Choice) First() time.Duration { return c.first }

type candidate struct {
	endpoint *endpoint
	cost     float64
}

// Choose returns the endpoint with the least expected time for r, or false when
// none may take it now. It changes nothing: Grant takes the choice.
func (t *Table) Choose(now time.Time, r Request) (Choice, bool) {
	tokens := r.Tokens(t.opts.Kind)
	if r.Tier > 1 && t.low > 0 && t.low+tokens > t.capacity*(100-t.headroom)/100 {
		return Choice{}, false
	}
	warmest := t.Warmest(r)
	c, ok := t.chooseVersion(now, r)
	if !ok {
		return Choice{}, false
	}
	c.cached = t.cachedOn(c.endpoint, r)
	c.warmest = warmest
	s := t.speedOf(c.endpoint)
	uncached := 1
	if t.opts.Kind != brwire.KindService {
		uncached = max(0, r.PromptTokens-c.cached)
	}
	c.first = seconds(s.first(c.endpoint.pending + uncached))
	return c, true
}

func (t *Table) chooseVersion(now time.Time, r Request) (Choice, bool) {
	g := t.groups[r.Group]
	if g == nil {
		c, ok := t.pick(now, r, func(v string) bool { return !t.reserved[v] })
		c.share = -1
		return c, ok
	}
	rest, sum := true, 0
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
		rest = rest && !t.live(s.Version)
	}
	if sum >= 1000 && !rest {
		return Choice{}, false
	}
	c, ok := t.pick(now, r, func(v string) bool { return t.takesRest(g, v) })
	c.share = -1
	return c, ok
}

// pick returns the best endpoint of the accepted versions. A half-open endpoint
// whose trial is due goes before the others, except for tier 1.
func (t *Table) pick(now time.Time, r Request, accept func(version string) bool) (Choice, bool) {
	t.best = t.best[:0]
	var trial *endpoint
	tokens := r.Tokens(t.opts.Kind)
	for _, e := range t.list {
		if !e.usable() || !accept(e.Version) {
			continue
		}
		if e.halfOpen {
			if t.trial == nil && !now.Before(e.retryAt) && (trial == nil || e.retryAt.Before(trial.retryAt)) {
				trial = e
			}
			continue
		}
		if t.fits(e, r, tokens) {
			t.offer(candidate{e, t.cost(e, r)})
		}
	}
	if trial != nil && (r.Tier > 1 || len(t.best) == 0) {
		return Choice{endpoint: trial, trial: true}, true
	}
	if len(t.best) == 0 {
		return Choice{}, false
	}
	n := 1
	for n < len(t.best) && t.best[n].cost <= t.best[0].cost+tie {
		n++
	}
	if n > 1 {
		n = int(t.opts.Rand() % uint64(n))
	} else {
		n = 0
	}
	return Choice{endpoint: t.best[n].endpoint}, true
}

// offer keeps the cheapest candidates in the order of their cost.
func (t *Table) offer(c candidate) {
	i := len(t.best)
	if i == candidates {
		if c.cost >= t.best[i-1].cost {
			return
		}
		i--
	} else {
		t.best = append(t.best, c)
	}
	for ; i > 0 && t.best[i-1].cost > c.cost; i-- {
		t.best[i] = t.best[i-1]
	}
	t.best[i] = c
}

// fits reports whether e may take r, of tokens in all. An endpoint without work
// takes a request of any length. The part of the prompt that e has cached needs
// no room, since engines share cached blocks; it counts once r is granted, so an
// endpoint is over its limit by one cached prompt at most.
func (t *Table) fits(e *endpoint, r Request, tokens int) bool {
	occupied := max(e.load, e.outstanding)
	if occupied == 0 {
		return true
	}
	cached := 0
	if t.opts.Kind == brwire.KindEngine {
		cached = t.cachedOn(e, r)
	}
	limit := t.limitOf(e)
	if r.Tier > 1 {
		limit = limit * (100 - t.headroom) / 100
		if t.opts.Kind == brwire.KindEngine && e.pending > 0 {
			s := t.speedOf(e)
			if s.prefill*float64(r.PromptTokens-cached) > smallPrefill && s.prefill*float64(e.pending) > maxPending {
				return false
			}
		}
	}
	return occupied+tokens-cached <= limit
}

// cost returns the expected seconds that r costs on e: the wait behind pending
// prompts, the prefill of what isn't cached and a part of the decoding. Requests
// that are overdue on e add to the wait.
func (t *Table) cost(e *endpoint, r Request) float64 {
	s := t.speedOf(e)
	late := e.overdue.Seconds()
	if t.opts.Kind == brwire.KindService {
		return late + s.first(e.pending+1)*(1+t.loadOf(e))
	}
	uncached := max(0, r.PromptTokens-t.cachedOn(e, r))
	decode := s.token * (1 + t.loadOf(e)) * float64(r.OutputTokens)
	return late + s.first(e.pending+uncached) + decodePart*decode
}

// Warmest returns the most prompt tokens of r that any endpoint has cached.
func (t *Table) Warmest(r Request) int {
	return min(t.index.lookup(r.PrefixHashes)*brwire.PrefixBlockTokens, max(0, r.PromptTokens-1))
}

// Usable returns the number of endpoints that announce themselves and aren't
// leaving.
func (t *Table) Usable() int {
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

// cachedOn returns the prompt tokens that e holds as of the last lookup. The
// last token of a prompt is always computed.
func (t *Table) cachedOn(e *endpoint, r Request) int {
	return min(t.index.depth[e.slot]*brwire.PrefixBlockTokens, max(0, r.PromptTokens-1))
}

// live reports whether any endpoint of a version may get work.
func (t *Table) live(version string) bool {
	for _, e := range t.list {
		if e.Version == version && e.usable() && !e.halfOpen {
			return true
		}
	}
	return false
}
