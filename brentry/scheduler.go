package brentry

import (
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Grant accepts a grant from the scheduler. An error means that the grant will not be
// used. If this entry no longer holds the request, it has called Withdraw or Done for
// it, except before a restart of the entry; the caller of Grant must therefore
// withdraw the request on an error of kind unknown_request.
func (e *Entry) Grant(g brwire.Grant) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.registry.held[g.RequestID]
	if h == nil {
		return brerror.New(brerror.UnknownRequest, "request is not held by this entry; the grant is not used")
	}
	pool := h.submit.Pool
	if g.Epoch < e.registry.epochs[pool] {
		e.Counters.StaleGrants.Add(1)
		return brerror.New(brerror.NotOwner, "grant is of epoch %d, but pool %s is in epoch %d", g.Epoch, pool, e.registry.epochs[pool])
	}
	if h.phase != queued {
		return brerror.New(brerror.InProgress, "request was already granted")
	}
	e.registry.epochs[pool] = g.Epoch
	h.boundEpoch = g.Epoch
	h.phase, h.grant, h.grantExpires = granted, g, e.clock.Now().Add(g.Window)
	h.deliver(decision{grant: g})
	return nil
}

// SetBinding stores the epoch in which the ID of a request was bound to this entry. The
// epoch is reported to the next owner of the pool by Join.
func (e *Entry) SetBinding(b brwire.IDBound) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h := e.registry.held[b.RequestID]; h != nil && b.Epoch >= e.registry.epochs[h.submit.Pool] {
		h.boundEpoch = b.Epoch
	}
}

// ClearBindings clears the bindings of all requests of a pool. It is called when the
// scheduler may have bound their IDs to other entries.
func (e *Entry) ClearBindings(pool string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.registry.held {
		if h.submit.Pool == pool {
			h.boundEpoch = 0
		}
	}
}

// Refuse ends a request that waits for a grant, or submits it again if the error is of
// kind not_owner. It ignores refusals of an older epoch and of requests that aren't
// queued.
func (e *Entry) Refuse(r brwire.Refuse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.registry.held[r.RequestID]
	if h == nil || h.phase != queued || r.Epoch < e.registry.epochs[h.submit.Pool] {
		return
	}
	err := r.Error
	h.deliver(decision{err: &err})
}

// Join returns the requests of a pool that this entry holds, and those that ended
// within the retention time, to the new owner of the pool. It voids the unused grants
// of older epochs, lists their requests as queued, and makes the entry refuse further
// grants of older epochs. If j.Epoch is older than that of an earlier Join, the reply
// has empty lists and the newer epoch.
func (e *Entry) Join(j brwire.Join) brwire.JoinReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, now := &e.registry, e.clock.Now()
	out := brwire.JoinReply{EntryID: e.config.EntryID, Pool: j.Pool, Epoch: max(j.Epoch, r.epochs[j.Pool]),
		StartedAgo: e.startedAgo(now)}
	if j.Epoch < r.epochs[j.Pool] {
		return out
	}
	r.epochs[j.Pool] = j.Epoch
	for _, h := range r.held {
		if h.submit.Pool != j.Pool {
			continue
		}
		s := h.submit
		s.Deadline, s.BoundEpoch = h.deadline.Sub(now), h.boundEpoch
		if h.phase == running {
			out.Running = append(out.Running, brwire.RunningRef{Submit: s, EndpointID: h.grant.EndpointID,
				Address: h.grant.Address, Version: h.grant.Version})
			continue
		}
		if h.phase == granted && h.grant.Epoch < j.Epoch {
			h.phase = queued
		}
		if h.phase == queued {
			out.Queued = append(out.Queued, s)
		}
	}
	e.evictEnded(now)
	for _, id := range r.endedOrder {
		if d := r.ended[id]; d.pool == j.Pool {
			out.Ended = append(out.Ended, d.ref())
		}
	}
	if e.Record != nil {
		e.Record(Event{At: now, Name: EventJoined, Pool: j.Pool, Epoch: j.Epoch})
	}
	return out
}

// ReportLostPaths reports the running requests to whose endpoints the path may be lost to
// the schedulers, so that these don't take their lack of progress for a fault of the
// endpoint. The function lost is called with the address of each endpoint.
func (e *Entry) ReportLostPaths(lost func(address string) bool) {
	if e.PathLost == nil {
		return
	}
	type report struct{ pool, id string }
	var reports []report
	e.mu.Lock()
	for id, h := range e.registry.held {
		if h.phase == running && lost(h.grant.Address) {
			reports = append(reports, report{h.submit.Pool, id})
		}
	}
	e.mu.Unlock()
	for _, r := range reports {
		e.PathLost(r.pool, brwire.PathLost{RequestID: r.id})
	}
}

// Attach adds or removes a reader on another connection of the response to a running
// request. While there is a reader, the request isn't canceled when its first caller
// disconnects.
func (e *Entry) Attach(a brwire.Attach) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.registry.held[a.RequestID]
	if h == nil {
		return
	}
	if a.Attached {
		if h.attached == nil {
			h.attached = map[string]bool{}
		}
		h.attached[a.ReaderID] = true
	} else {
		delete(h.attached, a.ReaderID)
	}
	select {
	case h.readersChanged <- struct{}{}:
	default:
	}
}

// attachedReaders returns the number of readers of h on other connections.
func (e *Entry) attachedReaders(h *heldRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(h.attached)
}
