package brroute

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Request is what the choice of an endpoint depends on.
type Request struct {
	ID           string
	Route        string
	Group        string // of version shares; empty for none
	Tier         int    // 1 to 5
	PromptTokens int
	OutputTokens int // expected
	MaxTokens    int
	PrefixHashes []uint64
}

// Tokens returns the expected work of r on an endpoint of kind k: tokens, or 1
// for a service.
func (r Request) Tokens(k brwire.EndpointKind) int {
	if k == brwire.KindService {
		return 1
	}
	return max(1, r.PromptTokens+r.OutputTokens)
}

// Flight is a request on an endpoint, from its grant to its end.
type Flight struct {
	endpoint *endpoint // nil when the endpoint is not in the table or the flight ended
	index    int
	request  Request
	tier     int
	tokens   int
	uncached int // prompt tokens that are expected to be prefilled
	cached   int // prompt tokens that are expected in the endpoint's cache
	warmest  int // most prompt tokens that any endpoint had cached
	behind   int // prompt tokens pending on the endpoint at the grant
	load     float64
	expected time.Duration // to the first token, from the start
	stalled  bool          // reported in a Change
	learned  bool          // its first token was observed
	trial    bool
	ended    bool

	granted, started, first time.Time

	EndpointID string
	Address    string
	Version    string
}

// Tokens returns the expected tokens (service: 1) that f counts as outstanding.
func (f *Flight) Tokens() int { return f.tokens }

// ID returns the id of f's request.
func (f *Flight) ID() string { return f.request.ID }

// Attached reports whether f is in flight on an endpoint of the table.
func (f *Flight) Attached() bool { return f.endpoint != nil }

// Missed returns how many prompt tokens were prefilled although another endpoint
// had them cached at the grant, when cached were served from the cache.
func (f *Flight) Missed(cached int) int {
	return max(0, f.warmest-max(f.cached, cached)) + max(0, f.cached-cached)
}

// Grant puts r on the endpoint of c. Grant panics if the endpoint has left the
// table since Choose.
func (t *Table) Grant(now time.Time, r Request, c Choice) *Flight {
	if t.byID[c.endpoint.EndpointID] != c.endpoint {
		panic("brroute: endpoint of the choice has left the table")
	}
	e := c.endpoint
	f := t.newFlight(now, r, e)
	f.cached, f.warmest = c.cached, c.warmest
	if t.opts.Kind != brwire.KindService {
		f.uncached = max(0, r.PromptTokens-c.cached)
	}
	f.expected = c.first
	t.attach(e, f)
	t.commitShare(r, c.share)
	if c.trial {
		f.trial, t.trial = true, f
	}
	t.index.expect(now, e.slot, r.PrefixHashes)
	return f
}

// Adopt puts a request that an earlier owner of the pool granted on the endpoint
// with the id. The flight counts nothing until the endpoint is in the table.
func (t *Table) Adopt(now time.Time, r Request, endpointID, address, version string) *Flight {
	// Its prompt is taken as prefilled: how far it got is unknown. A zero grant
	// time counts it as part of every report.
	f := &Flight{request: r, tier: r.Tier, tokens: r.Tokens(t.opts.Kind), started: now, first: now,
		EndpointID: endpointID, Address: address, Version: version}
	if e := t.byID[endpointID]; e != nil {
		f.load = t.loadOf(e)
		t.attach(e, f)
		return f
	}
	if t.adopted == nil {
		t.adopted = make(map[string][]*Flight)
	}
	t.adopted[endpointID] = append(t.adopted[endpointID], f)
	return f
}

// Started tells that the request was sent to its endpoint.
func (t *Table) Started(now time.Time, f *Flight) {
	if f.started.IsZero() {
		f.started = now
	}
}

// FirstToken tells that the first token of a request arrived, elapsed after it
// was sent.
func (t *Table) FirstToken(now time.Time, f *Flight, elapsed time.Duration) []Change {
	e := f.endpoint
	if e == nil || !f.first.IsZero() {
		return nil
	}
	f.first = now
	e.pending -= f.uncached
	if f.warmest == 0 && !f.granted.IsZero() {
		// Nothing was cached, so there is no need to wait for Done to know how
		// much was prefilled.
		t.learnFirst(e, f, f.uncached, elapsed)
	}
	if elapsed-f.expected >= stallAfter {
		return nil // slow progress doesn't close a half-open endpoint
	}
	return t.progressed(now, f)
}

