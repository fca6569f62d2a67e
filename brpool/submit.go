package brpool

import (
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brqueue"
	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

const (
	// idleMargin scales the learned time to a first token: a request is refused
	// only when even a third less would be too late.
	idleMargin = 0.7
	// maxTokens bounds a prompt and an answer, 160 times the longest requests in
	// use, so that sums of tokens cannot overflow.
	maxTokens = 1 << 24
	// maxHashes bounds the prefix blocks kept of a request.
	maxHashes = 1024
)

func (p *Pool) submit(now time.Time, entry string, s brwire.Submit) {
	key, ok := parseID(s.RequestID)
	switch {
	case !ok || key.minted().Sub(now) > maxAhead:
		p.refuse(entry, s.RequestID, brerror.New(brerror.InvalidRequest, "not a canonical UUIDv7 of the present").WithField("request_id"))
		return
	case s.Tier < 1 || s.Tier > brqueue.Tiers || s.PromptTokens < 0 || s.MaxTokens < 0:
		p.refuse(entry, s.RequestID, brerror.New(brerror.InvalidRequest, "tier or tokens out of range"))
		return
	case s.PromptTokens > maxTokens || s.MaxTokens > maxTokens:
		p.refuse(entry, s.RequestID, brerror.New(brerror.TooLarge, "more than %d tokens", maxTokens))
		return
	case !p.owner || p.releasing:
		p.refuse(entry, s.RequestID, brerror.New(brerror.NotOwner, "pool %s is not owned here", p.opts.Name))
		return
	}
	if e := p.onRecord(now, entry, key, s); e != nil {
		p.refuse(entry, s.RequestID, e)
		return
	}
	if r := p.requests[s.RequestID]; r != nil {
		if !p.recovering {
			p.tellBound(r) // the entry's own submit came again; the first notice may be lost
		}
		return
	}
	r := p.newRequest(now, entry, key, s)
	idle := p.idle(r)
	if idle > s.Deadline {
		p.refuse(entry, s.RequestID, brerror.New(brerror.DeadlineUnmeetable,
			"the prompt alone takes %v on an idle endpoint", idle.Round(time.Millisecond)).WithRetryAfter(p.retryAfter(s.Tier)))
		return
	}
	r.Deadline = r.deadline.Add(-idle)
	p.load.arrive(s.Tier, r.Tokens)
	p.requests[r.ID] = r
	p.queue.Push(&r.Item)
	p.refuseShed(p.queue.Fit(p.queueLimit), "queue full")
	p.dispatch(now)
	p.shedLate(now, r)
	if p.requests[r.ID] == r && !p.recovering {
		p.tellBound(r)
	}
}

// tellBound tells the entry that it may rely on the binding of a queued id, which
// holds only after the recovery: until then an entry may report that it has
// dispatched the id. Ids that entries made can't be held by two of them.
func (p *Pool) tellBound(r *request) {
	if r.state == queued && !r.submit.Assigned {
		p.emit(SendBound{EntryID: r.entry, Bound: brwire.Bound{RequestID: r.ID, Epoch: p.epoch}})
	}
}

// onRecord returns the refusal of an id that runs, has run or may have run, or
// nil. The entry that holds the id gets none.
func (p *Pool) onRecord(now time.Time, entry string, key requestKey, s brwire.Submit) *brerror.Error {
	if r := p.requests[s.RequestID]; r != nil {
		if r.entry == entry && r.orphaned.IsZero() {
			return nil
		}
		return p.inProgress(r)
	}
	if e, ok := p.finished.byID[key]; ok {
		return e.refusal()
	}
	if a, ok := p.away[s.RequestID]; ok {
		if a.entry != entry && now.Before(a.until) {
			return brerror.New(brerror.NotOwner, "the request waits at entry %s, which is away", a.entry)
		}
		delete(p.away, s.RequestID)
	}
	retention := Retention
	if s.NonIdempotent {
		retention = RetentionNonIdempotent
	}
	if p.finished.tooOld(now, key, retention) {
		return brerror.New(brerror.TooOld, "the id is older than %v and not on record", retention)
	}
	if !p.recovering && p.beyondRecord(key, s) {
		return unseenOutcome()
	}
	return nil
}

// beyondRecord reports whether an entry that did not report at the takeover may
// have dispatched the id.
func (p *Pool) beyondRecord(key requestKey, s brwire.Submit) bool {
	return !s.Assigned && s.Bound == 0 && key.minted().Before(brclock.Later(p.missing, p.restarted))
}

func unseenOutcome() *brerror.Error {
	return brerror.New(brerror.UnknownOutcome, "an entry that may have dispatched the request has not reported since the scheduler changed")
}

func (p *Pool) inProgress(r *request) *brerror.Error {
	address := ""
	if r.flight != nil {
		address = r.flight.Address
	}
	return brerror.New(brerror.InProgress, "the request is held by another entry").WithRun(r.entry, address)
}

func (p *Pool) newRequest(now time.Time, entry string, key requestKey, s brwire.Submit) *request {
	if len(s.PrefixHashes) > maxHashes {
		s.PrefixHashes = s.PrefixHashes[:maxHashes]
	}
	r := &request{key: key, entry: entry, submit: s, deadline: now.Add(s.Deadline)}
	r.route = brroute.Request{
		ID: s.RequestID, Route: s.Route, Tier: s.Tier, PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, PrefixHashes: s.PrefixHashes,
	}
	tokens := 1
	if p.opts.Kind != brwire.KindService {
		r.route.OutputTokens = p.estimator.Expect(s.Customer, s.Route, s.MaxTokens)
		tokens = max(minTokens, r.route.Tokens(p.opts.Kind))
	}
	r.Item = brqueue.Item{ID: s.RequestID, Customer: s.Customer, Tier: s.Tier, Tokens: tokens, Deadline: r.deadline}
	return r
}

// idle returns the least time to the first token of r that is known to be
// needed, 0 when too little was learned.
func (p *Pool) idle(r *request) time.Duration {
	if p.opts.Kind == brwire.KindService {
		return time.Duration(idleMargin * float64(p.table.Idle(1)))
	}
	uncached := r.submit.PromptTokens
	if d := p.table.Idle(uncached); float64(d)*idleMargin > float64(r.submit.Deadline) {
		uncached -= p.table.Warmest(r.route)
	}
	return time.Duration(idleMargin * float64(p.table.Idle(uncached)))
}

// dispatch grants queued requests in their order while endpoints take them. A
// request for which there is no room holds back everything behind it, so a long
// one isn't overtaken for ever.
func (p *Pool) dispatch(now time.Time) {
	if !p.owner || p.recovering || p.releasing {
		p.load.emptied = true // nothing is granted, so this second doesn't show the capacity
		return
	}
	for it := p.queue.Next(); it != nil; it = p.queue.Next() {
		if it.Deadline.Before(now) {
			p.refuseShed(p.queue.Shed(it), "deadline")
			continue
		}
		r := p.requests[it.ID]
		r.rollout, r.route.Group = p.rolloutOf(r.Customer)
		c, ok := p.table.Choose(now, r.route)
		if !ok {
			return
		}
		if now.Add(time.Duration(idleMargin * float64(c.First()))).After(r.deadline) {
			// Even the best endpoint would prefill it for nothing.
			p.refuseShed(p.queue.Shed(it), "no endpoint meets the deadline")
			continue
		}
		p.queue.Pop()
		p.grant(now, r, c)
	}
	p.load.emptied = true
}

func (p *Pool) grant(now time.Time, r *request, c brroute.Choice) {
	r.flight = p.table.Grant(now, r.route, c)
	p.number++
	r.state, r.number, r.granted = granted, p.number, now
	p.unacked++
	p.live++
	p.counters.Granted++
	p.sampleOf(r).add(r.flight.Tokens())
	p.emit(SendGrant{EntryID: r.entry, Grant: brwire.Grant{
		RequestID: r.ID, Epoch: p.epoch, Number: r.number, Window: GrantWindow,
		EndpointID: r.flight.EndpointID, Address: r.flight.Address, Version: r.flight.Version,
	}})
}

// shedLate sheds a request that stayed in the queue when the work ahead of it
// makes it miss its deadline at the measured drain rate.
func (p *Pool) shedLate(now time.Time, r *request) {
	if p.requests[r.ID] != r || r.state != queued || p.recovering {
		return
	}
	rate := p.load.available(r.Tier)
	if rate <= 0 {
		rate = p.serviceRate()
	}
	if rate <= 0 {
		return
	}
	wait := time.Duration(float64(p.queue.Ahead(&r.Item)) / rate * float64(time.Second))
	if now.Add(wait).After(r.Deadline) {
		p.refuseShed(p.queue.Shed(&r.Item), "work ahead exceeds the deadline")
	}
}

// serviceRate returns the calls per second that a plain service ends when all
// its places are taken, by the learned time of a call; 0 when that is unknown.
// It stands in until the drain rate is measured, which takes a second of
// overload, in which a burst would be queued to its deadline. A model's rate
// can't be told from the time of one request, because its batch shares steps.
func (p *Pool) serviceRate() float64 {
	call := p.table.Idle(1)
	if p.opts.Kind != brwire.KindService || call <= 0 {
		return 0
	}
	return float64(p.table.Capacity()) / call.Seconds()
}

// refuseShed refuses requests that the queue gave up, in their order.
func (p *Pool) refuseShed(items []*brqueue.Item, reason string) {
	kind := brerror.Overloaded
	if len(items) > 0 && p.table.Usable() == 0 {
		kind, reason = brerror.EndpointUnavailable, "no endpoint announces itself"
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

// noteShed counts the refusals of one tier at the end of the effects.
func (p *Pool) noteShed(tier int, reason string) {
	p.emit(NoteShed{Tier: tier, Count: p.counters.Shed[tier-1] - p.counters.noted[tier-1], Reason: reason})
	p.counters.noted[tier-1] = p.counters.Shed[tier-1]
}

func (p *Pool) refuse(entry, id string, e *brerror.Error) {
	p.counters.Refused[e.Kind]++
	p.emit(SendRefuse{EntryID: entry, Refuse: brwire.Refuse{RequestID: id, Epoch: p.epoch, Error: *e}})
}
