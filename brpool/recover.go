package brpool

import (
	"cmp"
	"slices"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brqueue"
	"bramleyroute/brwire"
)

// reset ends an ownership: what was queued and bound is recovered by the next
// owner from the entries.
func (p *Pool) reset(now time.Time) {
	for _, r := range p.sorted(func(*request) bool { return true }) {
		p.unbind(now, r)
	}
	p.table.ForgetAdopted()
	p.finished = finishedSet{}
	p.owner, p.releasing, p.released, p.recovering = false, false, false, false
	p.unacked, p.number = 0, 0
	p.missing, p.restarted = time.Time{}, time.Time{}
	clear(p.waiting)
	clear(p.joining)
	clear(p.away)
}

func (p *Pool) takeOver(now time.Time, ev Takeover) {
	if ev.Epoch <= p.epoch {
		return // a late notice of an earlier lease
	}
	p.reset(now)
	p.owner, p.epoch, p.takeover, p.recovering = true, ev.Epoch, now, true
	for _, entry := range ev.Entries {
		p.waiting[entry] = true
		p.entryJoined(entry)
	}
	p.endRecovery(now)
}

func (p *Pool) entryJoined(entry string) {
	if p.owner {
		p.joining[entry] = p.number
		p.emit(SendJoin{EntryID: entry, Join: brwire.Join{Pool: p.opts.Name, Epoch: p.epoch}})
	}
}

// recovered takes over what an entry holds. Running and ended requests come
// first, because a queued one may be a resend of one of them.
func (p *Pool) recovered(now time.Time, m brwire.Recover) {
	joined, ok := p.joining[m.EntryID]
	if !p.owner || m.Epoch != p.epoch || !ok {
		return // a second copy would tell of a state that has passed
	}
	delete(p.joining, m.EntryID)
	for _, e := range m.Ended {
		p.recoverEnded(now, m.EntryID, e)
	}
	for _, id := range m.Finished {
		p.recoverEnded(now, m.EntryID, brwire.EndedRef{RequestID: id})
	}
	for _, ref := range m.Running {
		p.recoverRunning(now, m.EntryID, ref)
	}
	for _, s := range m.Queued {
		// The entry holds it undispatched, so a grant to this process from before
		// the join was lost and is void. One to an earlier process may have been
		// used; submit refuses the id.
		r := p.requests[s.RequestID]
		if r != nil && r.entry == m.EntryID && r.state == granted && r.number <= joined && now.Add(-m.StartedAgo).Before(r.granted) {
			p.unbind(now, r)
		}
		p.submit(now, m.EntryID, s)
	}
	p.orphanEarlier(now, m)
	if p.waiting[m.EntryID] && m.StartedAgo < Retention {
		// Callers' ids from before its start may have been dispatched, under an
		// earlier owner, by the entry's earlier process, which reports to nobody.
		// What it dispatched under this owner is on record.
		p.restarted = brclock.Later(p.restarted, earlier(now.Add(-m.StartedAgo+ClockSkew), p.horizon()))
		p.refuseBeyondRecord(now)
	}
	delete(p.waiting, m.EntryID)
	if p.recovering {
		p.endRecovery(now)
	} else if len(p.waiting) == 0 {
		p.missing = time.Time{} // the last missing entry has reported
	}
}

func (p *Pool) recoverEnded(now time.Time, entry string, e brwire.EndedRef) {
	key, ok := parseID(e.RequestID)
	if !ok {
		return
	}
	if r := p.requests[e.RequestID]; r != nil {
		if r.state != queued {
			if r.entry == entry {
				p.close(now, r, e.Ran)
			}
			return
		}
		p.unbind(now, r)
		if r.entry != entry {
			p.refuse(r.entry, r.ID, ended{entry: entry, address: e.Address, ran: e.Ran}.refusal())
		}
	}
	if _, ok := p.finished.byID[key]; !ok {
		p.finished.add(now, key, ended{entry: entry, endpoint: e.EndpointID, address: e.Address, customer: e.Customer, ran: e.Ran})
	}
}

