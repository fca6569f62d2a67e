package brproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
)

// next says how a request goes on after a dispatch.
type next uint8

const (
	finished next = iota
	again         // at another endpoint
)

// maxPlain bounds an answer that is held back until it is complete, in bytes. A
// longer one is passed on as it arrives.
const maxPlain = 256 << 10

// flight is one dispatch.
type flight struct {
	id       uint64 // of the placement
	endpoint brplace.Endpoint
	sent     time.Time
	first    time.Time // of the first byte of the answer's body
	last     time.Time // of the newest event
	events   int
	result   brplace.Result // what it says of the endpoint
}

// dispatch sends the request to an endpoint and passes its answer on.
func (p *Proxy) dispatch(ctx context.Context, q *request, id uint64, e brplace.Endpoint) next {
	f := &flight{id: id, endpoint: e, sent: p.cfg.Clock.Now(), result: brplace.Neutral}
	defer p.end(q, f)
	p.stats.Dispatches.Add(1)
	p.countSend(q)
	q.tried = append(q.tried, e.ID)
	watched, silence, done := p.watch(ctx, q)
	defer done()
	x, err := p.cfg.Pool.Send(watched, e.Address, p.outgoing(q, e))
	if err != nil {
		var sent *brconn.SendError
		errors.As(err, &sent)
		q.ran = q.ran || sent.Sent
		if !sent.Sent {
			q.sends--
		}
		f.result = p.sendFailed(ctx, q, f, sent)
		return p.retry(ctx, q, err.Error(), http.StatusBadGateway)
	}
	defer x.Close()
	switch {
	case p.cfg.Dialect.Misdirected(&x.Answer):
		f.result = brplace.Gone
		return p.retry(ctx, q, "misdirected", http.StatusServiceUnavailable)
	case p.cfg.Dialect.NotRun(&x.Answer):
		p.drainBody(x)
		return p.retry(ctx, q, "endpoint_full", http.StatusServiceUnavailable)
	}
	q.ran = true
	if q.route.Stream && x.Answer.Status == http.StatusOK {
		return p.stream(ctx, q, f, x, silence)
	}
	return p.plain(ctx, q, f, x)
}

// countSend counts a dispatch in the service's retry budget.
func (p *Proxy) countSend(q *request) {
	if q.sends == 0 {
		p.mu.Lock()
		p.ledger.CountRequest(q.service)
		p.mu.Unlock()
	}
	q.sends++
}

// end reports the end of a dispatch.
func (p *Proxy) end(q *request, f *flight) {
	ev := brplace.Ended{ID: f.id, Result: f.result}
	if f.events > 1 {
		ev.Pace = f.last.Sub(f.first) / time.Duration(f.events-1)
	}
	p.Place(ev)
	p.cfg.Changed()
	p.judge(q, f)
}

// judge tells what the dispatch says of the endpoint's version.
func (p *Proxy) judge(q *request, f *flight) {
	if p.cfg.Judged == nil || f.result != brplace.Good && f.result != brplace.Failed {
		return
	}
	j := Judgement{Service: q.service, Route: q.route.Name, Version: f.endpoint.Version, Good: f.result == brplace.Good}
	if !f.first.IsZero() {
		expected := expectedBase + time.Duration(q.call.Prompt)*expectedPerToken
		j.Slowness = float64(f.first.Sub(f.sent)) / float64(expected)
	}
	p.cfg.Judged(j)
}

// The time to the first byte that is expected of a request. Only ratios between
// versions depend on it.
const (
	expectedBase     = 20 * time.Millisecond
	expectedPerToken = 25 * time.Microsecond
)

func (p *Proxy) outgoing(q *request, e brplace.Endpoint) brconn.Request {
	p.cfg.Changed()
	d := Dispatch{Endpoint: e.ID, Left: max(time.Millisecond, q.deadline.Sub(p.cfg.Clock.Now())), After: q.lastID}
	if q.customer != nil {
		d.Customer = q.customer.Name
	}
	return brconn.Request{
		ID: q.call.ID, Method: q.in.Method, URI: q.in.RequestURI, Host: q.in.Host,
		Header: p.cfg.Dialect.Outgoing(q.in.Header, d), Body: q.body,
	}
}

