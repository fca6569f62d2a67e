package brproxy

import (
	"context"
	"errors"

	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
)

// errQuarantined is the cause with which the context of a dispatch is canceled whose
// request is quarantined meanwhile.
var errQuarantined = errors.New("brproxy: request was quarantined while it ran")

// run is a dispatch whose endpoint hasn't survived the beginning of the request yet.
type run struct {
	requestID string // of its brquarantine.Request
	cancel    context.CancelCauseFunc
}

// trackRun returns a context for the dispatch a of q that is canceled with errQuarantined
// if the request is quarantined before it makes progress: it may wait at the endpoint
// still, and would end that too. A trial goes on. The caller must call the returned
// function at the end of the dispatch.
func (p *Proxy) trackRun(ctx context.Context, q *request, a *attempt) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if len(a.trials) == 0 {
		p.mu.Lock()
		p.runs[a] = run{q.identity.ID, cancel}
		p.mu.Unlock()
	}
	return ctx, func() {
		p.mu.Lock()
		delete(p.runs, a)
		p.mu.Unlock()
		if context.Cause(ctx) == errQuarantined {
			a.result = brplace.Inconclusive // not the endpoint's fault
		}
		cancel(context.Canceled)
	}
}

// cancelRuns cancels the runs of a request that is quarantined from now on. Those with a
// quarantined part go on: most of them are of other requests, which may be sound.
func (p *Proxy) cancelRuns(s brquarantine.Subject) {
	if s.Kind != brquarantine.KindRequest {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.requestID == s.ID {
			r.cancel(errQuarantined)
		}
	}
}
