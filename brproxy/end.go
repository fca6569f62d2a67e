package brproxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brdrain"

	"github.com/rs/zerolog"
)

// endUndispatched ends a request that got no further dispatch.
func (p *Proxy) endUndispatched(ctx context.Context, q *request, reason string, retryAfter time.Duration) {
	if q.in.Context().Err() != nil {
		p.refund(q)
		p.stats.Disconnected.Add(1)
		p.log(q, "caller disconnected while waiting", 0, reason)
		panic(http.ErrAbortHandler)
	}
	if stopped(ctx) {
		reason, retryAfter = reasonStopping, stoppingRetryAfter
	}
	p.end(q, http.StatusBadGateway, reason, retryAfter)
}

// end ends a request without a response of an endpoint. The status is that of the response
// if the request may have run.
func (p *Proxy) end(q *request, status int, reason string, retryAfter time.Duration) {
	switch brdrain.EndingOf(q.mayHaveRun, q.headSent) {
	case brdrain.Abort:
		p.abort(q, reason)
	case brdrain.Fail:
		p.fail(q, status, reason)
	default:
		p.refund(q)
		p.refuse(q, http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// refuse responds that the request has not run, with a Retry-After header if
// retryAfter is positive.
func (p *Proxy) refuse(q *request, status int, reason string, retryAfter time.Duration) {
	p.stats.Rejected.Add(1)
	p.log(q, "refused", status, reason)
	h := q.out.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	http.Error(q.out, reason, status)
}

// deny responds that the request isn't allowed.
func (p *Proxy) deny(q *request, status int, reason string) {
	p.stats.Denied.Add(1)
	p.log(q, "denied", status, reason)
	http.Error(q.out, reason, status)
}

// fail responds with an error after the request may have run.
func (p *Proxy) fail(q *request, status int, reason string) {
	p.stats.Failed.Add(1)
	p.log(q, "failed", status, reason)
	http.Error(q.out, reason, status)
}

// abort aborts a partially relayed response, so that the caller doesn't take it for
// a complete one. It always panics with http.ErrAbortHandler.
func (p *Proxy) abort(q *request, reason string) {
	p.stats.Failed.Add(1)
	p.log(q, "response aborted", 0, reason)
	if !q.in.ProtoAtLeast(1, 1) {
		p.resetCaller(q)
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the connection of a caller. HTTP/1.0 has no chunks, so that the end
// of the connection marks the end of a response without a length: only a reset tells one
// that was aborted from a complete one.
func (p *Proxy) resetCaller(q *request) {
	c, _, err := http.NewResponseController(q.out).Hijack()
	if err != nil {
		p.cfg.Log.Warn().Str("id", q.call.ID).Err(err).Msg("connection of a caller can't be reset")
		return
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = l.SetLinger(0)
	}
	c.Close()
}

// log writes the log entry for the end of a request.
func (p *Proxy) log(q *request, message string, status int, reason string) {
	e := p.cfg.Log.Info().Str("id", q.call.ID).Int64("ms", p.cfg.Clock.Now().Sub(q.arrived).Milliseconds())
	if q.route != nil {
		e = e.Str("route", q.route.Name).Str("service", q.service)
	}
	if t := p.table.Load(); t != nil {
		e = e.Uint64("policy", t.Policy().Version)
	}
	if q.customer != nil {
		e = e.Str("customer", q.customer.Name)
	}
	if len(q.tried) > 0 {
		e = e.Strs("endpoints", q.tried)
	}
	if q.call.HasTokens {
		e = e.Int("prompt", q.call.PromptTokens).Int("output", q.call.MaxOutputTokens).Int("hint", q.call.OutputTokensHint).Str("last_event", q.lastEventID)
	}
	if q.identity.ID != "" {
		e = e.Str("request", q.identity.ID)
	}
	if len(q.call.PromptParts) > 0 {
		e = e.Strs("parts", q.call.PromptParts)
	}
	if !q.deadline.IsZero() {
		e = e.Int64("deadline_ms", q.deadline.Sub(q.arrived).Milliseconds()).Int64("left_ms", q.deadline.Sub(p.cfg.Clock.Now()).Milliseconds())
	}
	if plan := p.drain.schedule(); plan != nil {
		e = e.Int64("stop_left_ms", plan.End.Sub(p.cfg.Clock.Now()).Milliseconds())
	}
	if status != 0 {
		e = e.Int("status", status)
	}
	e = logResponse(e, q)
	if reason != "" {
		e = e.Str("reason", reason)
	}
	if q.waiting > 0 {
		e = e.Int("waiting", q.waiting).Int("free_slots", q.freeSlots)
	}
	e.Msg(message)
}

// logResponse adds how the end of the latest response was marked, and what followed
// its last whole event. These tell a complete stream from one that was broken off.
func logResponse(e *zerolog.Event, q *request) *zerolog.Event {
	if q.framing == 0 {
		return e
	}
	return e.Stringer("framing", q.framing).Int("partial_event_bytes", q.partialEvent)
}
