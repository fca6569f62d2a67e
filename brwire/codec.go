package brwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the size of the largest message that Decode accepts, in bytes.
// Snapshots are sent in smaller chunks.
const MaxMessage = 4 << 20

// RawMessage is an encoded message whose decoding is deferred.
type RawMessage = cbor.RawMessage

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Encode returns the deterministic CBOR encoding of v.
func Encode[T any](v T) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("brwire: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes the CBOR encoding b of a T. It returns an error if b is longer than
// MaxMessage, is malformed, exceeds the limits of nesting or element count, or has
// trailing bytes.
func Decode[T any](b []byte) (T, error) {
	var v T
	if len(b) > MaxMessage {
		return v, fmt.Errorf("brwire: message of %d bytes exceeds %d", len(b), MaxMessage)
	}
	if err := decMode.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("brwire: decode %T: %w", v, err)
	}
	return v, nil
}

func mustEncMode() cbor.EncMode {
	// Deterministic encoding allows replicas to compare encoded states.
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	opts.TextMarshaler = cbor.TextMarshalerTextString
	m, err := opts.EncMode()
	if err != nil {
		panic("brwire: encoder options: " + err.Error())
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  32,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic("brwire: decoder options: " + err.Error())
	}
	return m
}
