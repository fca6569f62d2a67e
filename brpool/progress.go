package brpool

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

// lookup returns the request that an entry's message refers to, or nil when the
// request isn't known or belongs to another entry. A started dispatch counts
// regardless of the grant that the message names. A message that returns a grant
// must also pass matchesGrant.
func (p *Pool) lookup(entry, id string) *request {
	r := p.requests[id]
	if r == nil || r.entry != entry {
		return nil
	}
	return r
}

// matchesGrant reports whether a message that returns a grant names r's grant. A
// late copy for an earlier grant of the same ID must not unbind a later grant.
func (p *Pool) matchesGrant(r *request, epoch, number uint64) bool {
	return r.state != queued && epoch == p.epoch && number != 0 && number == r.grantNumber
}

// withdraw removes a queued request. A granted request stays bound until the entry
// has received the grant and withdraws it by its number.
func (p *Pool) withdraw(now time.Time, entry string, m brwire.Withdraw) {
	r := p.lookup(entry, m.RequestID)
	if r == nil || r.state == started || r.state == granted && !p.matchesGrant(r, m.Epoch, m.Number) {
		return
	}
	p.unbind(now, r)
}

// unbind removes a request that was certainly not dispatched.
func (p *Pool) unbind(now time.Time, r *request) {
	if r.state == queued {
		p.queue.Remove(r.ID)
	} else {
		p.table.Return(now, r.flight)
		p.clearFlight(now, r)
	}
	delete(p.requests, r.ID)
}

func (p *Pool) start(now time.Time, entry string, m brwire.Started) {
	if r := p.lookup(entry, m.RequestID); r != nil {
		p.markStarted(now, r)
	}
}

func (p *Pool) markStarted(now time.Time, r *request) {
	if r.state != granted {
		return
	}
	p.clearUnacked(r)
	r.state = started
	p.table.Started(now, r.flight)
}

// clearUnacked removes r from the grants that may not have reached their entry.
func (p *Pool) clearUnacked(r *request) {
	if r.state == granted && r.orphanedUntil.IsZero() {
		p.unackedCount--
	}
}

func (p *Pool) pathLost(now time.Time, entry string, m brwire.PathLost) {
	r := p.lookup(entry, m.RequestID)
	if r == nil || r.state == queued {
		return
	}
	p.markStarted(now, r)
	r.pathLost = true
	p.table.PathLost(now, r.flight)
}

func (p *Pool) firstToken(now time.Time, entry string, m brwire.FirstToken) {
	r := p.lookup(entry, m.RequestID)
	if r == nil || r.state == queued || !r.firstTokenAt.IsZero() {
		return
	}
	p.markStarted(now, r)
	r.firstTokenAt = now
	p.noteChanges(now, p.table.FirstToken(now, r.flight, m.Elapsed))
	p.observeFirstToken(now, r, m.Elapsed)
}

func (p *Pool) done(now time.Time, entry string, m brwire.Done) {
	for _, n := range []*int{&m.PromptTokens, &m.CachedTokens, &m.OutputTokens} {
		*n = min(maxTokens, max(0, *n))
	}
	r := p.lookup(entry, m.RequestID)
	switch {
	case r == nil:
		p.recordUnknownDone(now, entry, m)
	case r.state == queued:
		// A Done for a queued request is possible only if a takeover came in between.
		if m.Outcome != brerror.NotRun {
			p.queue.Remove(r.ID)
			delete(p.requests, r.ID)
			p.recordUnknownDone(now, entry, m)
		}
	case m.Outcome == brerror.NotRun && !m.OK:
		if p.matchesGrant(r, m.Epoch, m.Number) {
			p.returnGrant(now, r, m)
		}
	default:
		p.markStarted(now, r)
		p.finish(now, r, m)
	}
}

// recordUnknownDone records an ID that another owner granted, so that it isn't
// granted again.
func (p *Pool) recordUnknownDone(now time.Time, entry string, m brwire.Done) {
	key, ok := parseID(m.RequestID)
	if !ok || !p.owner || m.Outcome == brerror.NotRun && !m.OK || p.requests[m.RequestID] != nil {
		return
	}
	if _, ok := p.finished.byID[key]; !ok {
		p.finished.add(now, key, finishedRequest{entry: entry, ran: m.OK || m.Outcome == brerror.Ran})
	}
}

// returnGrant unbinds a grant that was returned unused. A failed dial counts as a
// failure of the endpoint unless the path may have failed.
func (p *Pool) returnGrant(now time.Time, r *request, m brwire.Done) {
	p.noteChanges(now, p.table.Done(now, r.flight, brroute.Result{Outcome: m.Outcome, Kind: m.Kind, PathFailed: m.PathFailed}))
	p.clearFlight(now, r)
	delete(p.requests, r.ID)
}

func (p *Pool) finish(now time.Time, r *request, m brwire.Done) {
	f := r.flight
	p.rates.endedTokens += r.Tokens
	p.countDone(now, r, m)
	p.observeDone(now, r, m)
	p.observeLoss(now, r, m)
	p.noteChanges(now, p.table.Done(now, f, brroute.Result{
		OK: m.OK, Outcome: m.Outcome, Kind: m.Kind, PathFailed: m.PathFailed, PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens,
		OutputTokens: m.OutputTokens, FirstToken: m.FirstToken, Duration: m.Duration,
	}))
	if m.OK {
		p.estimator.Observe(r.submit.Customer, r.submit.Route, m.OutputTokens)
	}
	p.closeRequest(now, r, m.OK || m.Outcome == brerror.Ran)
}

// closeRequest moves a request with a flight to the finished requests.
func (p *Pool) closeRequest(now time.Time, r *request, ran bool) {
	f := r.flight
	p.table.Return(now, f)
	p.clearFlight(now, r)
	delete(p.requests, r.ID)
	p.finished.add(now, r.key, finishedRequest{entry: r.entry, endpoint: f.EndpointID, address: f.Address, customer: r.submit.Customer, ran: ran})
}

// clearFlight removes the flight from r. The table must have ended it.
func (p *Pool) clearFlight(now time.Time, r *request) {
	p.clearUnacked(r)
	p.sampleOf(r).add(-r.flight.Tokens())
	p.grantedCount--
	p.quarantine.End(now, r.trials, startOf(r.flight), r.conclusive)
	r.flight, r.trials = nil, nil
}
