package brproxy

import (
	"context"
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

// maxBufferedBody is the size in bytes up to which a response body is buffered until
// it is complete. A longer body is relayed as it arrives.
const maxBufferedBody = 256 << 10

// isStream reports whether a response is a stream of events. A failure on a route for
// streams isn't.
func isStream(r *brpolicy.Route, res *brconn.Response) bool {
	return isSuccess(res) && (r.Stream || brevent.IsStream(res.Header))
}

func isSuccess(res *brconn.Response) bool {
	return res.Status >= http.StatusOK && res.Status < http.StatusMultipleChoices
}

// relayResponse relays a response that isn't a stream. It buffers the body up to
// maxBufferedBody bytes, or as many as there is memory for, so that an incomplete response can
// be retried.
func (p *Proxy) relayResponse(ctx context.Context, q *request, a *attempt, x *brconn.Exchange) outcome {
	body, more, err := x.ReadBody(maxBufferedBody)
	if err != nil {
		if stopped(ctx) || ctx.Err() != nil && p.cfg.Clock.Now().Sub(a.sentAt) < q.route.FirstByteTarget {
			return p.retry(ctx, q, a, "deadline", http.StatusGatewayTimeout)
		}
		a.result = brplace.Failed
		p.recordLost(q, a, err)
		return p.retry(ctx, q, a, "incomplete response: "+err.Error(), http.StatusBadGateway)
	}
	p.recordFirstByte(a)
	a.result = brplace.Succeeded
	if isSuccess(&x.Response) {
		p.recordProgress(q, a)
	}
	if x.Response.Status >= http.StatusInternalServerError {
		a.result = brplace.Failed
	}
	if q.headSent {
		return p.retry(ctx, q, a, "resume refused with status "+strconv.Itoa(x.Response.Status), http.StatusBadGateway)
	}
	if x.Response.Status >= http.StatusInternalServerError {
		if p.hasSuccessor(ctx, q, a, "status "+strconv.Itoa(x.Response.Status)) {
			return retryElsewhere
		}
		if q.route.RetryMode == brpolicy.SafeToRetry && q.sends < q.route.MaxAttempts && ctx.Err() == nil && p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Int("status", x.Response.Status).Str("endpoint", a.endpoint.ID).
				Msg("endpoint returned a server error; retrying at another endpoint")
			return retryElsewhere
		}
	}
	if more && p.useSuccessor(ctx, q, a.stall.stop(), "response stalled") {
		return retryElsewhere
	}
	a.stall.close()
	length := int64(len(body))
	if more {
		length = x.Response.Length
	}
	p.relayHead(q, x, length)
	if more {
		p.relayRest(ctx, q, x, body)
	} else if _, err := q.out.Write(body); err != nil {
		p.log(q, "caller disconnected before the response", x.Response.Status, err.Error())
		return finished
	}
	p.recordCompletion(q, a, x.Response.Status)
	return finished
}

// relayRest relays the buffered part and the rest of a body that is too long to be buffered.
func (p *Proxy) relayRest(ctx context.Context, q *request, x *brconn.Exchange, body []byte) {
	if _, err := q.out.Write(body); err != nil {
		p.abort(q, err.Error())
	}
	x.ReleaseBuffer()
	if _, err := io.Copy(q.out, x); err != nil {
		p.abort(q, stopReason(ctx, err.Error()))
	}
}

// relayHead relays the status and header of a response with the given length of the body in
// bytes; a negative length means unknown.
func (p *Proxy) relayHead(q *request, x *brconn.Exchange, length int64) {
	h := q.out.Header()
	for name, values := range brheader.EndToEnd(x.Response.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		h.Del("Content-Length")
	}
	q.out.WriteHeader(x.Response.Status)
	q.headSent, q.streamHead = true, streamHeadOf(&x.Response)
}

// relayStream relays the events of a stream as they arrive.
func (p *Proxy) relayStream(ctx context.Context, q *request, a *attempt, x *brconn.Exchange) outcome {
	events := brconn.NewEventReader(x)
	control := http.NewResponseController(q.out)
	if q.headSent && q.streamHead != streamHeadOf(&x.Response) {
		return p.notResumed(ctx, q, a, "response doesn't go on with the stream")
	}
	resume := q.resumePoint()
	for {
		if !q.headSent || q.resumable() {
			a.stall.await()
		}
		b, err := events.Next()
		if err != nil {
			q.partialEvent = events.Partial()
		}
		if err != nil && err != io.EOF {
			return p.streamFailed(ctx, q, a, err)
		}
		if len(b) > 0 {
			if !a.stall.progress() && err == nil {
				return p.retry(ctx, q, a, "stream stalled", http.StatusBadGateway)
			}
			if !resume.accepts(b) {
				return p.notResumed(ctx, q, a, "stream doesn't go on after its last event")
			}
			p.recordEvents(q, a, b)
			if !q.headSent {
				p.relayHead(q, x, -1)
			}
			if id := brevent.LastID(b); id != "" {
				q.lastEventID = id
			}
			if _, werr := q.out.Write(b); werr != nil {
				return p.callerDisconnected(q, werr)
			}
			q.relayedAt = p.cfg.Clock.Now()
		}
		if err == io.EOF {
			a.stall.close()
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
	reason := stopReason(ctx, "stream failed: "+err.Error())
	if q.headSent && !q.resumable() {
		p.abort(q, reason)
	}
	if q.headSent {
		p.stats.Resumed.Add(1)
	}
	return p.retry(ctx, q, a, reason, http.StatusBadGateway)
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
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	p.durations.Add(now, q.route.Name, now.Sub(q.arrived))
	p.mu.Unlock()
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
