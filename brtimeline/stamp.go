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

// Stamp is a time of a hybrid logical clock. Stamps travel in messages; the
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

// String returns the text of s: nanoseconds, a dot and the logical part.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Logical), 10)
}

// MarshalText returns the text of s.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from its text.
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

// DefaultMaxDrift is the largest lead of another process's stamp over the own
// wall clock that is accepted without a setting. Request ids may be minted as
// far ahead.
const DefaultMaxDrift = 2 * time.Second

// Clock is a hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone,
// Logical Physical Clocks, OPODIS 2014, figure 5). If event a can have caused
// event b, the stamp of a is before that of b, and stamps stay within the
// largest accepted drift of wall time. It is safe for concurrent use.
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
		panic("brtimeline: nil clock")
	}
	if maxDrift < 0 {
		panic("brtimeline: negative drift")
	}
	if maxDrift == 0 {
		maxDrift = DefaultMaxDrift
	}
	return &Clock{source: source, maxDrift: maxDrift}
}

// Now returns a stamp for a local event or for the sending of a message. It is
// after every stamp that the clock has returned or accepted.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(c.source.Now().UnixNano())
}

// Receive returns a stamp for the receipt of a message that carried remote. It
// is after remote as well. If remote is ahead of the wall clock by more than the
// largest accepted drift, Receive ignores it and also returns an error, so that
// one wrong clock doesn't move the others.
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

// advance returns the next stamp at wall. The caller holds mu.
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
