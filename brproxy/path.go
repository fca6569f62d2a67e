package brproxy

import (
	"errors"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
	"bramleyroute/brtunnel"
)

// pathEvidenceAge is the time before the loss of the path is known within which lost
// connections count as its consequence. The path is known to be lost once two dials have
// failed.
const pathEvidenceAge = 2 * time.Second

// pathState is what the proxy knows of this daemon's direct path to the endpoints.
type pathState struct {
	lost   bool
	backAt time.Time // end of the last loss
	// recent holds the runs that were lost over direct connections within pathEvidenceAge.
	recent []lostRun
}

// lostRun is a run whose connection was ended by its endpoint, as it seemed.
type lostRun struct {
	at       time.Time
	identity brquarantine.Request
	start    string // of the endpoint
}

// PathLost records that this daemon has lost its direct path to the endpoints and reaches
// them through other daemons. Connections that end on the direct path say nothing about
// the endpoints from then on, and what was concluded from those that ended just before is
// taken back.
func (p *Proxy) PathLost() {
	p.mu.Lock()
	now := p.cfg.Clock.Now()
	p.path.lost = true
	var changes []brquarantine.Change
	for _, r := range p.path.recent {
		if now.Sub(r.at) <= pathEvidenceAge {
			changes = append(changes, p.quarantine.RunRetracted(now, r.identity, r.start)...)
		}
	}
	p.path.recent = nil
	p.step(brplace.PathLost{})
	p.mu.Unlock()
	p.evidenceChanged(changes)
	p.cfg.ReportsChanged()
}

// PathBack records that this daemon has its direct path to the endpoints again.
func (p *Proxy) PathBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path.lost, p.path.backAt = false, p.cfg.Clock.Now()
}

// pathFailed reports whether err, the end of the connection of a, is a fault of the path
// rather than of the endpoint. If that isn't known yet, the run is kept until it is. The
// caller must hold p.mu.
func (p *Proxy) pathFailed(q *request, a *attempt, err error) bool {
	switch {
	case errors.Is(err, brtunnel.ErrRelayLost):
		return true
	case a.relayed:
		return false
	case p.path.lost || a.sentAt.Before(p.path.backAt):
		return true
	}
	now := p.cfg.Clock.Now()
	for len(p.path.recent) > 0 && now.Sub(p.path.recent[0].at) > pathEvidenceAge {
		p.path.recent = p.path.recent[1:]
	}
	p.path.recent = append(p.path.recent, lostRun{now, q.identity, endpointStart(a.endpoint)})
	return false
}