func (p *Pool) recoverRunning(now time.Time, entry string, ref brwire.RunningRef) {
	s := ref.Submit
	key, ok := parseID(s.RequestID)
	if !ok {
		return
	}
	if _, ended := p.finished.byID[key]; ended {
		return
	}
	if r := p.requests[s.RequestID]; r != nil {
		if r.state != queued {
			if r.entry == entry {
				p.markStarted(now, r)
				r.orphaned = time.Time{}
			}
			return
		}
		p.unbind(now, r)
		if r.entry != entry {
			p.refuse(r.entry, r.ID, brerror.New(brerror.InProgress, "the request runs through another entry").WithRun(entry, ref.Address))
		}
	}
	// It runs whatever its figures are, so they are pulled into their bounds.
	s.Tier = min(brqueue.Tiers, max(1, s.Tier))
	s.PromptTokens, s.MaxTokens = min(maxTokens, max(0, s.PromptTokens)), min(maxTokens, max(0, s.MaxTokens))
	r := p.newRequest(now, entry, key, s)
	r.state = started
	r.granted, r.first = now, now
	r.rollout, r.route.Group = p.rolloutOf(r.Customer)
	r.flight = p.table.Adopt(now, r.route, ref.EndpointID, ref.Address, ref.Version)
	p.live++
	p.requests[r.ID] = r
	p.sampleOf(r).add(r.flight.Tokens())
}

// endRecovery lets the pool grant again when every entry has reported or the
// wait is over. With entries missing, queued ids that one of them may have
// dispatched are refused.
func (p *Pool) endRecovery(now time.Time) {
	if len(p.waiting) > 0 && now.Sub(p.takeover) < RecoverWait {
		return
	}
	p.recovering = false
	var missing []string
	for entry := range p.waiting {
		missing = append(missing, entry)
	}
	slices.Sort(missing)
	if len(missing) > 0 {
		p.missing = p.horizon()
	}
	p.refuseBeyondRecord(now)
	for _, r := range p.sorted(func(r *request) bool { return r.state == queued }) {
		p.tellBound(r)
	}
	p.emit(NoteRecovery{Epoch: p.epoch, Missing: missing, Horizon: brclock.Later(p.missing, p.restarted)})
}

// horizon returns the latest minting time of an id that a grant of an earlier
// owner can name.
func (p *Pool) horizon() time.Time { return p.takeover.Add(GrantWindow + RecoverWait + ClockSkew) }

func (p *Pool) refuseBeyondRecord(now time.Time) {
	if p.recovering {
		return // the report of another entry may still tell what became of an id
	}
	for _, r := range p.sorted(func(r *request) bool { return r.state == queued && p.beyondRecord(r.key, r.submit) }) {
		p.unbind(now, r)
		p.refuse(r.entry, r.ID, unseenOutcome())
	}
}

// absence is an id that was queued for an entry whose connection ended.
type absence struct {
	entry string
	until time.Time
}

// entryAway stops granting to an entry. The entry may be alive and may tell the
// next owner that an id is bound to it, so the id is not given to another entry
// before that has ended.
func (p *Pool) entryAway(now time.Time, entry string) {
	for _, r := range p.sorted(func(r *request) bool { return r.entry == entry && r.state == queued }) {
		p.unbind(now, r)
		if !r.submit.Assigned {
			p.away[r.ID] = absence{entry: entry, until: now.Add(brwire.BindingHold)}
		}
	}
}

func (p *Pool) expireAbsences(now time.Time) {
	for id, a := range p.away {
		if !now.Before(a.until) {
			delete(p.away, id)
		}
	}
}

// entryLost drops an entry's queued requests, which it keeps itself. What it was
// granted may run: it stays bound, and counts on its endpoint for orphanLimit.
func (p *Pool) entryLost(now time.Time, entry string) {
	delete(p.joining, entry)
	p.entryAway(now, entry)
	for _, r := range p.sorted(func(r *request) bool { return r.entry == entry && r.orphaned.IsZero() }) {
		p.orphan(now, r)
	}
}

// orphanEarlier treats what was granted to an earlier process of an entry like
// the requests of a lost entry: nobody will report their end. A process that is
// started again soon enough is never counted as lost.
func (p *Pool) orphanEarlier(now time.Time, m brwire.Recover) {
	started := now.Add(-m.StartedAgo)
	for _, r := range p.sorted(func(r *request) bool {
		return r.entry == m.EntryID && r.state != queued && r.orphaned.IsZero() && r.granted.Before(started)
	}) {
		if !slices.ContainsFunc(m.Running, func(ref brwire.RunningRef) bool { return ref.Submit.RequestID == r.ID }) {
			p.orphan(now, r)
		}
	}
}

// orphan lets a granted request count on its endpoint for orphanLimit.
func (p *Pool) orphan(now time.Time, r *request) {
	p.acknowledged(r)
	r.orphaned = now.Add(orphanLimit)
}

// checkReleased tells once that no grant of a released pool is under way.
func (p *Pool) checkReleased() {
	if p.releasing && !p.released && p.unacked == 0 {
		p.released = true
		p.emit(Released{Epoch: p.epoch})
	}
}

// sorted returns the requests that match in the order of their ids, so that
// equal event lists give equal effects.
func (p *Pool) sorted(match func(*request) bool) []*request {
	var out []*request
	for _, r := range p.requests {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
