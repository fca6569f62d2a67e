package brroute

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Request describes a request for the choice of an endpoint.
type Request struct {
	ID           string
	Route        string
	Group        string // ID of a ShareGroup; empty for none
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
	endpoint           *endpoint // nil when the endpoint isn't in the table or the flight has ended
	index              int
	request            Request
	tier               int
	tokens             int
	uncached           int           // prompt tokens expected to be prefilled
	cached             int           // prompt tokens expected in the endpoint's cache
	maxCached          int           // largest number of prompt tokens cached on any endpoint
	pendingAtGrant     int           // prompt tokens pending on the endpoint at the grant
	loadAtGrant        float64       // of the endpoint at the grant, as a fraction of its capacity
	expectedFirstToken time.Duration // from the start to the first token
	stalled            bool          // reported in a Change
	firstTokenLearned  bool          // whether the time to the first token was observed
	trial              bool
	pathLost           bool // its entry may have lost its path to the endpoint
	ended              bool

	granted, started, firstToken time.Time

	EndpointID  string
	Incarnation string // of the endpoint
	Address     string
	Version     string
}

// Tokens returns the expected tokens (service: 1) that f adds to the outstanding
// tokens.
func (f *Flight) Tokens() int { return f.tokens }

// ID returns the ID of f's request.
func (f *Flight) ID() string { return f.request.ID }

// Attached reports whether f is in flight on an endpoint of the table.
func (f *Flight) Attached() bool { return f.endpoint != nil }

// AvoidablePrefill returns the number of prompt tokens that were prefilled although
// they were cached on another endpoint at the grant, or expected in the cache of f's
// own endpoint. The argument is the number of tokens served from the cache.
func (f *Flight) AvoidablePrefill(cached int) int {
	return max(0, f.maxCached-max(f.cached, cached)) + max(0, f.cached-cached)
}

// Grant adds r to the endpoint of c and returns its flight. Grant panics if the
// endpoint was removed from the table after Choose.
func (t *Table) Grant(now time.Time, r Request, c Choice) *Flight {
	if t.byID[c.endpoint.EndpointID] != c.endpoint {
		panic("brroute: chosen endpoint is no longer in the table")
	}
	e := c.endpoint
	f := t.newFlight(now, r, e)
	f.cached, f.maxCached = c.cached, c.maxCached
	if t.opts.Kind != brwire.KindService {
		f.uncached = max(0, r.PromptTokens-c.cached)
	}
	f.expectedFirstToken = c.timeToFirstToken
	t.addFlight(e, f)
	if e.limit.Limited {
		e.bucket.Take(now)
	}
	t.recordShareGrant(r, c.share)
	if c.trial {
		f.trial, t.trial = true, f
	}
	t.index.expect(now, e.slot, r.PrefixHashes)
	return f
}

// Adopt adds a request that was granted by an earlier owner of the pool to the
// endpoint with the given ID. The flight doesn't count until the endpoint is in
// the table.
func (t *Table) Adopt(now time.Time, r Request, endpointID, address, version string) *Flight {
	// The progress of the request is unknown, so its prompt is assumed to be
	// prefilled. With a zero grant time the request counts as part of every report.
	f := &Flight{request: r, tier: r.Tier, tokens: r.Tokens(t.opts.Kind), started: now, firstToken: now,
		EndpointID: endpointID, Address: address, Version: version}
	if e := t.byID[endpointID]; e != nil {
		f.loadAtGrant = t.relativeLoad(e)
		t.addFlight(e, f)
		return f
	}
	if t.adopted == nil {
		t.adopted = make(map[string][]*Flight)
	}
	t.adopted[endpointID] = append(t.adopted[endpointID], f)
	return f
}

// Started records that the request was sent to its endpoint.
func (t *Table) Started(now time.Time, f *Flight) {
	if f.started.IsZero() {
		f.started = now
	}
}

// FirstToken records the arrival of the first token of a request. The argument
// elapsed is the time since the request was sent.
func (t *Table) FirstToken(now time.Time, f *Flight, elapsed time.Duration) []Change {
	e := f.endpoint
	if e == nil || !f.firstToken.IsZero() {
		return nil
	}
	f.firstToken = now
	e.pending -= f.uncached
	if f.maxCached == 0 && !f.granted.IsZero() && !f.pathLost {
		// Nothing was cached, so the number of prefilled tokens is known before Done.
		t.learnFirst(e, f, f.uncached, elapsed)
	}
	if elapsed-f.expectedFirstToken >= stallTimeout {
		return nil // slow progress doesn't close a half-open endpoint
	}
	return t.recordProgress(now, f)
}

// PathLost records that the entry of f may have lost its path to the endpoint. The progress
// of f, or the lack of it, says nothing about the endpoint from then on.
func (t *Table) PathLost(now time.Time, f *Flight) {
	f.pathLost = true
	if t.trial == f {
		t.trial = nil
		t.scheduleTrial(now, f.endpoint)
	}
}

