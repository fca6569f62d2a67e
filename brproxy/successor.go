package brproxy

import (
	"context"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
)

// successor is the next dispatch of a request, which has a placement.
type successor struct {
	placementID uint64
	endpoint    brplace.Endpoint
	conn        *brconn.Conn   // open connection to the endpoint; nil if there is none yet
	result      brplace.Result // of the placement if the request isn't sent
}

// findSuccessor waits for a placement of r, which is the request q, and connects to the
// endpoint. It returns nil if ctx ends first or the placement rejects r, and a successor
// without a connection if the endpoint can't be reached.
func (p *Proxy) findSuccessor(ctx context.Context, q *request, r brplace.Request) *successor {
	id, decision := p.awaitPlacement(ctx, q, r)
	d, ok := decision.(brplace.Dispatch)
	if !ok {
		return nil
	}
	s := &successor{placementID: id, endpoint: d.Endpoint, result: brplace.Inconclusive}
	var err error
	s.conn, err = p.cfg.Pool.Connect(ctx, d.Endpoint.Address)
	if err != nil && ctx.Err() == nil {
		s.result = brplace.WrongAddress
		p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", d.Endpoint.ID).Err(err).Msg("no connection to the next endpoint of a request")
	}
	return s
}

// releaseSuccessor ends the placement of a successor that isn't sent.
func (p *Proxy) releaseSuccessor(s *successor) {
	if s.conn != nil {
		s.conn.Release()
	}
	p.ApplyEvent(brplace.Ended{ID: s.placementID, Result: s.result})
}

// retryAvailable reports whether the retry budget of the service has a retry.
func (p *Proxy) retryAvailable(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.RetryAvailable(q.service)
}
