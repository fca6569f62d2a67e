package brproxy

import (
	"net/http"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brplace"
)

// maxPause limits the pause that an endpoint may ask for, so that a wrong value
// doesn't remove it for good.
const maxPause = 10 * time.Minute

// observeResponse applies what a response to q states about the endpoint e itself:
// that it is leaving, that it limits its requests, or that it wants none for some time. A response of
// another endpoint at the address states nothing about e.
func (p *Proxy) observeResponse(q *request, e brplace.Endpoint, res *brconn.Response) {
	if p.cfg.Dialect.Misdirected(res) {
		return
	}
	if p.cfg.Dialect.Leaving(res) && p.cfg.OnLeaving != nil {
		p.cfg.OnLeaving(e)
	}
	p.observeLimit(q, e, res)
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
	}
}

// observeLimit logs the limit that a response to q states.
func (p *Proxy) observeLimit(q *request, e brplace.Endpoint, res *brconn.Response) {
	rate, stated, err := p.cfg.Dialect.RateLimit(res)
	switch {
	case err != nil:
		p.cfg.Log.Warn().Str("id", q.call.ID).Str("endpoint", e.ID).Err(err).Msg("limit of an endpoint ignored")
	case stated:
		p.cfg.Log.Info().Str("id", q.call.ID).Str("endpoint", e.ID).Float64("limit_per_s", rate).Msg("endpoint named a limit")
	}
}
