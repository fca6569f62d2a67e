package brproxy

import (
	"context"
	"errors"
	"net/http"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
)

// errSendPanicked is the error of a request whose sending has panicked.
var errSendPanicked = &brconn.SendError{MaybeSent: true, Err: errors.New("brproxy: panic while sending a request")}

// sentRequest is a request that was sent to a successor while the dispatch before it went
// on.
type sentRequest struct {
	end      context.CancelCauseFunc // ends the exchange
	done     chan struct{}           // closed when exchange or err is set
	exchange *brconn.Exchange
	err      error
}

// findSuccessor waits for a placement of r, which is the request q, and connects to the
// endpoint. It returns nil if ctx ends first or the placement rejects r, and an error with
// the ended attempt if the endpoint can't be reached.
func (p *Proxy) findSuccessor(ctx context.Context, q *request, r brplace.Request) (*attempt, error) {
	id, decision := p.awaitPlacement(ctx, q, r)
	d, ok := decision.(brplace.Dispatch)
	if !ok {
		return nil, nil
	}
	a := newAttempt(id, d.Endpoint)
	var err error
	if a.conn, err = p.cfg.Pool.Connect(ctx, d.Endpoint.Address); err == nil {
		return a, nil
	}
	if ctx.Err() == nil {
		a.result = connectFailureResult(err)
		p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", d.Endpoint.ID).Err(err).Msg("no connection to the next endpoint of a request")
	}
	p.endAttempt(q, a)
	return a, err
}

// drop ends the exchange and waits for its end.
func (s *sentRequest) drop() {
	s.end(context.Canceled)
	<-s.done
	if s.exchange != nil {
		s.exchange.Close()
	}
}

// sendAhead sends r, which is the request q, for the attempt a and doesn't wait for the response.
func (p *Proxy) sendAhead(ctx context.Context, q *request, a *attempt, r brconn.Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &sentRequest{end: cancel, done: make(chan struct{})}
	a.sent, a.sentAt = s, p.cfg.Clock.Now()
	p.stats.Dispatches.Add(1)
	go func() {
		defer close(s.done)
		defer p.recoverSearch(q)
		s.err = errSendPanicked // unless Send returns
		s.exchange, s.err = p.cfg.Pool.Send(ctx, a.endpoint.Address, r)
	}()
}

// rejected reports whether the request that was sent ahead for a has failed, was rejected
// or has a response by now that can't replace that of the stalled run, and if so sets the
// result of the attempt.
func (p *Proxy) rejected(ctx context.Context, q *request, a *attempt) bool {
	select {
	case <-a.sent.done:
	default:
		return false
	}
	if ctx.Err() != nil {
		return true // ended by this daemon
	}
	if a.sent.err != nil {
		a.notRun = !p.recordSendFailure(ctx, q, a, a.sent.err)
		return true
	}
	a.relayed = a.sent.exchange.Relayed
	res := &a.sent.exchange.Response
	switch {
	case p.cfg.Dialect.Misdirected(res):
		a.result, a.notRun = brplace.WrongAddress, true
	case p.cfg.Dialect.NotRun(res):
		a.notRun = true
	case res.Status >= http.StatusInternalServerError:
		a.result = brplace.Failed
	case a.continues && !isStream(q.route, res):
		// The response can't be appended to the part that the caller has received.
	default:
		return false
	}
	p.observeResponse(q, a, res)
	a.sent.exchange.Discard()
	return true
}

// send sends the request of the attempt a, unless that was done ahead, and waits for the
// header of the response. The exchange ends when ctx does.
func (p *Proxy) send(ctx context.Context, q *request, a *attempt) (*brconn.Exchange, error) {
	if a.sent == nil {
		return p.cfg.Pool.Send(ctx, a.endpoint.Address, p.outgoing(q, a))
	}
	context.AfterFunc(ctx, func() { a.sent.end(context.Cause(ctx)) })
	<-a.sent.done
	return a.sent.exchange, a.sent.err
}

// dropSuccessor ends a successor whose request isn't needed any more.
func (p *Proxy) dropSuccessor(q *request, a *attempt) {
	a.sent.drop()
	p.endAttempt(q, a)
}

// retryAvailable reports whether the retry budget of the service has a retry.
func (p *Proxy) retryAvailable(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.RetryAvailable(q.service)
}
