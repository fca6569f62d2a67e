package brproxy

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
)

// quarantineReason is the reason of a refusal because a part of the prompt is
// quarantined.
const quarantineReason = "prompt_quarantined"

// minProgressEvents is the number of events after which the endpoint of a stream has
// survived the beginning of the request.
const minProgressEvents = 2

// PeerEvidence applies evidence of another daemon on a part that is age old.
func (p *Proxy) PeerEvidence(part string, e brquarantine.Evidence, age time.Duration) {
	p.mu.Lock()
	changes := p.quarantine.Merge(p.cfg.Clock.Now(), part, e, age)
	p.mu.Unlock()
	p.evidenceChanged(changes)
}

// EvidenceLapsed forgets the evidence of a part.
func (p *Proxy) EvidenceLapsed(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.Forget(part)
}

// QuarantinedParts returns the number of quarantined parts.
func (p *Proxy) QuarantinedParts() int { return len(p.Quarantine()) }

// Quarantine returns the evidence of the quarantined parts, by part.
func (p *Proxy) Quarantine() map[string]brquarantine.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.Quarantined()
}

// evidenceChanged publishes new evidence, logs which parts are quarantined or released,
// and wakes the waiting requests if a part is quarantined. p.mu must not be held.
func (p *Proxy) evidenceChanged(changes []brquarantine.Change) {
	if len(changes) == 0 {
		return
	}
	wake := false
	for _, c := range changes {
		switch {
		case c.Quarantined:
			wake = true
			p.cfg.Log.Warn().Str("part", c.Part).Strs("lost", c.Evidence.Lost).Msg("prompt part quarantined")
		case c.Released:
			p.cfg.Log.Info().Str("part", c.Part).Msg("prompt part released")
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

// checkQuarantine reports whether q is held back because of a part of its prompt, and
// for how long.
func (p *Proxy) checkQuarantine(q *request) (time.Duration, bool) {
	if len(q.call.PromptParts) == 0 {
		return 0, false
	}
	p.mu.Lock()
	part, pause := p.quarantine.Check(p.cfg.Clock.Now(), q.call.PromptParts)
	p.mu.Unlock()
	return pause, part != ""
}

// quarantineBegins returns a channel that is closed when a part is quarantined.
func (p *Proxy) quarantineBegins() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantined
}

// beginTrial reports whether a placed request may be sent: a part of its prompt may have
// been quarantined while it waited. If it may, the parts for which this is a trial are
// recorded in a.
func (p *Proxy) beginTrial(q *request, a *attempt) bool {
	if len(q.call.PromptParts) == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if part, _ := p.quarantine.Check(p.cfg.Clock.Now(), q.call.PromptParts); part != "" {
		return false
	}
	a.trials = p.quarantine.Begin(q.call.PromptParts)
	return true
}

// endTrial records the end of the trials of a.
func (p *Proxy) endTrial(a *attempt) {
	if len(a.trials) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quarantine.End(a.trials)
}

// recordProgress records that the endpoint of a has survived the beginning of q.
func (p *Proxy) recordProgress(q *request, a *attempt) {
	if a.progressed {
		return
	}
	a.progressed = true
	if len(q.call.PromptParts) == 0 {
		return
	}
	p.mu.Lock()
	changes := p.quarantine.RunProgressed(p.cfg.Clock.Now(), q.call.PromptParts)
	p.mu.Unlock()
	p.evidenceChanged(changes)
}

// recordLost records that the endpoint of a may have crashed under q: it ended the
// connection before the request made progress.
func (p *Proxy) recordLost(q *request, a *attempt, err error) {
	if a.progressed || len(q.call.PromptParts) == 0 || !endedByPeer(err) {
		return
	}
	p.mu.Lock()
	start := endpointStart(a.endpoint)
	changes := p.quarantine.RunLost(p.cfg.Clock.Now(), q.call.PromptParts, start)
	p.mu.Unlock()
	for _, c := range changes {
		p.cfg.Log.Info().Str("id", q.call.ID).Str("part", c.Part).Str("lost", start).Int("open", c.Evidence.Open()).Msg("prompt part suspected")
	}
	p.evidenceChanged(changes)
}

// endpointStart identifies one start of an endpoint.
func endpointStart(e brplace.Endpoint) string { return fmt.Sprintf("%s.%x", e.ID, e.Born) }

// endedByPeer reports whether err means that the endpoint ended the connection, as
// opposed to a timeout or a cancellation by this daemon.
func endedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, brevent.ErrBrokenOff, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
