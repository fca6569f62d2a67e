package brwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the largest message that Decode accepts, in bytes. A snapshot
// is sent in chunks below this size.
const MaxMessage = 4 << 20

// RawMessage is an encoded message that is decoded later.
type RawMessage = cbor.RawMessage

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Encode returns the CBOR form of v.
func Encode[T any](v T) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("brwire: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode parses the CBOR form of a T. It returns an error when b is longer than
// MaxMessage, is malformed, nests too deeply or has trailing bytes.
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
	// Deterministic output lets two replicas compare state by its bytes.
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
