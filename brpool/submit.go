package brpool

import (
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brquarantine"
	"bramleyroute/brqueue"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

const (
	// idleTimeFactor is applied to the learned time to the first token. A request
	// is refused only if it would miss its deadline even with 30% less time.
	idleTimeFactor = 0.7
	// maxTokens limits a prompt and a response to 160 times the longest requests in
	// use, so that sums of tokens can't overflow.
	maxTokens = 1 << 24
	// maxHashes limits the prefix blocks stored for a request.
	maxHashes = 1024
)

func (p *Pool) submit(now time.Time, entry string, s brwire.Submit) {
	key, ok := parseID(s.RequestID)
	switch {
	case !ok || key.createdAt().Sub(now) > maxClockLead:
		p.refuse(entry, s.RequestID, brerror.New(brerror.InvalidRequest, "not a canonical UUIDv7 with a current timestamp").WithField("request_id"))
		return
	case s.Tier < 1 || s.Tier > brqueue.Tiers || s.PromptTokens < 0 || s.MaxTokens < 0:
		p.refuse(entry, s.RequestID, brerror.New(brerror.InvalidRequest, "tier or tokens out of range"))
		return
	case s.PromptTokens > maxTokens || s.MaxTokens > maxTokens:
		p.refuse(entry, s.RequestID, brerror.New(brerror.TooLarge, "more than %d tokens", maxTokens))
		return
	case !p.owner || p.releasing:
		p.refuse(entry, s.RequestID, brerror.New(brerror.NotOwner, "this daemon doesn't own pool %s", p.opts.Name))
		return
	}
	if e := p.refusalOf(now, entry, key, s); e != nil {
		p.refuse(entry, s.RequestID, e)
		return
	}
	if r := p.requests[s.RequestID]; r != nil {
		if !p.recovering {
			p.notifyBound(r) // a repeated Submit of the same entry; the first notice may be lost
		}
		return
	}
	r := p.newRequest(now, entry, key, s)
	if p.refuseHeld(now, r) {
		return
	}
	minWait := p.minTimeToFirstToken(r)
	if minWait > s.Deadline {
		p.refuse(entry, s.RequestID, brerror.New(brerror.DeadlineUnmeetable,
			"an idle endpoint needs at least %v", minWait.Round(time.Millisecond)).WithRetryAfter(p.retryAfter(s.Tier)))
		return
	}
	r.Deadline = r.deadline.Add(-minWait)
	p.rates.addArrival(s.Tier, r.Tokens)
	p.requests[r.ID] = r
	p.queue.Push(&r.Item)
	p.refuseShed(p.queue.ShedToLimit(p.queueLimit), "queue full")
	p.dispatch(now)
	p.shedUnmeetable(now, r)
	if p.requests[r.ID] == r && !p.recovering {
		p.notifyBound(r)
	}
}

// notifyBound informs the entry of the binding of a queued ID. The binding holds
// only after the recovery, since until then an entry may report that it has
// dispatched the ID. An ID created by an entry can't be held by two entries.
func (p *Pool) notifyBound(r *request) {
	if r.state == queued && !r.submit.GeneratedID {
		p.emit(SendBound{EntryID: r.entry, Bound: brwire.IDBound{RequestID: r.ID, Epoch: p.epoch}})
	}
}

// refusalOf returns the error for an ID that is running, has run or may have run,
// or nil. It returns nil for the entry that holds the ID.
func (p *Pool) refusalOf(now time.Time, entry string, key requestKey, s brwire.Submit) *brerror.Error {
	if r := p.requests[s.RequestID]; r != nil {
		if r.entry == entry && r.orphanedUntil.IsZero() {
			return nil
		}
		return p.inProgressError(r)
	}
	if e, ok := p.finished.byID[key]; ok {
		return e.refusal()
	}
	if b, ok := p.disconnectedBindings[s.RequestID]; ok {
		if b.entry != entry && now.Before(b.expiresAt) {
			return brerror.New(brerror.NotOwner, "the request is queued at entry %s, which is disconnected", b.entry)
		}
		delete(p.disconnectedBindings, s.RequestID)
	}
	retention := Retention
	if s.NonIdempotent {
		retention = RetentionNonIdempotent
	}
	if p.finished.tooOld(now, key, retention) {
		return brerror.New(brerror.TooOld, "the ID is older than %v and not recorded", retention)
	}
	if !p.recovering && p.mayHaveRunUnreported(key, s) {
		return unknownOutcomeError()
	}
	return nil
}

// mayHaveRunUnreported reports whether the ID may have been dispatched by an entry
// that didn't report at the takeover, or by an earlier process of an entry.
func (p *Pool) mayHaveRunUnreported(key requestKey, s brwire.Submit) bool {
	return !s.GeneratedID && s.BoundEpoch == 0 && key.createdAt().Before(brclock.Later(p.missingBefore, p.restartedBefore))
}

func unknownOutcomeError() *brerror.Error {
	return brerror.New(brerror.UnknownOutcome, "an entry that may have dispatched the request has not reported since the scheduler changed")
}

func (p *Pool) inProgressError(r *request) *brerror.Error {
	address := ""
	if r.flight != nil {
		address = r.flight.Address
	}
	return brerror.New(brerror.InProgress, "the request is held by another entry").WithEarlierRequest(r.entry, address)
}

func (p *Pool) newRequest(now time.Time, entry string, key requestKey, s brwire.Submit) *request {
	if len(s.PrefixHashes) > maxHashes {
		s.PrefixHashes = s.PrefixHashes[:maxHashes]
	}
	r := &request{key: key, entry: entry, submit: s, deadline: now.Add(s.Deadline)}
	r.identity = brquarantine.Request{ID: s.Fingerprint[:min(len(s.Fingerprint), maxFingerprint)]}
	r.route = brroute.Request{
		ID: s.RequestID, Route: s.Route, Tier: s.Tier, PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, PrefixHashes: s.PrefixHashes,
	}
	tokens := 1
	if p.opts.Kind != brwire.KindService {
		r.identity.Parts = promptParts(s)
		r.route.OutputTokens = p.estimator.Estimate(s.Customer, s.Route, s.MaxTokens)
		tokens = max(minTokens, r.route.Tokens(p.opts.Kind))
	}
	r.Item = brqueue.Item{ID: s.RequestID, Customer: s.Customer, Tier: s.Tier, Tokens: tokens, Deadline: r.deadline}
	return r
}

// minTimeToFirstToken returns a lower bound of the time to the first token of r, 0
// without enough observations.
func (p *Pool) minTimeToFirstToken(r *request) time.Duration {
	if p.opts.Kind == brwire.KindService {
		return time.Duration(idleTimeFactor * float64(p.table.MinTimeToFirstToken(1)))
	}
	uncached := r.submit.PromptTokens
	if d := p.table.MinTimeToFirstToken(uncached); float64(d)*idleTimeFactor > float64(r.submit.Deadline) {
		uncached -= p.table.MaxCachedTokens(r.route)
	}
	return time.Duration(idleTimeFactor * float64(p.table.MinTimeToFirstToken(uncached)))
}

// dispatch grants queued requests in order while endpoints accept them. A request
// that fits on no endpoint blocks all requests behind it, so that a long request
// isn't overtaken indefinitely.
func (p *Pool) dispatch(now time.Time) {
	if !p.owner || p.recovering || p.releasing {
		p.rates.queueEmptied = true // no request is granted, so this period doesn't measure the capacity
		return
	}
	for it := p.queue.Next(); it != nil; it = p.queue.Next() {
		if it.Deadline.Before(now) {
			p.refuseShed(p.queue.Shed(it), "deadline")
			continue
		}
		r := p.requests[it.ID]
		if p.refuseHeld(now, r) {
			continue
		}
		if p.table.OnlyEvacuated() {
			p.refuseShed(p.queue.Shed(it), "all endpoints are evacuated")
			continue
		}
		r.rollout, r.route.Group = p.rolloutOf(r.Customer)
		c, ok := p.table.Choose(now, r.route)
		if !ok {
			return
		}
		if now.Add(time.Duration(idleTimeFactor * float64(c.TimeToFirstToken()))).After(r.deadline) {
			// Even the best endpoint would prefill the prompt too late.
			p.refuseShed(p.queue.Shed(it), "no endpoint meets the deadline")
			continue
		}
		p.queue.Pop()
		p.grant(now, r, c)
	}
	p.rates.queueEmptied = true
}

func (p *Pool) grant(now time.Time, r *request, c brroute.Choice) {
	r.flight = p.table.Grant(now, r.route, c)
	// The owner of the pool decides alone, so that it has nobody to tell of a trial.
	r.trials, _ = p.quarantine.Begin(now, r.identity, startOf(r.flight))
	p.lastGrantNumber++
	r.state, r.grantNumber, r.grantedAt = granted, p.lastGrantNumber, now
	p.unackedCount++
	p.grantedCount++
	p.counters.Granted++
	p.sampleOf(r).add(r.flight.Tokens())
	p.emit(SendGrant{EntryID: r.entry, Grant: brwire.Grant{
		RequestID: r.ID, Epoch: p.epoch, Number: r.grantNumber, Window: GrantWindow,
		EndpointID: r.flight.EndpointID, Address: r.flight.Address, Version: r.flight.Version,
	}})
}

// shedUnmeetable sheds a queued request if the work ahead of it makes it miss its
// deadline at the measured drain rate.
func (p *Pool) shedUnmeetable(now time.Time, r *request) {
	if p.requests[r.ID] != r || r.state != queued || p.recovering {
		return
	}
	rate := p.rates.availableRate(r.Tier)
	if rate <= 0 {
		rate = p.estimateServiceRate()
	}
	if perSecond, limited := p.table.RateLimit(); limited {
		// The requests ahead are taken to be as long as r.
		if limit := perSecond * float64(r.Tokens); rate <= 0 || limit < rate {
			rate = limit
		}
	}
	if rate <= 0 {
		return
	}
	wait := time.Duration(float64(p.queue.TokensAhead(&r.Item)) / rate * float64(time.Second))
	if now.Add(wait).After(r.Deadline) {
		p.refuseShed(p.queue.Shed(&r.Item), "work ahead exceeds the deadline")
	}
}

// estimateServiceRate returns the calls per second that a service completes at full
// capacity, from the learned duration of a call. It returns 0 when the duration is
// unknown. It replaces the drain rate until that is measured, which takes one
// second of overload. Without it a burst in that second would be queued until its
// deadline. The rate of a model can't be derived from the duration of one request,
// because the requests of a batch share steps.
func (p *Pool) estimateServiceRate() float64 {
	callTime := p.table.MinTimeToFirstToken(1)
	if p.opts.Kind != brwire.KindService || callTime <= 0 {
		return 0
	}
	return float64(p.table.Capacity()) / callTime.Seconds()
}

// refuseShed refuses requests that were shed from the queue, in order.
func (p *Pool) refuseShed(items []*brqueue.Item, reason string) {
	kind := brerror.Overloaded
	if len(items) > 0 && p.table.UsableCount() == 0 {
		kind, reason = brerror.EndpointUnavailable, "no usable endpoint"
	}
	for i, it := range items {
		r := p.requests[it.ID]
		delete(p.requests, it.ID)
		p.counters.Shed[it.Tier-1]++
		p.refuse(r.entry, r.ID, brerror.New(kind, "%s", reason).WithRetryAfter(p.retryAfter(it.Tier)))
		if i+1 == len(items) || items[i+1].Tier != it.Tier {
			p.noteShed(it.Tier, reason)
		}
	}
}

// noteShed emits the number of requests of one tier that were shed since the last
// note.
func (p *Pool) noteShed(tier int, reason string) {
	p.emit(NoteShed{Tier: tier, Count: p.counters.Shed[tier-1] - p.counters.shedNoted[tier-1], Reason: reason})
	p.counters.shedNoted[tier-1] = p.counters.Shed[tier-1]
}

func (p *Pool) refuse(entry, id string, e *brerror.Error) {
	p.counters.Refused[e.Kind]++
	p.emit(SendRefuse{EntryID: entry, Refuse: brwire.Refuse{RequestID: id, Epoch: p.epoch, Error: *e}})
}
