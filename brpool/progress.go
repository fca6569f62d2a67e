package brpool

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

// find returns the request that an entry's message is about, or nil when it is
// not on record or of another entry. Whatever grant it names, a started dispatch
// is a fact; a return must name the grant (returns).
func (p *Pool) find(entry, id string) *request {
	r := p.requests[id]
	if r == nil || r.entry != entry {
		return nil
	}
	return r
}

// returns reports whether a message that returns a grant is about r's grant. A
// late copy about an earlier grant of the same id must not unbind a later one.
func (p *Pool) returns(r *request, epoch, number uint64) bool {
	return r.state != queued && epoch == p.epoch && number != 0 && number == r.number
}

// withdraw takes a queued request out. A granted one stays bound until the
// entry has seen the grant and withdraws it by its number.
func (p *Pool) withdraw(now time.Time, entry string, m brwire.Withdraw) {
	r := p.find(entry, m.RequestID)
	if r == nil || r.state == started || r.state == granted && !p.returns(r, m.Epoch, m.Number) {
		return
	}
	p.unbind(now, r)
}

// unbind takes a request off the record that provably was not dispatched.
func (p *Pool) unbind(now time.Time, r *request) {
	if r.state == queued {
		p.queue.Remove(r.ID)
	} else {
		p.table.Return(now, r.flight)
		p.dropFlight(r)
	}
	delete(p.requests, r.ID)
}

func (p *Pool) start(now time.Time, entry string, m brwire.Started) {
	if r := p.find(entry, m.RequestID); r != nil {
		p.markStarted(now, r)
	}
}

func (p *Pool) markStarted(now time.Time, r *request) {
	if r.state != granted {
		return
	}
	p.acknowledged(r)
	r.state = started
	p.table.Started(now, r.flight)
}

// acknowledged ends the time in which a grant message may be under way.
func (p *Pool) acknowledged(r *request) {
	if r.state == granted && r.orphaned.IsZero() {
		p.unacked--
	}
}

func (p *Pool) firstToken(now time.Time, entry string, m brwire.FirstToken) {
	r := p.find(entry, m.RequestID)
	if r == nil || r.state == queued || !r.first.IsZero() {
		return
	}
	p.markStarted(now, r)
	r.first = now
	p.noteChanges(now, p.table.FirstToken(now, r.flight, m.Elapsed))
	p.judgeFirst(now, r, m.Elapsed)
}

func (p *Pool) done(now time.Time, entry string, m brwire.Done) {
	for _, n := range []*int{&m.PromptTokens, &m.CachedTokens, &m.OutputTokens} {
		*n = min(maxTokens, max(0, *n))
	}
	r := p.find(entry, m.RequestID)
	switch {
	case r == nil:
		p.doneUnknown(now, entry, m)
	case r.state == queued:
		// Only a report that crossed a takeover speaks of a queued request.
		if m.Outcome != brerror.NotRun {
			p.queue.Remove(r.ID)
			delete(p.requests, r.ID)
			p.doneUnknown(now, entry, m)
		}
	case m.Outcome == brerror.NotRun && !m.OK:
		if p.returns(r, m.Epoch, m.Number) {
			p.markReturned(now, r, m)
		}
	default:
		p.markStarted(now, r)
		p.finish(now, r, m)
	}
}

// doneUnknown records an id that another owner granted, so that it isn't granted
// again.
func (p *Pool) doneUnknown(now time.Time, entry string, m brwire.Done) {
	key, ok := parseID(m.RequestID)
	if !ok || !p.owner || m.Outcome == brerror.NotRun && !m.OK || p.requests[m.RequestID] != nil {
		return
	}
	if _, ok := p.finished.byID[key]; !ok {
		p.finished.add(now, key, ended{entry: entry, ran: m.OK || m.Outcome == brerror.Ran})
	}
}

// markReturned unbinds a grant that came back unused. A failed dial counts as a
// failure of the endpoint.
func (p *Pool) markReturned(now time.Time, r *request, m brwire.Done) {
	p.noteChanges(now, p.table.Done(now, r.flight, brroute.Result{Outcome: m.Outcome, Kind: m.Kind}))
	p.dropFlight(r)
	delete(p.requests, r.ID)
}

func (p *Pool) finish(now time.Time, r *request, m brwire.Done) {
	f := r.flight
	p.load.ended += r.Tokens
	p.count(now, r, m)
	p.judgeDone(now, r, m)
	p.noteChanges(now, p.table.Done(now, f, brroute.Result{
		OK: m.OK, Outcome: m.Outcome, Kind: m.Kind, PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens,
		OutputTokens: m.OutputTokens, FirstToken: m.FirstToken, Duration: m.Duration,
	}))
	if m.OK {
		p.estimator.Observe(r.submit.Customer, r.submit.Route, m.OutputTokens)
	}
	p.close(now, r, m.OK || m.Outcome == brerror.Ran)
}

// close moves a request with a flight to the ended ones.
func (p *Pool) close(now time.Time, r *request, ran bool) {
	f := r.flight
	p.table.Return(now, f)
	p.dropFlight(r)
	delete(p.requests, r.ID)
	p.finished.add(now, r.key, ended{entry: r.entry, endpoint: f.EndpointID, address: f.Address, customer: r.submit.Customer, ran: ran})
}

// dropFlight takes the flight from r; the table has ended it already.
func (p *Pool) dropFlight(r *request) {
	p.acknowledged(r)
	p.sampleOf(r).add(-r.flight.Tokens())
	p.live--
	r.flight = nil
}
