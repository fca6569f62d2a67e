package brclock

import (
	"sync"
	"time"
)

// Clock provides the current time and timers.
//
// Times returned by System carry a monotonic clock reading, so differences between
// them are unaffected by steps of the wall clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the current time after d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system. The zero value is ready to use.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Later returns the later of a and b.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Manual is a Clock whose time changes only in calls of Advance. The zero value starts
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

// NewManual returns a Manual clock set to now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the current time of m.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once the clock has advanced by d. If
// d is not positive, the channel receives it immediately.
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

// Advance moves the clock forward by d and sends the new time to the channels that are
// due. Advance panics if d is negative.
func (m *Manual) Advance(d time.Duration) {
	if d < 0 {
		panic("brclock: negative duration")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	remaining := m.waiters[:0]
	for _, w := range m.waiters {
		if w.at.After(m.now) {
			remaining = append(remaining, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = remaining
}