// Result is the result of a request.
type Result struct {
	OK           bool
	Outcome      brerror.Outcome
	Kind         brerror.Kind // meaningful when OK is false
	PathFailed   bool         // the entry's path to the endpoint may be to blame
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Duration     time.Duration
}

// Failed reports whether the request failed because of the endpoint rather than
// the caller, the scheduler or the path of the entry.
func (r Result) Failed() bool {
	return !r.OK && !r.PathFailed && (r.Kind == brerror.EndpointFailed || r.Kind == brerror.EndpointUnavailable || r.Kind == brerror.Stuck)
}

// Done ends a flight and updates the learned speeds from its result.
func (t *Table) Done(now time.Time, f *Flight, r Result) []Change {
	e := f.endpoint
	f.ended = true
	if e == nil {
		return nil
	}
	var changes []Change
	if r.OK {
		e.consecutiveFailures = 0
		if t.opts.Kind == brwire.KindService {
			r.FirstToken = r.Duration
		}
		t.learn(e, f, r)
		if r.FirstToken-f.expectedFirstToken < stallTimeout {
			changes = t.recordProgress(now, f)
		}
	}
	t.removeFlight(now, f)
	if r.Failed() {
		changes = t.recordFailure(now, e, f)
	}
	return changes
}

// Return ends a flight whose request was never sent to the endpoint.
func (t *Table) Return(now time.Time, f *Flight) {
	f.ended = true
	if f.endpoint != nil {
		t.removeFlight(now, f)
	}
}

func (t *Table) newFlight(now time.Time, r Request, e *endpoint) *Flight {
	f := &Flight{request: r, tier: r.Tier, tokens: r.Tokens(t.opts.Kind), granted: now, pendingAtGrant: e.pending,
		EndpointID: e.EndpointID, Incarnation: e.Incarnation, Address: e.Address, Version: e.Version}
	if t.opts.Kind == brwire.KindService {
		f.uncached = 1
	}
	f.loadAtGrant = t.relativeLoad(e)
	return f
}

func (t *Table) addFlight(e *endpoint, f *Flight) {
	f.endpoint, f.index = e, len(e.flights)
	e.flights = append(e.flights, f)
	e.outstanding += f.tokens
	if !f.granted.IsZero() {
		e.load += f.tokens
	}
	if f.firstToken.IsZero() {
		e.pending += f.uncached
	}
	t.outstanding += f.tokens
	if f.tier > 1 {
		t.lowTierOutstanding += f.tokens
	}
}

func (t *Table) removeFlight(now time.Time, f *Flight) {
	e := f.endpoint
	last := len(e.flights) - 1
	e.flights[f.index] = e.flights[last]
	e.flights[f.index].index = f.index
	e.flights[last] = nil
	e.flights = e.flights[:last]
	e.outstanding -= f.tokens
	e.load = max(0, e.load-f.tokens)
	if f.firstToken.IsZero() {
		e.pending -= f.uncached
	}
	t.outstanding -= f.tokens
	if f.tier > 1 {
		t.lowTierOutstanding -= f.tokens
	}
	// Drop half of the completions at a time, so that the cost per completion is
	// amortized.
	if half := len(e.completions) / 2; half > 8 && now.Sub(e.completions[half].ended) > completionRetention {
		e.completions = e.completions[:copy(e.completions, e.completions[half:])]
	}
	e.completions = append(e.completions, completion{f.granted, now, f.tokens})
	f.endpoint = nil
	if t.trial == f {
		t.trial = nil
	}
}

func (t *Table) learn(e *endpoint, f *Flight, r Result) {
	if f.granted.IsZero() || f.pathLost {
		return // adopted: the time of its grant is unknown
	}
	if t.opts.Kind == brwire.KindService {
		t.learnFirst(e, f, 1, r.Duration)
		return
	}
	if !f.firstTokenLearned {
		t.learnFirst(e, f, max(0, r.PromptTokens-r.CachedTokens), r.FirstToken)
	}
	if r.OutputTokens > 1 {
		mean := (r.Duration - r.FirstToken) / time.Duration(r.OutputTokens-1)
		e.speed.observeToken(mean, f.loadAtGrant)
		t.speed.observeToken(mean, f.loadAtGrant)
	}
	if r.CachedTokens < f.cached {
		t.index.dropFrom(e.slot, f.request.PrefixHashes, max(0, r.CachedTokens)/brwire.PrefixBlockTokens)
	}
}

func (t *Table) learnFirst(e *endpoint, f *Flight, uncached int, elapsed time.Duration) {
	f.firstTokenLearned = true
	e.speed.observeFirst(f.pendingAtGrant+uncached, elapsed)
	t.speed.observeFirst(f.pendingAtGrant+uncached, elapsed)
}

// relativeLoad returns the load of e as a fraction of its capacity.
func (t *Table) relativeLoad(e *endpoint) float64 {
	return float64(max(e.load, e.outstanding)) / float64(t.outstandingLimitOf(e))
}
