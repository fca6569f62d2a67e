package brproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brpath"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brquarantine"
)

// outcome says whether a request is finished after a dispatch.
type outcome uint8

const (
	finished       outcome = iota // the caller has the response
	retryElsewhere                // to be sent to another endpoint
)

// attempt is one dispatch of a request to an endpoint.
type attempt struct {
	placementID uint64 // ID of the brplace.Request
	endpoint    brplace.Endpoint
	sentAt      time.Time
	firstByteAt time.Time              // arrival of the first byte of the response body
	lastEventAt time.Time              // arrival of the latest event
	progressAt  time.Time              // time of the last report of progress to the placement
	events      int                    // number of events received
	result      brplace.Result         // evidence on the health of the endpoint
	lost        bool                   // the endpoint ended the connection before the request made progress
	progressed  bool                   // the endpoint has survived the beginning of the request
	relayed     bool                   // the connection led through another daemon
	trials      []brquarantine.Subject // quarantined subjects for which this is a trial
	stall       *stallWatch
	conn        *brconn.Conn // open connection to the endpoint; nil means one of the pool
	sent        *sentRequest // the request, if it was sent while the dispatch before went on
	notRun      bool         // sent didn't run: its response states so, or nothing of it was sent
	continues   bool         // the caller had received a part of the response when sent was sent
}

func newAttempt(placementID uint64, e brplace.Endpoint) *attempt {
	return &attempt{placementID: placementID, endpoint: e, result: brplace.Inconclusive}
}

// dispatch sends the request to the endpoint of a, unless that was done ahead, and relays
// the response.
func (p *Proxy) dispatch(ctx context.Context, q *request, a *attempt) outcome {
	defer p.endAttempt(q, a)
	if a.sent == nil {
		a.sentAt = p.cfg.Clock.Now()
		if !p.beginTrial(q, a) {
			return retryElsewhere
		}
		p.stats.Dispatches.Add(1)
	}
	p.countSend(q)
	q.tried = append(q.tried, a.endpoint.ID)
	sendCtx, stall := p.watchStall(ctx, q, a.endpoint.ID)
	defer stall.end()
	a.stall = stall
	sendCtx, endRun := p.trackRun(sendCtx, q, a)
	defer endRun()
	x, err := p.send(sendCtx, q, a)
	if err != nil {
		if p.recordSendFailure(ctx, q, a, err) {
			q.mayHaveRun = true
		} else {
			q.sends--
		}
		return p.retry(ctx, q, a, err.Error(), http.StatusBadGateway)
	}
	defer x.Close()
	a.relayed = x.Relayed
	q.framing, q.partialEvent = x.Response.Framing, 0
	p.observeResponse(q, a, &x.Response)
	switch {
	case p.cfg.Dialect.Misdirected(&x.Response):
		a.result = brplace.WrongAddress
		return p.retry(ctx, q, a, "misdirected", http.StatusServiceUnavailable)
	case p.cfg.Dialect.NotRun(&x.Response):
		x.Discard()
		return p.retry(ctx, q, a, "endpoint_full", http.StatusServiceUnavailable)
	}
	q.mayHaveRun = true
	if isStream(q.route, &x.Response) {
		return p.relayStream(ctx, q, a, x)
	}
	return p.relayResponse(ctx, q, a, x)
}

// countSend counts a dispatch of q. If no earlier dispatch may have reached an
// endpoint, it also adds to the retry budget of the service.
func (p *Proxy) countSend(q *request) {
	if q.sends == 0 {
		p.mu.Lock()
		p.limiter.CountRequest(q.service)
		p.mu.Unlock()
	}
	q.sends++
}

// endAttempt reports the end of a dispatch to the placement and to Config.OnResult.
func (p *Proxy) endAttempt(q *request, a *attempt) {
	ev := brplace.Ended{ID: a.placementID, Result: a.result}
	if a.events > 1 {
		ev.EventInterval = a.lastEventAt.Sub(a.firstByteAt) / time.Duration(a.events-1)
	}
	p.ApplyEvent(ev)
	p.endTrial(a)
	p.cfg.ReportsChanged()
	p.reportResult(q, a)
}

// reportResult calls Config.OnResult with the result of a dispatch, unless the result
// is inconclusive for the version of the endpoint.
func (p *Proxy) reportResult(q *request, a *attempt) {
	if a.result == brplace.Succeeded || a.result == brplace.Failed {
		p.reportVersionResult(p.versionResult(q, a))
	}
}

func (p *Proxy) reportVersionResult(r VersionResult) {
	if p.cfg.OnResult != nil {
		p.cfg.OnResult(r)
	}
}

// versionResult returns the result of a dispatch for the version of its endpoint.
func (p *Proxy) versionResult(q *request, a *attempt) VersionResult {
	result := VersionResult{Service: q.service, Route: q.route.Name, Version: a.endpoint.Version, Succeeded: a.result == brplace.Succeeded}
	if !a.firstByteAt.IsZero() {
		expected := baseFirstByteTime + time.Duration(q.call.PromptTokens)*firstByteTimePerToken
		result.LatencyRatio = float64(a.firstByteAt.Sub(a.sentAt)) / float64(expected)
	}
	return result
}

// The expected time to the first byte is baseFirstByteTime plus
// firstByteTimePerToken for each prompt token. Versions are compared by the ratio
// to it, so that its absolute value doesn't matter.
const (
	baseFirstByteTime     = 20 * time.Millisecond
	firstByteTimePerToken = 25 * time.Microsecond
)

