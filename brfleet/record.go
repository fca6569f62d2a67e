package brfleet

import (
	"fmt"

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
		f.cfg.Log.Warn().Str("kind", r.Kind()).Str("name", r.Name()).Err(err).Msg("record cannot be decoded")
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
	f.cfg.Log.Warn().Str("key", r.Key[:min(len(r.Key), loggedBytes)]).Err(err).Msg("record dropped")
}
