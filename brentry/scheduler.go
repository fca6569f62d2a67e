package brentry

import (
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Grant takes a grant of the scheduler. An error means that the grant will not
// be used. For a request that this entry doesn't hold any more, Withdraw or Done
// was called before; after a restart of the entry it was not, so the caller of
// Grant answers unknown_request with a withdraw of its own.
func (e *Entry) Grant(g brwire.Grant) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.registry.held[g.RequestID]
	if h == nil {
		return brerror.New(brerror.UnknownRequest, "no such request here; the grant is not used")
	}
	pool := h.submit.Pool
	if g.Epoch < e.registry.epochs[pool] {
		e.Counters.StaleGrants.Add(1)
		return brerror.New(brerror.NotOwner, "grant of epoch %d, pool %s has joined epoch %d", g.Epoch, pool, e.registry.epochs[pool])
	}
	if h.phase != queued {
		return brerror.New(brerror.InProgress, "request was granted before")
	}
	e.registry.epochs[pool] = g.Epoch
	h.bound = g.Epoch
	h.phase, h.grant, h.expires = granted, g, e.clock.Now().Add(g.Window)
	h.deliver(verdict{grant: g})
	return nil
}

// Bound notes that a queued request's id is bound to this entry, which the next
// owner of its pool is told.
func (e *Entry) Bound(b brwire.IDBound) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h := e.registry.held[b.RequestID]; h != nil && b.Epoch >= e.registry.epochs[h.submit.Pool] {
		h.bound = b.Epoch
	}
}

// Unbind makes the entry rely no more on the bindings of a pool, because the
// scheduler may have given the ids to other entries.
func (e *Entry) Unbind(pool string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.registry.held {
		if h.submit.Pool == pool {
			h.bound = 0
		}
	}
}

// Refuse ends a request that waits for a grant; one of kind not_owner makes the
// entry submit it again. Refusals of an older epoch, and of requests that are not
// waiting, are ignored.
func (e *Entry) Refuse(r brwire.Refuse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.registry.held[r.RequestID]
	if h == nil || h.phase != queued || r.Epoch < e.registry.epochs[h.submit.Pool] {
		return
	}
	err := r.Error
	h.deliver(verdict{err: &err})
}

// Join tells a pool's new owner what this entry holds and has dispatched in the
// retention time. From then on grants of older epochs are refused, and those
// that were not used yet are void: their requests are listed as queued. The
// answer to a Join of an epoch older than the last one has empty lists and the
// newer epoch.
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
		s.Deadline, s.BoundEpoch = h.deadline.Sub(now), h.bound
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
	e.forget(now)
	for _, id := range r.order {
		if d := r.ended[id]; d.pool == j.Pool {
			out.Ended = append(out.Ended, d.ref())
		}
	}
	if e.Record != nil {
		e.Record(Event{At: now, Name: EventJoined, Pool: j.Pool, Epoch: j.Epoch})
	}
	return out
}

// Attach notes a reader of a running request's answer on another connection.
// While there is one, the request is not canceled when its first caller goes.
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
	case h.readers <- struct{}{}:
	default:
	}
}

func (e *Entry) attachedReaders(h *held) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(h.attached)
}
