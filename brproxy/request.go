package brproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brheader"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brquarantine"
)

const (
	// noPolicyRetryAfter is the Retry-After of requests refused because this daemon
	// has no policy yet.
	noPolicyRetryAfter = 700 * time.Millisecond
	// maxPolicyWait is the longest time that a request waits for the first policy of
	// a daemon. It is about the time in which the replicas elect a leader after all
	// of them were killed.
	maxPolicyWait = 1500 * time.Millisecond
	// queueTimeFraction is the fraction of the time until the caller disconnects
	// that a request may wait for its dispatch, so that the response begins in time. A
	// response that has begun may wait for all of it: a rejection would only break it off.
	queueTimeFraction = 0.6
)

// request is the state of one request of a caller.
type request struct {
	call     CallParams
	route    *brpolicy.Route
	customer *brpolicy.Customer // nil if the request has no known key
	service  string
	body     *brbuffer.Body
	identity brquarantine.Request
	cost     float64 // amount charged to the quota of the customer
	arrived  time.Time
	deadline time.Time
	in       *http.Request
	out      http.ResponseWriter

	sends       int        // number of dispatches that may have reached an endpoint
	tried       []string   // IDs of the endpoints of all dispatches
	mayHaveRun  bool       // an endpoint may have run the request
	headSent    bool       // the response header was relayed
	lastEventID string     // ID of the last relayed event
	streamHead  streamHead // of the relayed header
	relayedAt   time.Time  // time at which the caller was last sent something; its arrival before that

	framing      brheader.Framing // of the latest response
	partialEvent int              // number of bytes after the last whole event of the latest stream

	next *attempt // the next dispatch, if it was sent already

	// Number of waiting requests and free slots at the rejection by the placement,
	// for the log.
	waiting, freeSlots int
}

// ServeHTTP serves one request of a caller. It panics with http.ErrAbortHandler to
// abort a response that can't be completed. After another panic the caller gets a response
// with status 500 if it has received nothing yet.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.stats.Requests.Add(1)
	q := &request{in: r, out: w, arrived: p.cfg.Clock.Now()}
	q.relayedAt = q.arrived
	defer p.recoverPanic(q)
	p.drain.add(1)
	defer p.drain.add(-1)
	table := p.awaitPolicy(q)
	if table == nil {
		p.refuse(q, http.StatusServiceUnavailable, "no_policy", noPolicyRetryAfter)
		return
	}
	if !p.resolve(q, table) || !p.readBody(q, table) {
		return
	}
	defer q.body.Release()
	if !p.admit(q) {
		return
	}
	q.identify()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	ctx, release := p.drain.bind(ctx)
	defer release()
	if !p.chargeQuota(q) {
		return
	}
	q.service = q.route.PickService(rand.Float64())
	q.out = p.newCallerWriter(w)
	p.run(ctx, q)
}

// awaitPolicy returns the policy in force. If there is none yet, it waits for the
// first one for up to maxPolicyWait or half the deadline of the request, and returns
// nil if none arrives.
func (p *Proxy) awaitPolicy(q *request) *brpolicy.Table {
	if t := p.table.Load(); t != nil {
		return t
	}
	wait := maxPolicyWait
	if c, err := p.cfg.Dialect.Decode(q.in); err == nil && c.Deadline > 0 {
		wait = min(wait, c.Deadline/2)
	}
	select {
	case <-p.policySet:
	case <-q.in.Context().Done():
	case <-p.drain.ended.Done():
	case <-p.cfg.Clock.After(wait):
	}
	return p.table.Load()
}

// resolve sets the route, the customer and the deadline of the request. If it
// returns false it has sent the error response.
func (p *Proxy) resolve(q *request, table *brpolicy.Table) bool {
	path, _, _ := strings.Cut(q.in.RequestURI, "?")
	q.route = table.Route(hostOnly(q.in.Host), path)
	if q.route == nil {
		p.deny(q, http.StatusNotFound, "no_route")
		return false
	}
	var err error
	if q.call, err = p.cfg.Dialect.Decode(q.in); err != nil {
		p.cfg.Log.Info().Str("id", q.call.ID).Err(err).Msg("request has malformed header fields")
		p.deny(q, http.StatusBadRequest, "malformed")
		return false
	}
	if q.call.Key != "" {
		q.customer = table.Customer(q.call.Key)
	}
	if q.customer == nil && !q.route.Anonymous && len(table.Policy().Customers) > 0 {
		p.deny(q, http.StatusUnauthorized, "unknown_key")
		return false
	}
	wait := q.route.Timeout
	if q.call.Deadline > 0 {
		wait = min(wait, q.call.Deadline)
	}
	q.deadline = q.arrived.Add(wait)
	return true
}