// Result is how a request ended.
type Result struct {
	OK           bool
	Outcome      brerror.Outcome
	Kind         brerror.Kind // meaningful when OK is false
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Duration     time.Duration
}

// Failed reports whether the endpoint, not the caller or the scheduler, is the
// cause of the failure.
func (r Result) Failed() bool {
	return !r.OK && (r.Kind == brerror.EndpointFailed || r.Kind == brerror.EndpointUnavailable || r.Kind == brerror.Stuck)
}

// Done ends a flight and learns from its result.
func (t *Table) Done(now time.Time, f *Flight, r Result) []Change {
	e := f.endpoint
	f.ended = true
	if e == nil {
		return nil
	}
	var changes []Change
	if r.OK {
		e.failures = 0
		if t.opts.Kind == brwire.KindService {
			r.FirstToken = r.Duration
		}
		t.learn(e, f, r)
		if r.FirstToken-f.expected < stallAfter {
			changes = t.progressed(now, f)
		}
	}
	t.detach(now, f)
	if r.Failed() {
		changes = t.failed(now, e, f)
	}
	return changes
}

// Return ends a flight whose request never reached the endpoint.
func (t *Table) Return(now time.Time, f *Flight) {
	f.ended = true
	if f.endpoint != nil {
		t.detach(now, f)
	}
}

func (t *Table) newFlight(now time.Time, r Request, e *endpoint) *Flight {
	f := &Flight{request: r, tier: r.Tier, tokens: r.Tokens(t.opts.Kind), granted: now, behind: e.pending,
		EndpointID: e.EndpointID, Address: e.Address, Version: e.Version}
	if t.opts.Kind == brwire.KindService {
		f.uncached = 1
	}
	f.load = t.loadOf(e)
	return f
}

func (t *Table) attach(e *endpoint, f *Flight) {
	f.endpoint, f.index = e, len(e.flights)
	e.flights = append(e.flights, f)
	e.outstanding += f.tokens
	if !f.granted.IsZero() {
		e.load += f.tokens
	}
	if f.first.IsZero() {
		e.pending += f.uncached
	}
	t.outstanding += f.tokens
	if f.tier > 1 {
		t.low += f.tokens
	}
}

func (t *Table) detach(now time.Time, f *Flight) {
	e := f.endpoint
	last := len(e.flights) - 1
	e.flights[f.index] = e.flights[last]
	e.flights[f.index].index = f.index
	e.flights[last] = nil
	e.flights = e.flights[:last]
	e.outstanding -= f.tokens
	e.load = max(0, e.load-f.tokens)
	if f.first.IsZero() {
		e.pending -= f.uncached
	}
	t.outstanding -= f.tokens
	if f.tier > 1 {
		t.low -= f.tokens
	}
	// Half at a time, so that a completion doesn't move all of the others.
	if half := len(e.ends) / 2; half > 8 && now.Sub(e.ends[half].ended) > recentEnds {
		e.ends = e.ends[:copy(e.ends, e.ends[half:])]
	}
	e.ends = append(e.ends, end{f.granted, now, f.tokens})
	f.endpoint = nil
	if t.trial == f {
		t.trial = nil
	}
}

func (t *Table) learn(e *endpoint, f *Flight, r Result) {
	if f.granted.IsZero() {
		return // adopted: when it was granted is unknown
	}
	if t.opts.Kind == brwire.KindService {
		t.learnFirst(e, f, 1, r.Duration)
		return
	}
	if !f.learned {
		t.learnFirst(e, f, max(0, r.PromptTokens-r.CachedTokens), r.FirstToken)
	}
	if r.OutputTokens > 1 {
		mean := (r.Duration - r.FirstToken) / time.Duration(r.OutputTokens-1)
		e.speed.observeToken(mean, f.load)
		t.speed.observeToken(mean, f.load)
	}
	if r.CachedTokens < f.cached {
		t.index.forget(e.slot, f.request.PrefixHashes, max(0, r.CachedTokens)/brwire.PrefixBlockTokens)
	}
}

func (t *Table) learnFirst(e *endpoint, f *Flight, uncached int, elapsed time.Duration) {
	f.learned = true
	e.speed.observeFirst(f.behind+uncached, elapsed)
	t.speed.observeFirst(f.behind+uncached, elapsed)
}

// loadOf returns the load of e as a part of its capacity.
func (t *Table) loadOf(e *endpoint) float64 {
	return float64(max(e.load, e.outstanding)) / float64(t.limitOf(e))
}
