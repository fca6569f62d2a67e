package brdaemon

import (
	"sync"
	"time"

	"bramleyroute/brwire"
)

const bindingTick = 250 * time.Millisecond

// bindings decides until when the entry may rely on what the scheduler of a pool
// bound to it; see brwire.BindingValid.
type bindings struct {
	mu    sync.Mutex
	until map[string]time.Time // by pool
}

// expired reports whether bindings of a pool have ended, and forgets that.
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

// heard extends the bindings of a pool whose scheduler was heard at a time.
func (b *bindings) heard(at time.Time, pool string) {
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

// tendBindings checks the bindings until the daemon is closed.
func (e *entry) tendBindings() {
	for {
		select {
		case <-e.d.ctx.Done():
			return
		case <-e.d.clock.After(bindingTick):
		}
		for _, o := range e.d.session.present().Owners {
			e.renewBindings(o.Pool, o.Holder)
		}
	}
}

func (e *entry) renewBindings(pool, owner string) {
	e.expireBindings(pool)
	if c := e.d.connTo(owner); c != nil {
		e.bindings.heard(e.d.clock.Now().Add(-c.Silent()), pool)
	}
}

// expireBindings comes before everything that relies on bindings, so that a
// process that stood still doesn't use old ones.
func (e *entry) expireBindings(pool string) {
	if e.bindings.expired(e.d.clock.Now(), pool) {
		e.Unbind(pool)
	}
}

func (e *entry) noteBound(pool string, b brwire.IDBound) {
	if o, ok := e.d.session.present().Owner(pool); ok {
		e.renewBindings(pool, o.Holder)
	}
	if e.bindings.valid(e.d.clock.Now(), pool) {
		e.Bound(b)
	}
}

func (e *entry) join(j brwire.Join) brwire.JoinReply {
	e.expireBindings(j.Pool)
	return e.Join(j)
}
