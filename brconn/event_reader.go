package brconn

import (
	"bytes"
	"fmt"
	"io"
)

// EventReader reads the body of an event stream in whole events. The bytes are
// returned unchanged.
type EventReader struct {
	exchange *Exchange
	buffer   []byte
	length   int // number of bytes in buffer
	returned int // length of the prefix of buffer returned by the last call of Next
}

// NewEventReader returns a reader of the events in the body of x.
func NewEventReader(x *Exchange) *EventReader {
	return &EventReader{exchange: x, buffer: make([]byte, bufferBytes)}
}

// maxEventBytes is the maximum size of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// Next returns all complete events that have arrived, and waits until there is at
// least one. The bytes are valid until the next call. At the end of a complete body
// it returns the remaining bytes, if any, and io.EOF. An event larger than
// maxEventBytes is an error.
func (e *EventReader) Next() ([]byte, error) {
	e.length = copy(e.buffer, e.buffer[e.returned:e.length])
	e.returned = 0
	for {
		if e.length == len(e.buffer) {
			if len(e.buffer) >= maxEventBytes {
				return nil, fmt.Errorf("brconn: event of over %d bytes", maxEventBytes)
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.exchange.Read(e.buffer[e.length:])
		from := max(0, e.length-maxSeparatorBytes) // the part before has no end of an event
		e.length += n
		if end := lastEventEnd(e.buffer[from:e.length]); end > 0 && (err == nil || err != io.EOF) {
			end += from
			e.returned = end
			return e.buffer[:end], nil // the next Read returns the error again
		}
		if err != nil {
			e.returned = e.length
			return e.buffer[:e.length], err
		}
	}
}

// Partial returns the number of bytes read after the last whole event.
func (e *EventReader) Partial() int {
	return e.length - lastEventEnd(e.buffer[:e.length])
}

// maxSeparatorBytes is the size in bytes of the longest separator of two events.
const maxSeparatorBytes = 4

// lastEventEnd returns the index after the last complete event in b, or 0.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// LastEventID returns the ID of the last event in b that has one, or the empty string.
func LastEventID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndexByte(bytes.TrimRight(b, "\n"), '\n') + 1
		line := bytes.TrimSpace(b[i:])
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		b = b[:i]
	}
	return ""
}
