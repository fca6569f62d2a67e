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

// reset ends an ownership. The next owner recovers queued and bound requests from
// the entries.
func (p *Pool) reset(now time.Time) {
	for _, r := range p.sortedRequests(func(*request) bool { return true }) {
		p.unbind(now, r)
	}
	p.table.DropAdopted()
	p.finished = finishedSet{}
	p.owner, p.releasing, p.releasedSent, p.recovering = false, false, false, false
	p.unackedCount, p.lastGrantNumber = 0, 0
	p.missingBefore, p.restartedBefore = time.Time{}, time.Time{}
	clear(p.unreported)
	clear(p.grantsBeforeJoin)
	clear(p.disconnectedBindings)
}

func (p *Pool) takeOver(now time.Time, ev Takeover) {
	if ev.Epoch <= p.epoch {
		return // delayed notice of an earlier lease
	}
	p.reset(now)
	p.owner, p.epoch, p.takeoverTime, p.recovering = true, ev.Epoch, now, true
	for _, entry := range ev.Entries {
		p.unreported[entry] = true
		p.entryJoined(entry)
	}
	p.endRecovery(now)
}

func (p *Pool) entryJoined(entry string) {
	if p.owner {
		p.grantsBeforeJoin[entry] = p.lastGrantNumber
		p.emit(SendJoin{EntryID: entry, Join: brwire.Join{Pool: p.opts.Name, Epoch: p.epoch}})
	}
}

// recovered restores the requests that an entry holds. Running and ended requests
// are restored first, because a queued request may repeat one of them.
func (p *Pool) recovered(now time.Time, m brwire.JoinReply) {
	grantBeforeJoin, ok := p.grantsBeforeJoin[m.EntryID]
	if !p.owner || m.Epoch != p.epoch || !ok {
		return // a second copy would describe an outdated state
	}
	delete(p.grantsBeforeJoin, m.EntryID)
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
		// The entry holds the request undispatched, so a grant made to this process
		// before the join was lost and is void. A grant to an earlier process may
		// have been used, and submit refuses the ID.
		r := p.requests[s.RequestID]
		if r != nil && r.entry == m.EntryID && r.state == granted && r.grantNumber <= grantBeforeJoin && now.Add(-m.StartedAgo).Before(r.grantedAt) {
			p.unbind(now, r)
		}
		p.submit(now, m.EntryID, s)
	}
	p.orphanPreviousProcess(now, m)
	if p.unreported[m.EntryID] && m.StartedAgo < Retention {
		// An earlier process of the entry may have dispatched IDs created by callers
		// under an earlier owner, and nobody reports these dispatches. Dispatches
		// under this owner are recorded.
		p.restartedBefore = brclock.Later(p.restartedBefore, earlierOf(now.Add(-m.StartedAgo+ClockSkew), p.maxPriorIDTime()))
		p.refuseUnrecorded(now)
	}
	delete(p.unreported, m.EntryID)
	if p.recovering {
		p.endRecovery(now)
	} else if len(p.unreported) == 0 {
		p.missingBefore = time.Time{} // the last missing entry has reported
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
				p.closeRequest(now, r, e.Ran)
			}
			return
		}
		p.unbind(now, r)
		if r.entry != entry {
			p.refuse(r.entry, r.ID, finishedRequest{entry: entry, address: e.Address, ran: e.Ran}.refusal())
		}
	}
	if _, ok := p.finished.byID[key]; !ok {
		p.finished.add(now, key, finishedRequest{entry: entry, endpoint: e.EndpointID, address: e.Address, customer: e.Customer, ran: e.Ran})
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
				r.orphanedUntil = time.Time{}
			}
			return
		}
		p.unbind(now, r)
		if r.entry != entry {
			p.refuse(r.entry, r.ID, brerror.New(brerror.InProgress, "the request is running through another entry").WithEarlierRequest(entry, ref.Address))
		}
	}
	// The request is already running, so invalid counts are limited to their range
	// instead of refused.
	s.Tier = min(brqueue.Tiers, max(1, s.Tier))
	s.PromptTokens, s.MaxTokens = min(maxTokens, max(0, s.PromptTokens)), min(maxTokens, max(0, s.MaxTokens))
	r := p.newRequest(now, entry, key, s)
	r.state = started
	r.grantedAt, r.firstTokenAt = now, now
	r.rollout, r.route.Group = p.rolloutOf(r.Customer)
	r.flight = p.table.Adopt(now, r.route, ref.EndpointID, ref.Address, ref.Version)
	p.grantedCount++
	p.requests[r.ID] = r
	p.sampleOf(r).add(r.flight.Tokens())
}

