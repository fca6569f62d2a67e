package brclock

import (
	"sync"
	"time"
)

// Clock tells the time and wakes waiters.
//
// Times returned by the system clock carry Go's monotonic reading, so the
// difference of two of them is unaffected by steps of the wall clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the Clock of the operating system. Its zero value is ready to use.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Manual is a Clock that moves only when it is told to. Its zero value starts
// at the zero time. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a Manual clock that shows now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock was advanced
// by d. A d of zero or less is due at once.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{at: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and wakes the waiters that are due.
// Advance panics if d is negative.
func (m *Manual) Advance(d time.Duration) {
	if d < 0 {
		panic("brclock: negative advance")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.at.After(m.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = kept
}
