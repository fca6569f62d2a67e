package brconn

import (
	"errors"
	"sync"
	"time"
)

const (
	// freeBytes is the part of a response that each exchange may hold besides the budget.
	// Usual events and bodies are smaller.
	freeBytes = 16 << 10
	// defaultBufferBytes is the default of Pool.BufferBytes.
	defaultBufferBytes = 4 << 20
)

// ErrBufferFull reports that all unfinished responses together are larger than
// Pool.BufferBytes, and that this one had the largest part.
var ErrBufferFull = errors.New("brconn: unfinished responses are too large")

// evictionTime limits the wait for the end of an exchange that was evicted. One whose caller
// doesn't read takes longer.
const evictionTime = 100 * time.Millisecond

// budget is the memory that the exchanges of a pool hold for responses that aren't complete
// yet. Each response has a limit of its own, but many endpoints may send up to it and never
// end. If the budget is used up, the exchange that holds most is evicted: it is ended, and
// small responses of other endpoints go on.
type budget struct {
	mu       sync.Mutex
	used     int               // in bytes
	ending   int               // part of used that evicted exchanges hold, in bytes
	held     map[*Exchange]int // in bytes
	evicted  uint64            // number of exchanges
	released chan struct{}     // closed when something is released; nil if nobody waits
}

// reserve reserves n bytes more for x, for which it may wait until evicted exchanges have
// ended. It returns false if there is no room and no other exchange holds more than x would.
func (b *budget) reserve(x *Exchange, n int) bool {
	var late <-chan time.Time
	for {
		released, ok := b.tryReserve(x, n)
		if released == nil {
			return ok
		}
		if late == nil {
			late = x.pool.clock().After(evictionTime)
		}
		select {
		case <-released:
		case <-late:
			return false
		}
	}
}

// tryReserve is a try of reserve. It returns a channel if something is about to be released,
// which is closed then.
func (b *budget) tryReserve(x *Exchange, n int) (released <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := x.pool.bufferLimit()
	for b.used-b.ending+n > limit {
		largest := b.largest()
		if largest == nil || largest == x || b.held[largest] <= b.held[x]+n {
			return nil, false
		}
		b.evict(largest)
	}
	switch {
	case x.evicted.Load():
		return nil, false
	case b.used+n > limit:
		if b.released == nil {
			b.released = make(chan struct{})
		}
		return b.released, false
	}
	if b.held == nil {
		b.held = map[*Exchange]int{}
	}
	b.held[x] += n
	b.used += n
	return nil, true
}

// largest returns the exchange that holds most and isn't evicted, or nil if there is none.
func (b *budget) largest() (largest *Exchange) {
	for x, n := range b.held {
		if !x.evicted.Load() && (largest == nil || n > b.held[largest]) {
			largest = x
		}
	}
	return largest
}

// evict makes Read of x return ErrBufferFull.
func (b *budget) evict(x *Exchange) {
	b.ending += b.held[x]
	b.evicted++
	x.evicted.Store(true)
	x.conn.net.Close()
}

// release returns all that x has reserved.
func (b *budget) release(x *Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.held[x]
	if n == 0 {
		return
	}
	delete(b.held, x)
	b.used -= n
	if x.evicted.Load() {
		b.ending -= n
	}
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// reserve reserves room for a buffer of the exchange that grows from one size in bytes to
// another, and reports whether there is any.
func (x *Exchange) reserve(from, to int) bool {
	n := max(to, freeBytes) - max(from, freeBytes)
	return n == 0 || x.pool.budget.reserve(x, n)
}

// ReleaseBuffer tells the pool that the caller doesn't hold the bytes any more that ReadBody
// has returned.
func (x *Exchange) ReleaseBuffer() { x.pool.budget.release(x) }

func (p *Pool) bufferLimit() int {
	if p.BufferBytes > 0 {
		return p.BufferBytes
	}
	return defaultBufferBytes
}
