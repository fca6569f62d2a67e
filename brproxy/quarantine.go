package brproxy

import (
	"fmt"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
)

// quarantineReason is the reason of a refusal because the request or a part of its prompt
// is quarantined.
const quarantineReason = "quarantined"

// minProgressEvents is the number of events after which the endpoint of a stream has
// survived the beginning of the request.
const minProgressEvents = 2

// PeerEvidence applies evidence of another daemon on a subject that is age old.
func (p *Proxy) PeerEvidence(subject brquarantine.Subject, e brquarantine.Evidence, age time.Duration) {
	p.mu.Lock()
	changes := p.quarantine.Merge(p.cfg.Clock.Now(), subject, e, age)
	p.mu.Unlock()
	p.evidenceChanged(changes)
}

// EvidenceLapsed forgets the evidence on a subject.
func (p *Proxy) EvidenceLapsed(subject brquarantine.Subject) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Forget(subject)
}

// Quarantine returns the evidence on the quarantined subjects.
func (p *Proxy) Quarantine() map[brquarantine.Subject]brquarantine.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Quarantined()
}

// evidenceChanged publishes new evidence, logs what is quarantined or released, and wakes
// the waiting requests if something is quarantined. p.mu must not be held.
func (p *Proxy) evidenceChanged(changes []brquarantine.Change) {
	if len(changes) == 0 {
		return
	}
	wake := false
	for _, c := range changes {
		switch {
		case c.Quarantined:
			wake = true
			p.cancelRuns(c.Subject)
			p.cfg.Log.Warn().Stringer("subject", c.Subject).Strs("lost", c.Evidence.Lost).Msg("quarantined")
		case c.Released:
			p.cfg.Log.Info().Stringer("subject", c.Subject).Msg("quarantine ended")
		}
	}
	if wake {
		p.mu.Lock()
		close(p.quarantined)
		p.quarantined = make(chan struct{})
		p.mu.Unlock()
	}
	if p.cfg.OnEvidence != nil {
		p.cfg.OnEvidence(changes)
	}
}

// checkQuarantine reports whether q is held back, and for how long.
func (p *Proxy) checkQuarantine(q *request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, pause, held := p.quarantine.Check(p.cfg.Clock.Now(), q.identity)
	return pause, held
}

// mustEndSuccessor reports whether the successor a of q, which was sent already, must not go
// on, and for how long q is held back: it ends for the same reasons as a run in cancelRuns.
func (p *Proxy) mustEndSuccessor(q *request, a *attempt) (time.Duration, bool) {
	if len(a.trials) > 0 {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, pause, held := p.quarantine.Check(p.cfg.Clock.Now(), brquarantine.Request{ID: q.identity.ID})
	return pause, held
}

// quarantineBegins returns a channel that is closed when something is quarantined.
func (p *Proxy) quarantineBegins() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantined
}

// beginTrial reports whether a placed request may be sent: it may have been quarantined
// while it waited. If it may, the subjects for which this is a trial are recorded in a.
func (p *Proxy) beginTrial(q *request, a *attempt) bool {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	_, _, held := p.quarantine.Check(now, q.identity)
	var changes []brquarantine.Change
	if !held {
		a.trials, changes = p.quarantine.Begin(now, q.identity, endpointStart(a.endpoint))
	}
	p.mu.Unlock()
	p.evidenceChanged(changes)
	return !held
}

// endTrial records the end of the trials of a.
func (p *Proxy) endTrial(a *attempt) {
	if len(a.trials) == 0 {
		return
	}
	p.mu.Lock()
	changes := p.quarantine.End(p.cfg.Clock.Now(), a.trials, endpointStart(a.endpoint), a.progressed || a.lost)
	p.mu.Unlock()
	p.evidenceChanged(changes)
}

// recordProgress records that the endpoint of a has survived the beginning of q.
func (p *Proxy) recordProgress(q *request, a *attempt) {
	if a.progressed {
		return
	}
	a.progressed = true
	p.mu.Lock()
	delete(p.runs, a)
	changes := p.quarantine.RunProgressed(p.cfg.Clock.Now(), q.identity)
	p.mu.Unlock()
	p.evidenceChanged(changes)
}

// recordLost records that the endpoint of a may have crashed under q: it ended the
// connection. If the path is to blame, the end says nothing about the endpoint; where that
// isn't known it is checked first.
func (p *Proxy) recordLost(q *request, a *attempt, err error) {
	switch {
	case p.pathFailed(a, err):
		a.result = brplace.Inconclusive
		return
	case !brevent.EndedByPeer(err):
		return
	}
	r := lostRun{
		requestID: q.call.ID, identity: q.identity, endpoint: a.endpoint, progressed: a.progressed,
		result: p.versionResult(q, a),
	}
	if p.cfg.PathWorks != nil && !a.relayed && len(a.trials) == 0 {
		a.result = brplace.Inconclusive
		p.checkPath(r)
		return
	}
	a.lost = !a.progressed
	p.recordLostStart(r)
}

// recordLostStart records that an endpoint was lost under a request, unless that had made
// progress.
func (p *Proxy) recordLostStart(r lostRun) {
	if r.progressed {
		return
	}
	start := endpointStart(r.endpoint)
	p.mu.Lock()
	changes := p.quarantine.RunLost(p.cfg.Clock.Now(), r.identity, start)
	p.mu.Unlock()
	for _, c := range changes {
		p.cfg.Log.Info().Str("id", r.requestID).Stringer("subject", c.Subject).Str("lost", start).Int("open", c.Evidence.Open()).Msg("suspected")
	}
	p.evidenceChanged(changes)
}

// endpointStart identifies one start of an endpoint.
func endpointStart(e brplace.Endpoint) string { return fmt.Sprintf("%s.%x", e.ID, e.Born) }
