package brrollout

import (
	"math"
	"time"
)

// Budget is the rate, shared by the whole fleet, at which endpoints may read from
// the weight store. It is a token bucket that holds at most the bytes of one second
// and may go into debt for one load. The zero value imposes no limit.
type Budget struct {
	BytesPerSecond float64   `cbor:"bytes_per_second"` // 0 means no limit
	MaxConcurrent  int       `cbor:"concurrent"`       // concurrent loads; 0 means no limit
	Debt           float64   `cbor:"debt"`             // bytes taken in excess of the rate, as of At; negative for unused bytes
	At             time.Time `cbor:"at"`
}

// Divide returns the share of b that each of n rollouts may use, so that all of
// them together stay within b. It panics if n is less than 1.
func (b Budget) Divide(n int) Budget {
	if n < 1 {
		panic("brrollout: budget divided by a number less than 1")
	}
	b.BytesPerSecond /= float64(n)
	b.Debt /= float64(n)
	if b.MaxConcurrent > 0 {
		b.MaxConcurrent = max(1, b.MaxConcurrent/n)
	}
	return b
}

// Take returns b after a load of size bytes that starts at now, and reports whether
// the load may start. running is the number of loads in progress.
func (b Budget) Take(now time.Time, running int, size int64) (Budget, bool) {
	if b.MaxConcurrent > 0 && running >= b.MaxConcurrent {
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

// Duration returns the time that n loads of size bytes take at the rate of b. It
// is 0 if b has no rate limit.
func (b Budget) Duration(n int, size int64) time.Duration {
	if b.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(n) * float64(size) / b.BytesPerSecond
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}
