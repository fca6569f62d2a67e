package brevent

import (
	"bytes"
	"errors"

	"bramleyroute/brheader"
)

// ErrBrokenOff reports that a stream ended before it was complete.
var ErrBrokenOff = errors.New("brevent: stream broken off")

// CheckEnd returns ErrBrokenOff if an event stream whose body was read to its end isn't
// complete. events is the number of its whole events, and rest is what follows them.
//
// A stream that ends inside an event isn't complete, however its body is framed: the
// framing may stem from an intermediary. A stream whose end only the end of the
// connection marks must have an event besides: the end of the connection alone doesn't
// tell an empty stream from one whose endpoint crashed before the first event.
func CheckEnd(framing brheader.Framing, events int, rest []byte) error {
	if len(bytes.Trim(rest, "\r\n")) > 0 {
		return ErrBrokenOff
	}
	if framing == brheader.FramedByClose && events == 0 {
		return ErrBrokenOff
	}
	return nil
}
