package brtimeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleyroute/brclock"
)

// Stamp is a timestamp of a hybrid logical clock. Stamps are sent in messages. The
// zero Stamp is before all others.
type Stamp struct {
	Wall    int64  `cbor:"wall"`    // nanoseconds since the Unix epoch
	Logical uint32 `cbor:"logical"` // order among stamps with the same Wall
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Time returns the wall time of s in UTC.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String returns s as text: Wall, a dot and Logical, both in decimal.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Logical), 10)
}

// MarshalText returns the text of s as String does. It never returns an error.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from the text that String returns.
func (s *Stamp) UnmarshalText(text []byte) error {
	wall, logical, ok := strings.Cut(string(text), ".")
	if !ok {
		return fmt.Errorf("brtimeline: stamp %q has no dot", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return fmt.Errorf("brtimeline: stamp %q: %w", text, err)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return fmt.Errorf("brtimeline: stamp %q: %w", text, err)
	}
	s.Wall, s.Logical = w, uint32(l)
	return nil
}

// DefaultMaxDrift is the default for the maximum time by which an accepted stamp may
// be ahead of the wall clock. Request IDs may be created as far ahead.
const DefaultMaxDrift = 2 * time.Second

// Clock is a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone,
// Logical Physical Clocks, OPODIS 2014, figure 5). If event a happened before event
// b, the stamp of a is before that of b. Stamps are at most the maximum drift ahead
// of wall time. A Clock is safe for concurrent use.
type Clock struct {
	source   brclock.Clock
	maxDrift time.Duration

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a Clock over source. A maxDrift of 0 means DefaultMaxDrift.
// NewClock panics if source is nil or maxDrift is negative.
func NewClock(source brclock.Clock, maxDrift time.Duration) *Clock {
	if source == nil {
		panic("brtimeline: source clock is nil")
	}
	if maxDrift < 0 {
		panic("brtimeline: negative maximum drift")
	}
	if maxDrift == 0 {
		maxDrift = DefaultMaxDrift
	}
	return &Clock{source: source, maxDrift: maxDrift}
}

// Now returns a stamp for a local event or for a message to send. The stamp is after
// every stamp that the clock has returned or accepted.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(c.source.Now().UnixNano())
}

// Receive returns a stamp for the receipt of a message with the stamp remote. The
// returned stamp is also after remote. If remote is ahead of the wall clock by more
// than the maximum drift, Receive ignores remote and returns both a stamp and an
// error, so that one wrong clock doesn't advance the clocks of other processes.
func (c *Clock) Receive(remote Stamp) (Stamp, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.source.Now().UnixNano()
	if ahead := time.Duration(remote.Wall - wall); ahead > c.maxDrift {
		return c.advance(wall), fmt.Errorf("brtimeline: stamp %v is %v ahead of the clock, more than %v", remote, ahead, c.maxDrift)
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return c.advance(wall), nil
}

// advance returns the next stamp at the wall time wall. The caller must hold c.mu.
func (c *Clock) advance(wall int64) Stamp {
	switch {
	case wall > c.last.Wall:
		c.last = Stamp{Wall: wall}
	case c.last.Logical == ^uint32(0):
		c.last = Stamp{Wall: c.last.Wall + 1}
	default:
		c.last.Logical++
	}
	return c.last
}