// outgoing returns the request to be sent to the endpoint of a.
func (p *Proxy) outgoing(q *request, a *attempt) brconn.Request {
	p.cfg.ReportsChanged()
	d := DispatchParams{Endpoint: a.endpoint.ID, Timeout: max(time.Millisecond, q.deadline.Sub(p.cfg.Clock.Now())), LastEventID: q.lastEventID}
	if q.customer != nil {
		d.Customer = q.customer.Name
	}
	return brconn.Request{
		ID: q.call.ID, Method: q.in.Method, URI: q.in.RequestURI, Host: q.in.Host,
		Header: p.cfg.Dialect.EncodeHeader(q.in.Header, d), BodyRest: q.body.Segments(), Conn: a.conn,
		MaySend: func() error { return p.checkEvacuated(a.endpoint) },
	}
}

// recordSendFailure records the result of an attempt whose send failed, and reports whether
// the request may have reached the endpoint.
func (p *Proxy) recordSendFailure(ctx context.Context, q *request, a *attempt, err error) (maybeSent bool) {
	var sendErr *brconn.SendError
	errors.As(err, &sendErr)
	a.relayed = sendErr.Relayed
	a.result = p.sendFailureResult(ctx, q, a, sendErr)
	if a.result == brplace.Failed {
		p.recordLost(q, a, err)
	}
	return sendErr.MaybeSent
}

// sendFailureResult returns the result of an attempt whose send failed.
func (p *Proxy) sendFailureResult(ctx context.Context, q *request, a *attempt, err *brconn.SendError) brplace.Result {
	p.cfg.Log.Warn().Str("id", q.call.ID).Str("request", q.identity.ID).Str("endpoint", a.endpoint.ID).Str("address", a.endpoint.Address).
		Bool("sent", err.MaybeSent).Bool("relayed", err.Relayed).Err(err).Msg("endpoint gave no answer")
	switch {
	case q.in.Context().Err() != nil || stopped(ctx):
		return brplace.Inconclusive
	case ctx.Err() != nil && p.cfg.Clock.Now().Sub(a.sentAt) < q.route.FirstByteTarget:
		return brplace.Inconclusive // too little time remained when the request was sent
	case !err.MaybeSent:
		return connectFailureResult(err)
	}
	return brplace.Failed
}

// connectFailureResult returns the result of an attempt of which nothing was sent.
func connectFailureResult(err error) brplace.Result {
	if errors.Is(err, brpath.ErrNoPath) || errors.Is(err, errEvacuated) {
		return brplace.Inconclusive
	}
	return brplace.WrongAddress
}

// retry returns retryElsewhere if the request may be sent to another endpoint after the
// attempt a, and otherwise ends the request with an error response. The status is that of
// the response if the request may have run and the deadline has not passed.
func (p *Proxy) retry(ctx context.Context, q *request, a *attempt, reason string, status int) outcome {
	if p.hasSuccessor(ctx, q, a, reason) {
		return retryElsewhere
	}
	mayRetry := !q.mayHaveRun || q.route.RetryMode != brpolicy.NeverRetry
	if ctx.Err() == nil && mayRetry && q.sends < q.route.MaxAttempts && len(q.tried) < maxEndpointsTried {
		if q.sends == 0 || p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Str("reason", reason).Int("sends", q.sends).Msg("retrying at another endpoint")
			return retryElsewhere
		}
		reason = "retry_budget"
	}
	if q.in.Context().Err() != nil {
		p.stats.Disconnected.Add(1)
		p.log(q, "caller disconnected", 0, reason)
		panic(http.ErrAbortHandler)
	}
	failed := http.StatusBadGateway
	if ctx.Err() != nil {
		failed = http.StatusGatewayTimeout
	}
	p.end(q, failed, stopReason(ctx, reason), notRunRetryAfter)
	return finished
}

// hasSuccessor ends the search for a successor of the attempt a, which has failed, and
// reports whether the request goes on there.
func (p *Proxy) hasSuccessor(ctx context.Context, q *request, a *attempt, reason string) bool {
	return p.useSuccessor(ctx, q, a.stall.stopFailed(), reason)
}

// useSuccessor makes next the next dispatch of q and reports whether it is: next may be nil,
// and is ended if ctx has ended. It counts in the retry budget already.
func (p *Proxy) useSuccessor(ctx context.Context, q *request, next *attempt, reason string) bool {
	switch {
	case next == nil:
		return false
	case ctx.Err() != nil:
		p.dropSuccessor(q, next)
		return false
	}
	q.next = next
	p.cfg.Log.Info().Str("id", q.call.ID).Str("reason", reason).Int("sends", q.sends).Str("next", next.endpoint.ID).Msg("retrying at another endpoint")
	return true
}

const (
	// maxEndpointsTried limits the number of endpoints tried for one request,
	// including failed dials.
	maxEndpointsTried = 3
	// notRunRetryAfter is the Retry-After of a request that no endpoint accepted.
	notRunRetryAfter = 300 * time.Millisecond
)

// takeRetry deducts a retry from the budget of the service and reports whether
// there was one.
func (p *Proxy) takeRetry(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := p.limiter.TakeRetry(q.service)
	if ok {
		p.stats.Retries.Add(1)
	}
	return ok
}
