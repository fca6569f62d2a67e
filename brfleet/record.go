package brfleet

import (
	"fmt"

	"bramleyroute/brgossip"
	"bramleyroute/brwire"
)

// encode returns the value of a record.
func encode[T any](value T) []byte {
	b, err := brwire.Encode(value)
	if err != nil {
		panic(fmt.Sprintf("brfleet: encode %T: %v", value, err))
	}
	return b
}

// decode returns the value of a record, and whether it can be read. One that can't
// is of a later release.
func decode[T any](f *Fleet, r brgossip.Record) (T, bool) {
	value, err := brwire.Decode[T](r.Value)
	if err != nil {
		f.cfg.Log.Warn().Str("kind", r.Kind()).Str("name", r.Name()).Err(err).Msg("record can't be read")
	}
	return value, err == nil
}
