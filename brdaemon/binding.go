package brdaemon

import (
	"sync"
	"time"

	"bramleyroute/brwire"
)

const bindingCheckInterval = 250 * time.Millisecond

// bindings tracks until when the entry may rely on the IDs that the scheduler
// of a pool has bound to it; see brwire.BindingValid.
type bindings struct {
	mu    sync.Mutex
	until map[string]time.Time // by pool
}

// expired reports whether the bindings of a pool have expired, and removes them
// if so.
func (b *bindings) expired(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, ok := b.until[pool]
	if !ok || !now.After(u) {
		return false
	}
	delete(b.until, pool)
	return true
}

// extend extends the bindings of a pool to brwire.BindingValid after the last
// contact with its scheduler.
func (b *bindings) extend(at time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	if u := at.Add(brwire.BindingValid); u.After(b.until[pool]) {
		b.until[pool] = u
	}
}

func (b *bindings) valid(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[pool])
}

// maintainBindings renews and expires the bindings until the daemon is closed.
func (e *entry) maintainBindings() {
	for {
		select {
		case <-e.daemon.ctx.Done():
			return
		case <-e.daemon.clock.After(bindingCheckInterval):
		}
		for _, o := range e.daemon.session.currentView().Owners {
			e.renewBindings(o.Pool, o.Holder)
		}
	}
}

func (e *entry) renewBindings(pool, owner string) {
	e.expireBindings(pool)
	if c := e.daemon.connTo(owner); c != nil {
		e.bindings.extend(e.daemon.clock.Now().Add(-c.SinceLastFrame()), pool)
	}
}

// expireBindings drops the bindings of a pool if they have expired. It is
// called before each use of bindings, so that a process that was suspended
// doesn't use old ones.
func (e *entry) expireBindings(pool string) {
	if e.bindings.expired(e.daemon.clock.Now(), pool) {
		e.ClearBindings(pool)
	}
}

func (e *entry) handleIDBound(pool string, b brwire.IDBound) {
	if o, ok := e.daemon.session.currentView().Owner(pool); ok {
		e.renewBindings(pool, o.Holder)
	}
	if e.bindings.valid(e.daemon.clock.Now(), pool) {
		e.SetBinding(b)
	}
}

func (e *entry) join(j brwire.Join) brwire.JoinReply {
	e.expireBindings(j.Pool)
	return e.Join(j)
}
