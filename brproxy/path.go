package brproxy

import (
	"context"
	"errors"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
	"bramleyroute/brtunnel"
)

// pathCheckTimeout limits the check whether an endpoint or the path to it is to blame.
const pathCheckTimeout = time.Second

// pathState is what the proxy knows of this daemon's direct path to the endpoints.
type pathState struct {
	lost   bool
	backAt time.Time // end of the last loss
	// unjudged holds the runs whose connections their endpoints have ended, as it seems,
	// by the address of the endpoint, while the path to it is checked.
	unjudged map[string][]lostRun
}

// lostRun is a run whose connection was ended from the other side.
type lostRun struct {
	requestID  string
	identity   brquarantine.Request
	endpoint   brplace.Endpoint
	progressed bool // before its end
	result     VersionResult
}

// PathLost records that this daemon has lost its direct path to the endpoints and reaches
// them through other daemons. Connections on the direct path say nothing about the
// endpoints from then on.
func (p *Proxy) PathLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path.lost = true
	p.step(brplace.PathLost{})
}

// Unanswered returns the addresses of the endpoints that haven't begun to answer requests
// of this daemon which are older than age.
func (p *Proxy) Unanswered(age time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Unanswered(p.cfg.Clock.Now(), age)
}

// PathBack records that this daemon has its direct path to the endpoints again.
func (p *Proxy) PathBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path.lost, p.path.backAt = false, p.cfg.Clock.Now()
}

// pathFailed reports whether err, the end of the connection of a, is known to be a fault
// of the path rather than of the endpoint.
func (p *Proxy) pathFailed(a *attempt, err error) bool {
	if errors.Is(err, brtunnel.ErrRelayLost) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !a.relayed && (p.path.lost || a.sentAt.Before(p.path.backAt))
}

// checkPath finds out in the background whether the endpoint of a lost run is to blame or
// the path, and records it as lost in the former case.
func (p *Proxy) checkPath(r lostRun) {
	address := r.endpoint.Address
	p.mu.Lock()
	defer p.mu.Unlock()
	_, checking := p.path.unjudged[address]
	p.path.unjudged[address] = append(p.path.unjudged[address], r)
	if !checking {
		p.wg.Go(func() { p.judgePath(address) })
	}
}

// judgePath checks the path to an endpoint and judges its unjudged runs.
func (p *Proxy) judgePath(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
	defer cancel()
	works := p.cfg.PathWorks(ctx, address)
	p.mu.Lock()
	runs := p.path.unjudged[address]
	delete(p.path.unjudged, address)
	p.mu.Unlock()
	p.cfg.Log.Info().Str("address", address).Bool("works", works).Int("runs", len(runs)).Msg("path checked after lost connections")
	if !works {
		return
	}
	for _, r := range runs {
		p.ApplyEvent(brplace.EndpointFailed{ID: r.endpoint.ID})
		p.reportVersionResult(r.result)
		p.recordLostStart(r)
	}
}
