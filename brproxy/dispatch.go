package brproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brevent"
	"bramleyroute/brheader"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
)

// outcome says whether a request is finished after a dispatch.
type outcome uint8

const (
	finished       outcome = iota // the caller has the response
	retryElsewhere                // to be sent to another endpoint
)

// maxBufferedBody is the size in bytes up to which a response body is buffered until
// it is complete. A longer body is relayed as it arrives.
const maxBufferedBody = 256 << 10

// attempt is one dispatch of a request to an endpoint.
type attempt struct {
	placementID uint64 // ID of the brplace.Request
	endpoint    brplace.Endpoint
	sentAt      time.Time
	firstByteAt time.Time      // arrival of the first byte of the response body
	lastEventAt time.Time      // arrival of the latest event
	progressAt  time.Time      // time of the last report of progress to the placement
	events      int            // number of events received
	result      brplace.Result // evidence on the health of the endpoint
	progressed  bool           // the endpoint has survived the beginning of the request
	trials      []string       // parts of the prompt for which this is a trial
}

// dispatch sends the request to an endpoint and relays the response.
func (p *Proxy) dispatch(ctx context.Context, q *request, id uint64, e brplace.Endpoint) outcome {
	a := &attempt{placementID: id, endpoint: e, sentAt: p.cfg.Clock.Now(), result: brplace.Inconclusive}
	defer p.endAttempt(q, a)
	if !p.beginTrial(q, a) {
		return retryElsewhere
	}
	p.stats.Dispatches.Add(1)
	p.countSend(q)
	q.tried = append(q.tried, e.ID)
	sendCtx, stall, stop := p.watchStall(ctx, q, e.ID)
	defer stop()
	x, err := p.cfg.Pool.Send(sendCtx, e.Address, p.outgoing(q, e))
	if err != nil {
		var sendErr *brconn.SendError
		errors.As(err, &sendErr)
		q.mayHaveRun = q.mayHaveRun || sendErr.MaybeSent
		if !sendErr.MaybeSent {
			q.sends--
		}
		a.result = p.sendFailureResult(ctx, q, a, sendErr)
		if a.result == brplace.Failed {
			p.recordLost(q, a, err)
		}
		return p.retry(ctx, q, err.Error(), http.StatusBadGateway)
	}
	defer x.Close()
	q.framing, q.partialEvent = x.Response.Framing, 0
	p.observeResponse(q, e, &x.Response)
	switch {
	case p.cfg.Dialect.Misdirected(&x.Response):
		a.result = brplace.WrongAddress
		return p.retry(ctx, q, "misdirected", http.StatusServiceUnavailable)
	case p.cfg.Dialect.NotRun(&x.Response):
		x.Discard()
		return p.retry(ctx, q, "endpoint_full", http.StatusServiceUnavailable)
	}
	q.mayHaveRun = true
	if isStream(q.route, &x.Response) {
		return p.relayStream(ctx, q, a, x, stall)
	}
	return p.relayResponse(ctx, q, a, x)
}

// isStream reports whether a response is a stream of events. A failure on a route for
// streams isn't.
func isStream(r *brpolicy.Route, res *brconn.Response) bool {
	return isSuccess(res) && (r.Stream || brevent.IsStream(res.Header))
}

func isSuccess(res *brconn.Response) bool {
	return res.Status >= http.StatusOK && res.Status < http.StatusMultipleChoices
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
	if p.cfg.OnResult == nil || a.result != brplace.Succeeded && a.result != brplace.Failed {
		return
	}
	result := VersionResult{Service: q.service, Route: q.route.Name, Version: a.endpoint.Version, Succeeded: a.result == brplace.Succeeded}
	if !a.firstByteAt.IsZero() {
		expected := baseFirstByteTime + time.Duration(q.call.PromptTokens)*firstByteTimePerToken
		result.LatencyRatio = float64(a.firstByteAt.Sub(a.sentAt)) / float64(expected)
	}
	p.cfg.OnResult(result)
}

// The expected time to the first byte is baseFirstByteTime plus
// firstByteTimePerToken for each prompt token. Versions are compared by the ratio
// to it, so that its absolute value doesn't matter.
const (
	baseFirstByteTime     = 20 * time.Millisecond
	firstByteTimePerToken = 25 * time.Microsecond
)

// outgoing returns the request to be sent to the endpoint e.
func (p *Proxy) outgoing(q *request, e brplace.Endpoint) brconn.Request {
	p.cfg.ReportsChanged()
	d := DispatchParams{Endpoint: e.ID, Timeout: max(time.Millisecond, q.deadline.Sub(p.cfg.Clock.Now())), LastEventID: q.lastEventID}
	if q.customer != nil {
		d.Customer = q.customer.Name
	}
	return brconn.Request{
		ID: q.call.ID, Method: q.in.Method, URI: q.in.RequestURI, Host: q.in.Host,
		Header: p.cfg.Dialect.EncodeHeader(q.in.Header, d), Body: q.body,
	}
}

