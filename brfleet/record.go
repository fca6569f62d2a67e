package brfleet

import (
	"fmt"
	"sync"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brwire"
)

// encode encodes the value of a record. It panics if the value cannot be encoded.
func encode[T any](value T) []byte {
	b, err := brwire.Encode(value)
	if err != nil {
		panic(fmt.Sprintf("brfleet: encode %T: %v", value, err))
	}
	return b
}

// decodeChecked decodes the value of a record and reports whether it is valid.
func decodeChecked[T any](f *Fleet, r brgossip.Record, check func(T) error) (T, bool) {
	value, ok := decode[T](f, r)
	if !ok {
		return value, false
	}
	if err := check(value); err != nil {
		f.onDropped(r, err)
		return value, false
	}
	return value, true
}

// decode decodes the value of a record and reports whether it could. A value that
// cannot be decoded comes from a daemon of a later release.
func decode[T any](f *Fleet, r brgossip.Record) (T, bool) {
	value, err := brwire.Decode[T](r.Value)
	if err != nil {
		f.onDropped(r, err)
	}
	return value, err == nil
}

// accept returns an error for a record of an endpoint that names none to use. It would
// replace the record of a sound endpoint under the same ID.
func (f *Fleet) accept(r brgossip.Record) error {
	if r.Kind() != kindEndpoint {
		return nil
	}
	a, err := brwire.Decode[Announcement](r.Value)
	if err != nil {
		return err
	}
	return a.checkRecord(r)
}

// onDropped logs a record that isn't used. Keys that aren't valid may be long.
func (f *Fleet) onDropped(r brgossip.Record, err error) {
	const loggedBytes = 64
	if n := f.dropped.add(f.cfg.Clock.Now()); n > 0 {
		f.cfg.Log.Warn().Str("key", r.Key[:min(len(r.Key), loggedBytes)]).Uint64("records", n).Err(err).Msg("record dropped")
	}
}

// droppedInterval is the shortest interval between two lines on dropped records. Beside a
// build with other records each daemon drops hundreds a second.
const droppedInterval = time.Second

// droppedRecords counts the records that were dropped since the last line on them. The
// zero value has none.
type droppedRecords struct {
	mu       sync.Mutex
	count    uint64
	loggedAt time.Time
}

// add counts a record. It returns the count if a line is due, and 0 otherwise.
func (d *droppedRecords) add(now time.Time) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	if !d.loggedAt.IsZero() && now.Sub(d.loggedAt) < droppedInterval {
		return 0
	}
	n := d.count
	d.count, d.loggedAt = 0, now
	return n
}
