package brconn

import (
	"fmt"
	"io"

	"bramleyroute/brevent"
)

// EventReader reads the body of an event stream in whole events. The bytes are
// returned unchanged.
type EventReader struct {
	exchange *Exchange
	buffer   []byte
	length   int // number of bytes in buffer
	returned int // length of the prefix of buffer returned by the last call of Next
	events   int // number of whole events returned
}

// NewEventReader returns a reader of the events in the body of x.
func NewEventReader(x *Exchange) *EventReader {
	return &EventReader{exchange: x, buffer: make([]byte, bufferBytes)}
}

// maxEventBytes is the maximum size of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// Next returns all whole events that have arrived, and waits until there is at least
// one. The bytes are valid until the next call. At the end of a complete stream it
// returns the events that are left, if any, and io.EOF. At the end of another one the
// error is brevent.ErrBrokenOff. An event larger than maxEventBytes is an error, and one for
// which there is no room ErrBufferFull.
func (e *EventReader) Next() ([]byte, error) {
	e.removeReturned()
	for {
		if e.length == len(e.buffer) {
			if len(e.buffer) >= maxEventBytes {
				return nil, fmt.Errorf("brconn: event of over %d bytes", maxEventBytes)
			}
			if !e.exchange.reserve(len(e.buffer), 2*len(e.buffer)) {
				return nil, ErrBufferFull
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.exchange.Read(e.buffer[e.length:])
		from := max(0, e.length-brevent.MaxSeparatorBytes) // the part before has no end of an event
		e.length += n
		end := brevent.LastEnd(e.buffer[from:e.length])
		if end > 0 {
			end += from
			e.events += brevent.Count(e.buffer[:end])
		}
		if err == io.EOF {
			err = e.checkEnd(end)
		}
		switch {
		case err == io.EOF:
			e.returned = e.length
			return e.buffer[:e.length], io.EOF
		case end > 0:
			e.returned = end
			return e.buffer[:end], nil // the next Read returns the error again
		case err != nil:
			return nil, err
		}
	}
}

// removeReturned removes the events that the last call of Next has returned. A buffer that has
// grown for a large event is replaced by a small one, if the rest fits.
func (e *EventReader) removeReturned() {
	rest := e.buffer[e.returned:e.length]
	if len(e.buffer) > freeBytes && len(rest) < bufferBytes {
		e.exchange.ReleaseBuffer()
		e.buffer = make([]byte, bufferBytes)
	}
	e.length, e.returned = copy(e.buffer, rest), 0
}

// checkEnd returns the error of a stream whose body was read to its end: io.EOF, or
// brevent.ErrBrokenOff. end is the index after the last whole event in the buffer.
func (e *EventReader) checkEnd(end int) error {
	x := e.exchange
	if err := brevent.CheckEnd(x.Response.Framing, e.events, e.buffer[end:e.length]); err != nil {
		x.complete = false
		return err
	}
	return io.EOF
}

// Partial returns the number of bytes read after the last whole event.
func (e *EventReader) Partial() int {
	return e.length - brevent.LastEnd(e.buffer[:e.length])
}