// hostOnly returns host in lower case and without a port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// readBody reads the request body into memory, up to the limit of the policy. If it
// returns false it has sent the error response.
func (p *Proxy) readBody(q *request, table *brpolicy.Table) bool {
	limits := table.Policy().Limits
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	var err error
	q.body, err = p.cfg.Buffers.Read(q.out, q.in, brbuffer.Options{
		Limit: limits.BodyBytes, Idle: limits.HeaderTimeout, Deadline: q.deadline, Stop: p.drain.ended,
	})
	switch {
	case errors.Is(err, brbuffer.ErrTooLarge):
		p.deny(q, http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case errors.Is(err, brbuffer.ErrNoRoom):
		p.refuse(q, http.StatusServiceUnavailable, "no_memory", brbuffer.RetryAfter)
		return false
	case errors.Is(err, brbuffer.ErrTimeout):
		p.refuse(q, http.StatusRequestTimeout, "body_timeout", 0)
		return false
	case errors.Is(err, brbuffer.ErrStopped):
		p.refuse(q, http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
		return false
	case err != nil:
		p.stats.Disconnected.Add(1)
		p.log(q, "caller disconnected while sending the request", 0, "")
		panic(http.ErrAbortHandler)
	}
	return true
}

// identify sets the identity of the request: it is the same if the caller sends it again
// under another ID.
func (q *request) identify() {
	caller := q.call.Key
	if q.customer != nil {
		caller = q.customer.Name
	}
	q.identity = brquarantine.Request{
		ID:    brquarantine.FingerprintParts(q.body.Segments(), q.in.Method, hostOnly(q.in.Host), q.in.RequestURI, caller),
		Parts: q.call.PromptParts,
	}
}

// defaultBodyBytes is the maximum size of a request body if the policy sets none.
const defaultBodyBytes = 4 << 20

// chargeQuota charges the request to the quota of the customer. If it returns false
// it has sent the error response.
func (p *Proxy) chargeQuota(q *request) bool {
	if q.customer == nil {
		return true
	}
	q.cost = 1
	if q.customer.QuotaInTokens {
		q.cost = q.customer.DefaultTokens
		if q.call.HasTokens {
			q.cost = float64(q.call.PromptTokens + q.call.MaxOutputTokens)
		}
	}
	p.mu.Lock()
	wait, ok := p.limiter.Spend(q.arrived, q.customer.Name, q.cost)
	p.mu.Unlock()
	if !ok {
		p.stats.OverQuota.Add(1)
		q.cost = 0
		p.refuse(q, http.StatusTooManyRequests, "over_quota", wait)
	}
	return ok
}

// refund refunds the quota of a request that did not run.
func (p *Proxy) refund(q *request) {
	if q.customer == nil || q.cost == 0 || q.mayHaveRun {
		return
	}
	p.mu.Lock()
	p.limiter.Refund(p.cfg.Clock.Now(), q.customer.Name, q.cost)
	p.mu.Unlock()
	q.cost = 0
}

// run dispatches the request until it has a response or must not be sent again.
func (p *Proxy) run(ctx context.Context, q *request) {
	for {
		if next := q.next; next != nil {
			q.next = nil
			if pause, held := p.mustEndSuccessor(q, next); held {
				p.dropSuccessor(q, next)
				p.endQuarantined(ctx, q, pause)
				return
			}
			if p.dispatch(ctx, q, next) == finished {
				return
			}
			continue
		}
		if pause, held := p.checkQuarantine(q); held {
			p.endQuarantined(ctx, q, pause)
			return
		}
		id, decision := p.awaitPlacement(ctx, q, p.placementRequest(q))
		switch e := decision.(type) {
		case brplace.Dispatch:
			if p.dispatch(ctx, q, newAttempt(id, e.Endpoint)) == finished {
				return
			}
		case brplace.Reject:
			q.waiting, q.freeSlots = e.Waiting, e.FreeSlots
			p.stats.countRejection(e.Reason)
			p.endUndispatched(ctx, q, string(e.Reason), e.RetryAfter)
			return
		default:
			if ctx.Err() != nil {
				p.endUndispatched(ctx, q, "deadline", 0)
				return
			}
			// The request or a part was quarantined meanwhile.
		}
	}
}

// endQuarantined ends a request that the quarantine holds back for the time pause.
func (p *Proxy) endQuarantined(ctx context.Context, q *request, pause time.Duration) {
	p.stats.Quarantined.Add(1)
	p.endUndispatched(ctx, q, quarantineReason, pause)
}

// awaitPlacement submits r, which is the request q, to the placement and waits for the
// decision. It returns the placement ID, and a nil effect if ctx ends or the quarantine
// holds the request back first.
func (p *Proxy) awaitPlacement(ctx context.Context, q *request, r brplace.Request) (uint64, brplace.Effect) {
	id, decisions := p.submit(r)
	select {
	case e := <-decisions:
		return id, e
	default:
	}
	if e := p.awaitDecision(ctx, q, decisions); e != nil {
		return id, e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	select {
	case e := <-decisions: // decided concurrently with the end of the wait
		if d, ok := e.(brplace.Dispatch); ok {
			p.step(brplace.Ended{ID: id, Result: brplace.Inconclusive})
			p.cfg.Log.Debug().Str("id", q.call.ID).Str("endpoint", d.Endpoint.ID).Msg("request ended before its dispatch")
		}
	default:
		p.step(brplace.Cancel{ID: id})
	}
	return id, nil
}

// submit submits r to the placement and returns its ID and the channel of the decision.
func (p *Proxy) submit(r brplace.Request) (uint64, <-chan brplace.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decisions := make(chan brplace.Effect, 1)
	p.lastPlacementID++
	r.ID = p.lastPlacementID
	p.waiting[r.ID] = decisions
	p.step(brplace.Submit{Request: r})
	return r.ID, decisions
}

// awaitDecision waits for the decision of the placement. It returns nil if ctx ends or
// q is held back by the quarantine first.
func (p *Proxy) awaitDecision(ctx context.Context, q *request, decisions <-chan brplace.Effect) brplace.Effect {
	for {
		begins := p.quarantineBegins()
		if _, held := p.checkQuarantine(q); held {
			return nil
		}
		select {
		case e := <-decisions:
			return e
		case <-ctx.Done():
			return nil
		case <-begins:
		}
	}
}

// placementRequest returns the placement request for q, without its ID.
func (p *Proxy) placementRequest(q *request) brplace.Request {
	r := brplace.Request{
		Service: q.service, Rank: q.route.Rank, Stream: q.route.Stream,
		PromptTokens: q.call.PromptTokens, OutputTokens: p.outputTokens(q), ExpectedEvents: p.expectedEvents(q), ExcludedEndpoints: q.tried,
		FirstByteDue: q.arrived.Add(q.route.FirstByteTarget), Deadline: q.deadline,
	}
	r.MaxQueueTime = q.callerWait(p.cfg.Clock.Now())
	if !q.headSent {
		r.MaxQueueTime = time.Duration(queueTimeFraction * float64(r.MaxQueueTime))
	}
	if q.customer != nil {
		r.Customer = q.customer.Name
	}
	if p.cfg.SelectVersion != nil {
		r.Version, r.ExcludedVersion = p.cfg.SelectVersion(q.service, q.route.Name)
	}
	return r
}

// callerWait returns the time from now until the caller disconnects if it is sent nothing.
func (q *request) callerWait(now time.Time) time.Duration {
	wait := q.deadline.Sub(now)
	if q.route.CallerTimeout > 0 {
		wait = min(wait, q.relayedAt.Add(q.route.CallerTimeout).Sub(now))
	}
	return wait
}

// resumable reports whether another endpoint could go on with the response that the caller
// has received a part of.
func (q *request) resumable() bool {
	return q.route.RetryMode == brpolicy.Resumable && q.lastEventID != ""
}

// expectedOutput returns the expected number of tokens of the response, based on the
// caller's estimate of its length, up to the stated maximum, or else on
// typicalOutputFraction.
func (q *request) expectedOutput() float64 {
	hint, most := q.call.OutputTokensHint, q.call.MaxOutputTokens
	switch {
	case hint == 0:
		return typicalOutputFraction * float64(most)
	case most > 0:
		return float64(min(hint, most))
	}
	return float64(hint)
}

// outputTokens returns the expected number of tokens of the response, for the memory that it
// needs. Without an estimate of the caller it is a guess, by which the request isn't taken to be
// too large for an endpoint.
func (p *Proxy) outputTokens(q *request) int {
	tokens := int(q.expectedOutput())
	s := p.table.Load().Service(q.service)
	if q.call.OutputTokensHint > 0 || s == nil || s.Engine == nil || s.Engine.KVCapacity <= 0 {
		return tokens
	}
	return min(tokens, max(0, s.Engine.KVCapacity-q.call.PromptTokens))
}

// expectedEvents returns the expected number of events of the response.
func (p *Proxy) expectedEvents(q *request) float64 {
	tokensPerEvent := 1
	if s := p.table.Load().Service(q.service); s != nil && s.Engine != nil {
		tokensPerEvent = max(1, s.Engine.TokensPerEvent)
	}
	return q.expectedOutput() / float64(tokensPerEvent)
}

// typicalOutputFraction is the typical length of a response as a fraction of its
// maximum length.
const typicalOutputFraction = 0.1