// endRecovery resumes granting when every entry has reported or the wait is over.
// If entries are missing, queued IDs that they may have dispatched are refused.
func (p *Pool) endRecovery(now time.Time) {
	if len(p.unreported) > 0 && now.Sub(p.takeoverTime) < RecoveryTimeout {
		return
	}
	p.recovering = false
	var missing []string
	for entry := range p.unreported {
		missing = append(missing, entry)
	}
	slices.Sort(missing)
	if len(missing) > 0 {
		p.missingBefore = p.maxPriorIDTime()
	}
	p.refuseUnrecorded(now)
	for _, r := range p.sortedRequests(func(r *request) bool { return r.state == queued }) {
		p.notifyBound(r)
	}
	p.emit(NoteRecovery{Epoch: p.epoch, Missing: missing, UnrecordedBefore: brclock.Later(p.missingBefore, p.restartedBefore)})
}

// maxPriorIDTime returns the latest creation time of an ID that a grant of an
// earlier owner can name.
func (p *Pool) maxPriorIDTime() time.Time {
	return p.takeoverTime.Add(GrantWindow + RecoveryTimeout + ClockSkew)
}

func (p *Pool) refuseUnrecorded(now time.Time) {
	if p.recovering {
		return // another entry may still report the outcome of an ID
	}
	for _, r := range p.sortedRequests(func(r *request) bool { return r.state == queued && p.mayHaveRunUnreported(r.key, r.submit) }) {
		p.unbind(now, r)
		p.refuse(r.entry, r.ID, unknownOutcomeError())
	}
}

// disconnectedBinding is the binding of an ID that was queued for a disconnected
// entry.
type disconnectedBinding struct {
	entry     string
	expiresAt time.Time
}

// entryDisconnected removes the queued requests of a disconnected entry. The entry
// may still be running and may report to the next owner that an ID is bound to it.
// Therefore the ID isn't granted to another entry before this binding has expired.
func (p *Pool) entryDisconnected(now time.Time, entry string) {
	for _, r := range p.sortedRequests(func(r *request) bool { return r.entry == entry && r.state == queued }) {
		p.unbind(now, r)
		if !r.submit.GeneratedID {
			p.disconnectedBindings[r.ID] = disconnectedBinding{entry: entry, expiresAt: now.Add(brwire.BindingHold)}
		}
	}
}

func (p *Pool) expireDisconnectedBindings(now time.Time) {
	for id, b := range p.disconnectedBindings {
		if !now.Before(b.expiresAt) {
			delete(p.disconnectedBindings, id)
		}
	}
}

// entryLost drops an entry's queued requests, which the entry itself keeps. Its
// granted requests may be running. They stay bound and count on their endpoints
// for orphanLimit.
func (p *Pool) entryLost(now time.Time, entry string) {
	delete(p.grantsBeforeJoin, entry)
	p.entryDisconnected(now, entry)
	for _, r := range p.sortedRequests(func(r *request) bool { return r.entry == entry && r.orphanedUntil.IsZero() }) {
		p.orphan(now, r)
	}
}

// orphanPreviousProcess handles requests granted to an earlier process of an entry
// like the requests of a lost entry, because nobody will report their end. A
// process that restarts quickly is never reported as lost.
func (p *Pool) orphanPreviousProcess(now time.Time, m brwire.JoinReply) {
	started := now.Add(-m.StartedAgo)
	for _, r := range p.sortedRequests(func(r *request) bool {
		return r.entry == m.EntryID && r.state != queued && r.orphanedUntil.IsZero() && r.grantedAt.Before(started)
	}) {
		if !slices.ContainsFunc(m.Running, func(ref brwire.RunningRef) bool { return ref.Submit.RequestID == r.ID }) {
			p.orphan(now, r)
		}
	}
}

// orphan limits the time for which a granted request counts on its endpoint to
// orphanLimit.
func (p *Pool) orphan(now time.Time, r *request) {
	p.clearUnacked(r)
	r.orphanedUntil = now.Add(orphanLimit)
}

// checkReleased emits Released once when a released pool has no unacknowledged
// grant.
func (p *Pool) checkReleased() {
	if p.releasing && !p.releasedSent && p.unackedCount == 0 {
		p.releasedSent = true
		p.emit(Released{Epoch: p.epoch})
	}
}

// sortedRequests returns the matching requests in order of their IDs, so that equal
// event sequences give equal effects.
func (p *Pool) sortedRequests(match func(*request) bool) []*request {
	var out []*request
	for _, r := range p.requests {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
