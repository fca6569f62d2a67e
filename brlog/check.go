package brlog

import (
	"fmt"
	"math"

	"bramleyroute/brwire"
)

// maxIndex is the largest index of an entry in a message, so that sums of an index and a
// number of entries don't overflow.
const maxIndex = math.MaxUint64 / 2

// Check returns an error if no replica can have sent m: entries that aren't consecutive or
// can't be decoded, or a snapshot without data. A State must not receive such a message,
// since it relies on the order of its log. It checks nothing that depends on the log.
func (m Message) Check() error {
	if m.Kind < MessagePreVote || m.Kind > MessageRemoved {
		return fmt.Errorf("brlog: message of unknown kind %d", m.Kind)
	}
	if m.Index > maxIndex || m.Term > maxIndex || m.Commit > maxIndex {
		return fmt.Errorf("brlog: index or term of a message exceeds %d", uint64(maxIndex))
	}
	for i, e := range m.Entries {
		if err := e.check(m.Index + 1 + uint64(i)); err != nil {
			return err
		}
	}
	if m.Kind == MessageSnapshot {
		return m.Chunk.check()
	}
	return nil
}

// Check returns an error if s has entries that aren't consecutive or that this build can't
// use, for example a membership in the form of a later one. A State must not start with it.
func (s StoredState) Check() error {
	for i, e := range s.Entries {
		if err := e.check(s.Entries[0].Index + uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error unless e is a valid entry with the given index.
func (e Entry) check(index uint64) error {
	if e.Index != index {
		return fmt.Errorf("brlog: entry %d follows entry %d", e.Index, index-1)
	}
	switch e.Kind {
	case EntryData, EntryNoop:
		return nil
	case EntryMembership:
		if _, err := brwire.Decode[Membership](e.Data); err != nil {
			return fmt.Errorf("brlog: membership entry %d: %w", e.Index, err)
		}
		return nil
	}
	return fmt.Errorf("brlog: entry %d has unknown kind %d", e.Index, e.Kind)
}

func (c *Chunk) check() error {
	if c == nil {
		return fmt.Errorf("brlog: snapshot message without data")
	}
	if n := uint64(len(c.Data)); n > c.Total || c.Offset > c.Total-n {
		return fmt.Errorf("brlog: %d bytes of a snapshot at offset %d exceed its %d bytes", n, c.Offset, c.Total)
	}
	return nil
}
