package brrollout

import (
	"math"
	"time"
)

// Budget is the rate at which endpoints may read from the weight store, shared
// by the whole fleet. It is a token bucket that holds at most one second's
// bytes, and may go into debt for one load. The zero value is without bounds.
type Budget struct {
	BytesPerSecond float64   `cbor:"bytes_per_second"` // 0 means no bound
	Concurrent     int       `cbor:"concurrent"`       // loads at a time; 0 means no bound
	Debt           float64   `cbor:"debt"`             // bytes that were taken and not yet earned, at At
	At             time.Time `cbor:"at"`
}

// Divide returns the part of b that each of n rollouts may use, so that all of
// them together keep within b. Divide panics if n is below 1.
func (b Budget) Divide(n int) Budget {
	if n < 1 {
		panic("brrollout: budget divided by less than one")
	}
	b.BytesPerSecond /= float64(n)
	b.Debt /= float64(n)
	if b.Concurrent > 0 {
		b.Concurrent = max(1, b.Concurrent/n)
	}
	return b
}

// Take returns b after a load of size bytes that starts at now, and whether the
// load may start. running is the number of loads in progress.
func (b Budget) Take(now time.Time, running int, size int64) (Budget, bool) {
	if b.Concurrent > 0 && running >= b.Concurrent {
		return b, false
	}
	if b.BytesPerSecond <= 0 {
		return b, true
	}
	if !b.At.IsZero() {
		b.Debt = max(-b.BytesPerSecond, b.Debt-now.Sub(b.At).Seconds()*b.BytesPerSecond)
	}
	b.At = now
	if b.Debt > 0 {
		return b, false
	}
	b.Debt += float64(size)
	return b, true
}

// Duration returns the time that n loads of size bytes take at the rate of b.
func (b Budget) Duration(n int, size int64) time.Duration {
	if b.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(n) * float64(size) / b.BytesPerSecond
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}