// sendFailureResult returns the result of an attempt whose send failed.
func (p *Proxy) sendFailureResult(ctx context.Context, q *request, a *attempt, err *brconn.SendError) brplace.Result {
	p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", a.endpoint.ID).Str("address", a.endpoint.Address).
		Bool("sent", err.MaybeSent).Err(err).Msg("endpoint gave no answer")
	switch {
	case q.in.Context().Err() != nil:
		return brplace.Inconclusive
	case ctx.Err() != nil && p.cfg.Clock.Now().Sub(a.sentAt) < q.route.FirstByteTarget:
		return brplace.Inconclusive // too little time remained when the request was sent
	case !err.MaybeSent:
		return brplace.WrongAddress
	}
	return brplace.Failed
}

// retry returns retryElsewhere if the request may be sent to another endpoint, and
// otherwise ends the request with an error response. The status is that of the
// response if the request may have run and the deadline has not passed.
func (p *Proxy) retry(ctx context.Context, q *request, reason string, status int) outcome {
	mayRetry := !q.mayHaveRun || q.route.RetryMode != brpolicy.NeverRetry
	if ctx.Err() == nil && mayRetry && q.sends < q.route.MaxAttempts && len(q.tried) < maxEndpointsTried {
		if q.sends == 0 || p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Str("reason", reason).Int("sends", q.sends).Msg("retrying at another endpoint")
			return retryElsewhere
		}
		reason = "retry_budget"
	}
	switch {
	case q.in.Context().Err() != nil:
		p.stats.Disconnected.Add(1)
		p.log(q, "caller disconnected", 0, reason)
		panic(http.ErrAbortHandler)
	case q.headSent:
		p.abort(q, reason)
	case !q.mayHaveRun:
		p.refund(q)
		p.refuse(q, http.StatusServiceUnavailable, reason, notRunRetryAfter)
	case ctx.Err() != nil:
		p.fail(q, http.StatusGatewayTimeout, reason)
	default:
		p.fail(q, http.StatusBadGateway, reason)
	}
	return finished
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

// relayResponse relays a response that isn't a stream. It buffers the body up to
// maxBufferedBody bytes, so that an incomplete response can be retried.
func (p *Proxy) relayResponse(ctx context.Context, q *request, a *attempt, x *brconn.Exchange) outcome {
	body, err := io.ReadAll(io.LimitReader(x, maxBufferedBody))
	if err != nil {
		if ctx.Err() != nil && p.cfg.Clock.Now().Sub(a.sentAt) < q.route.FirstByteTarget {
			return p.retry(ctx, q, "deadline", http.StatusGatewayTimeout)
		}
		a.result = brplace.Failed
		p.recordLost(q, a, err)
		return p.retry(ctx, q, "incomplete response: "+err.Error(), http.StatusBadGateway)
	}
	p.recordFirstByte(a)
	a.result = brplace.Succeeded
	if isSuccess(&x.Response) {
		p.recordProgress(q, a)
	}
	if x.Response.Status >= http.StatusInternalServerError {
		a.result = brplace.Failed
		if q.route.RetryMode == brpolicy.SafeToRetry && q.sends < q.route.MaxAttempts && ctx.Err() == nil && p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Int("status", x.Response.Status).Str("endpoint", a.endpoint.ID).
				Msg("endpoint returned a server error; retrying at another endpoint")
			return retryElsewhere
		}
	}
	if q.headSent {
		p.abort(q, "resume refused with status "+strconv.Itoa(x.Response.Status))
	}
	p.relayHead(q, x, int64(len(body)))
	if len(body) == maxBufferedBody {
		p.relayRest(q, x, body)
	} else if _, err := q.out.Write(body); err != nil {
		p.log(q, "caller disconnected before the response", x.Response.Status, err.Error())
		return finished
	}
	p.recordCompletion(q, a, x.Response.Status)
	return finished
}

// relayRest relays the buffered part and the rest of a body that is longer than
// maxBufferedBody.
func (p *Proxy) relayRest(q *request, x *brconn.Exchange, body []byte) {
	if _, err := q.out.Write(body); err != nil {
		p.abort(q, err.Error())
	}
	if _, err := io.Copy(q.out, x); err != nil {
		p.abort(q, err.Error())
	}
}