// sendFailed returns what a failed send says of the endpoint.
func (p *Proxy) sendFailed(ctx context.Context, q *request, f *flight, err *brconn.SendError) brplace.Result {
	p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", f.endpoint.ID).Str("address", f.endpoint.Address).
		Bool("sent", err.Sent).Err(err).Msg("endpoint gave no answer")
	switch {
	case q.in.Context().Err() != nil:
		return brplace.Neutral
	case ctx.Err() != nil && p.cfg.Clock.Now().Sub(f.sent) < q.route.Objective:
		return brplace.Neutral // there was little time left when it was sent
	case !err.Sent:
		return brplace.Gone
	}
	return brplace.Failed
}

// retry decides whether the request may go to another endpoint, and answers it if
// not. The status is used when an endpoint has had it.
func (p *Proxy) retry(ctx context.Context, q *request, reason string, status int) next {
	mayRepeat := !q.ran || q.route.Repeat != brpolicy.Never
	if ctx.Err() == nil && mayRepeat && q.sends < q.route.Attempts && len(q.tried) < maxTried {
		if q.sends == 0 || p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Str("reason", reason).Int("sends", q.sends).Msg("trying another endpoint")
			return again
		}
		reason = "retry_budget"
	}
	switch {
	case q.in.Context().Err() != nil:
		p.stats.Left.Add(1)
		p.log(q, "caller left", 0, reason)
		panic(http.ErrAbortHandler)
	case q.begun:
		p.abort(q, reason)
	case !q.ran:
		p.refund(q)
		p.refuse(q, http.StatusServiceUnavailable, reason, fullRetryAfter)
	case ctx.Err() != nil:
		p.fail(q, http.StatusGatewayTimeout, reason)
	default:
		p.fail(q, http.StatusBadGateway, reason)
	}
	return finished
}

const (
	// maxTried bounds the endpoints that are tried for one request, dials
	// included.
	maxTried = 3
	// fullRetryAfter is told to a caller whose endpoint turned it away.
	fullRetryAfter = 300 * time.Millisecond
)

func (p *Proxy) takeRetry(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := p.ledger.TakeRetry(q.service)
	if ok {
		p.stats.Retries.Add(1)
	}
	return ok
}

// drainBody reads a short body so that its connection can be kept.
func (p *Proxy) drainBody(x *brconn.Exchange) {
	// A body that can't be read only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxPlain))
}

// plain passes on an answer that isn't a stream once it is complete.
func (p *Proxy) plain(ctx context.Context, q *request, f *flight, x *brconn.Exchange) next {
	body, err := io.ReadAll(io.LimitReader(x, maxPlain))
	if err != nil {
		if ctx.Err() != nil && p.cfg.Clock.Now().Sub(f.sent) < q.route.Objective {
			return p.retry(ctx, q, "deadline", http.StatusGatewayTimeout)
		}
		f.result = brplace.Failed
		return p.retry(ctx, q, "incomplete answer: "+err.Error(), http.StatusBadGateway)
	}
	p.began(f)
	f.result = brplace.Good
	if x.Answer.Status >= http.StatusInternalServerError {
		f.result = brplace.Failed
		if q.route.Repeat == brpolicy.Safe && q.sends < q.route.Attempts && ctx.Err() == nil && p.takeRetry(q) {
			p.cfg.Log.Info().Str("id", q.call.ID).Int("status", x.Answer.Status).Str("endpoint", f.endpoint.ID).
				Msg("endpoint failed; trying another one")
			return again
		}
	}
	if q.begun {
		p.abort(q, "resume refused with status "+strconv.Itoa(x.Answer.Status))
	}
	p.copyHead(q, x, int64(len(body)))
	if len(body) == maxPlain {
		p.copyRest(q, x, body)
	} else if _, err := q.out.Write(body); err != nil {
		p.log(q, "caller left before the answer", x.Answer.Status, err.Error())
		return finished
	}
	p.answered(q, f, x.Answer.Status)
	return finished
}

