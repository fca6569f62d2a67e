package brproxy

import (
	"net/http"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"
)

// maxPause limits the pause that an endpoint may ask for, so that a wrong value
// doesn't remove it for good.
const maxPause = 10 * time.Minute

// observeResponse applies what a response to q states about the endpoint itself:
// that it is leaving, that it limits its requests, or that it wants none for some time. A response of
// another endpoint at the address states nothing about it.
func (p *Proxy) observeResponse(q *request, a *attempt, res *brconn.Response) {
	e := a.endpoint
	if p.cfg.Dialect.Misdirected(res) {
		return
	}
	if p.cfg.Dialect.Leaving(res) && p.cfg.OnLeaving != nil {
		p.cfg.OnLeaving(e)
	}
	p.observeLimit(q, a, res)
	if res.Status != http.StatusServiceUnavailable {
		return
	}
	pause, err := brheader.RetryAfter(res.Header, p.cfg.Clock.Now(), maxPause)
	switch {
	case err != nil:
		p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", e.ID).Err(err).Msg("Retry-After of an endpoint ignored")
	case pause > 0:
		p.cfg.Log.Info().Str("id", q.call.ID).Str("endpoint", e.ID).Dur("pause_ms", pause).Msg("endpoint asked for a pause")
		p.ApplyEvent(brplace.EndpointPaused{ID: e.ID, Duration: pause})
		if p.cfg.OnPause != nil {
			p.cfg.OnPause(e, pause, a.relayed)
		}
	}
}

// observeLimit applies what a response to q states about the limit of its endpoint. A
// response that states none lifts an earlier one.
func (p *Proxy) observeLimit(q *request, a *attempt, res *brconn.Response) {
	e := a.endpoint
	rate, stated, err := p.cfg.Dialect.RateLimit(res)
	if err != nil {
		p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", e.ID).Err(err).Msg("limit of an endpoint ignored")
		return
	}
	observed := brplace.LimitObserved{
		ID: e.ID, Born: e.Born, SentAt: a.sentAt, Limit: brlimit.Limit{Limited: stated, Rate: rate},
	}
	p.mu.Lock()
	learned := p.placement.Step(p.cfg.Clock.Now(), observed)
	p.mu.Unlock()
	if len(learned) == 0 {
		return
	}
	p.cfg.Log.Info().Str("id", q.call.ID).Str("endpoint", e.ID).Bool("limited", stated).Float64("limit_per_s", rate).
		Msg("endpoint stated a limit")
	if p.cfg.OnLimit != nil {
		p.cfg.OnLimit(brplace.LimitLearned(observed))
	}
}