// relayHead relays the status and header of a response. A length of maxBufferedBody
// or more is replaced by the length that the endpoint stated; a negative length
// means unknown.
func (p *Proxy) relayHead(q *request, x *brconn.Exchange, length int64) {
	h := q.out.Header()
	for name, values := range brheader.EndToEnd(x.Response.Header) {
		h[name] = values
	}
	if length >= maxBufferedBody {
		length = x.Response.Length
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		h.Del("Content-Length")
	}
	q.out.WriteHeader(x.Response.Status)
	q.headSent = true
}

// relayStream relays the events of a stream as they arrive.
func (p *Proxy) relayStream(ctx context.Context, q *request, a *attempt, x *brconn.Exchange, s *stallTimer) outcome {
	events := brconn.NewEventReader(x)
	control := http.NewResponseController(q.out)
	for {
		b, err := events.Next()
		if err != nil {
			q.partialEvent = events.Partial()
		}
		if err != nil && err != io.EOF {
			return p.streamFailed(ctx, q, a, err)
		}
		if len(b) > 0 {
			p.recordEvents(q, a, b)
			s.reset()
			if !q.headSent {
				p.relayHead(q, x, -1)
			}
			if id := brevent.LastID(b); id != "" {
				q.lastEventID = id
			}
			if _, werr := q.out.Write(b); werr != nil {
				return p.callerDisconnected(q, werr)
			}
		}
		if err == io.EOF {
			if !q.headSent {
				p.relayHead(q, x, -1)
			}
			a.result = brplace.Succeeded
			p.recordProgress(q, a)
			p.recordCompletion(q, a, x.Response.Status)
			return finished
		}
		if werr := control.Flush(); werr != nil {
			return p.callerDisconnected(q, werr)
		}
	}
}

// callerDisconnected ends a request whose caller closed the connection during the
// response. It always panics with http.ErrAbortHandler.
func (p *Proxy) callerDisconnected(q *request, err error) outcome {
	p.stats.Disconnected.Add(1)
	p.log(q, "caller disconnected during the response", 0, err.Error())
	panic(http.ErrAbortHandler)
}

// streamFailed resumes, retries or aborts a stream that ended early.
func (p *Proxy) streamFailed(ctx context.Context, q *request, a *attempt, err error) outcome {
	if q.in.Context().Err() != nil {
		return p.callerDisconnected(q, err)
	}
	if ctx.Err() == nil {
		a.result = brplace.Failed
		p.recordLost(q, a, err)
	}
	reason := "stream failed: " + err.Error()
	if q.headSent && (q.route.RetryMode != brpolicy.Resumable || q.lastEventID == "") {
		p.abort(q, reason)
	}
	if q.headSent {
		p.stats.Resumed.Add(1)
	}
	return p.retry(ctx, q, reason, http.StatusBadGateway)
}

// recordEvents updates the attempt with the events in b.
func (p *Proxy) recordEvents(q *request, a *attempt, b []byte) {
	now := p.cfg.Clock.Now()
	if a.events == 0 {
		p.recordFirstByte(a)
	}
	a.events += brevent.Count(b)
	a.lastEventAt = now
	if a.events >= minProgressEvents {
		p.recordProgress(q, a)
	}
	if now.Sub(a.progressAt) >= progressInterval {
		a.progressAt = now
		p.ApplyEvent(brplace.Progressed{ID: a.placementID})
	}
}

// progressInterval is the minimum time between two reports of the progress of a stream
// to the placement. It is a fraction of the time after which an endpoint counts as
// stalled.
const progressInterval = 250 * time.Millisecond

// recordFirstByte records the arrival of the first byte of a response body and
// reports it to the placement.
func (p *Proxy) recordFirstByte(a *attempt) {
	a.firstByteAt = p.cfg.Clock.Now()
	p.ApplyEvent(brplace.FirstByte{ID: a.placementID})
}

// recordCompletion counts and logs a complete response.
func (p *Proxy) recordCompletion(q *request, a *attempt, status int) {
	p.stats.Answered.Add(1)
	first := a.firstByteAt.Sub(q.arrived)
	if p.cfg.OnFirstByte != nil {
		p.cfg.OnFirstByte(first)
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	logResponse(p.cfg.Log.Info(), q).Str("id", q.call.ID).Str("route", q.route.Name).Str("customer", customer).Str("endpoint", a.endpoint.ID).
		Int("status", status).Int("sends", q.sends).Int64("waited_ms", a.sentAt.Sub(q.arrived).Milliseconds()).
		Int("prompt", q.call.PromptTokens).Int("output", q.call.MaxOutputTokens).Int("hint", q.call.OutputTokensHint).Int("events", a.events).
		Int64("first_ms", first.Milliseconds()).Int64("ms", p.cfg.Clock.Now().Sub(q.arrived).Milliseconds()).Msg("answered")
}