// copyRest passes on a body that is too long to be held.
func (p *Proxy) copyRest(q *request, x *brconn.Exchange, body []byte) {
	if _, err := q.out.Write(body); err != nil {
		p.abort(q, err.Error())
	}
	if _, err := io.Copy(q.out, x); err != nil {
		p.abort(q, err.Error())
	}
}

// copyHead passes on the head of an answer. A body of maxPlain bytes or more goes
// on with the length that the endpoint stated, if any.
func (p *Proxy) copyHead(q *request, x *brconn.Exchange, length int64) {
	h := q.out.Header()
	for name, values := range brheader.EndToEnd(x.Answer.Header) {
		h[name] = values
	}
	if length >= maxPlain {
		length = x.Answer.Length
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		h.Del("Content-Length")
	}
	q.out.WriteHeader(x.Answer.Status)
	q.begun = true
}

// stream passes on events as they arrive.
func (p *Proxy) stream(ctx context.Context, q *request, f *flight, x *brconn.Exchange, s *silence) next {
	events := brconn.NewEvents(x)
	control := http.NewResponseController(q.out)
	for {
		b, err := events.Next()
		if err != nil && err != io.EOF {
			return p.streamBroken(ctx, q, f, err)
		}
		if len(b) > 0 {
			s.progress()
			p.noteEvents(f, b)
			if !q.begun {
				p.copyHead(q, x, -1)
			}
			if id := brconn.LastID(b); id != "" {
				q.lastID = id
			}
			if _, werr := q.out.Write(b); werr != nil {
				return p.callerLeft(q, werr)
			}
		}
		if err == io.EOF {
			if !q.begun {
				p.copyHead(q, x, -1)
			}
			f.result = brplace.Good
			p.answered(q, f, x.Answer.Status)
			return finished
		}
		if werr := control.Flush(); werr != nil {
			return p.callerLeft(q, werr)
		}
	}
}

func (p *Proxy) callerLeft(q *request, err error) next {
	p.stats.Left.Add(1)
	p.log(q, "caller left during the answer", 0, err.Error())
	panic(http.ErrAbortHandler)
}

// streamBroken decides how a stream goes on that ended early.
func (p *Proxy) streamBroken(ctx context.Context, q *request, f *flight, err error) next {
	if q.in.Context().Err() != nil {
		return p.callerLeft(q, err)
	}
	if ctx.Err() == nil {
		f.result = brplace.Failed
	}
	reason := "stream broke: " + err.Error()
	if q.begun && (q.route.Repeat != brpolicy.Resumable || q.lastID == "") {
		p.abort(q, reason)
	}
	if q.begun {
		p.stats.Resumed.Add(1)
	}
	return p.retry(ctx, q, reason, http.StatusBadGateway)
}

func (p *Proxy) noteEvents(f *flight, b []byte) {
	now := p.cfg.Clock.Now()
	if f.events == 0 {
		p.began(f)
	}
	f.events += countEvents(b)
	f.last = now
}

// began reports the first byte of an answer's body.
func (p *Proxy) began(f *flight) {
	f.first = p.cfg.Clock.Now()
	p.Place(brplace.Began{ID: f.id})
}

// countEvents counts the events of a stream in b.
func countEvents(b []byte) int {
	n := 0
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] == '\n' {
			n++
		}
	}
	return n
}

// answered counts and logs a complete answer.
func (p *Proxy) answered(q *request, f *flight, status int) {
	p.stats.Answered.Add(1)
	first := f.first.Sub(q.arrived)
	if p.cfg.FirstByte != nil {
		p.cfg.FirstByte(first)
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	p.cfg.Log.Info().Str("id", q.call.ID).Str("route", q.route.Name).Str("customer", customer).Str("endpoint", f.endpoint.ID).
		Int("status", status).Int("sends", q.sends).Int64("waited_ms", f.sent.Sub(q.arrived).Milliseconds()).
		Int("prompt", q.call.Prompt).Int("output", q.call.Output).Int("hint", q.call.Hint).Int("events", f.events).
		Int64("first_ms", first.Milliseconds()).Int64("ms", p.cfg.Clock.Now().Sub(q.arrived).Milliseconds()).Msg("answered")
}
