package brproxy

import (
	"errors"
	"net/http"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"
)

// MaxPause limits the pause that an endpoint may ask for, so that a wrong value
// doesn't remove it for good.
const MaxPause = 10 * time.Minute

// observeResponse applies what a response to q states about the endpoint itself:
// that it is leaving, that it limits its requests or the rejections that it bears, or that
// it wants no requests for some time. A response of another endpoint at the address states
// nothing about it.
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
	pause, err := brheader.RetryAfter(res.Header, p.cfg.Clock.Now(), MaxPause)
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
	observed := brplace.LimitObserved{
		ID: e.ID, Born: e.Born, SentAt: a.sentAt, Limit: p.statedLimit(q, e, res),
		Rejected: res.Status == http.StatusServiceUnavailable && p.cfg.Dialect.NotRun(res),
	}
	p.mu.Lock()
	effects := p.placement.Step(p.cfg.Clock.Now(), observed)
	p.mu.Unlock()
	for _, effect := range effects {
		learned, ok := effect.(brplace.LimitLearned)
		if !ok {
			continue
		}
		l := learned.Limit
		p.cfg.Log.Info().Str("id", q.call.ID).Str("endpoint", e.ID).Bool("limited", l.Limited).Float64("limit_per_s", l.Rate).
			Bool("brittle", l.Brittle).Int("rejections_per_s", l.RejectionLimit).Bool("rejected", learned.Rejected).
			Msg("endpoint stated a limit")
		if p.cfg.OnLimit != nil {
			p.cfg.OnLimit(learned)
		}
	}
}

// statedLimit returns the limit that a response to q states. A part of it that can't be
// interpreted is logged and stays as it is known.
func (p *Proxy) statedLimit(q *request, e brplace.Endpoint, res *brconn.Response) brlimit.Limit {
	var l brlimit.Limit
	var rateErr, rejectionErr error
	l.Rate, l.Limited, rateErr = p.cfg.Dialect.RateLimit(res)
	l.RejectionLimit, l.Brittle, rejectionErr = p.cfg.Dialect.RejectionLimit(res)
	err := errors.Join(rateErr, rejectionErr)
	if err == nil {
		return l
	}
	p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", e.ID).Err(err).Msg("limit of an endpoint ignored")
	p.mu.Lock()
	known := p.placement.Limit(e.ID, e.Born)
	p.mu.Unlock()
	if rateErr != nil {
		l.Rate, l.Limited = known.Rate, known.Limited
	}
	if rejectionErr != nil {
		l.RejectionLimit, l.Brittle = known.RejectionLimit, known.Brittle
	}
	return l
}
