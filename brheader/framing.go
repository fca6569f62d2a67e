package brheader

import "net/http"

// Framing says what marks the end of a message body (RFC 9112, section 6).
type Framing uint8

// The values of Framing. The zero value stands for no message.
const (
	FramedByLength Framing = iota + 1 // a stated length, or no body
	FramedByChunks
	FramedByClose // the end of the connection
)

// String returns the name of f for log entries.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunks", "close"}[f]
}

// FramingOf returns the framing of the body of r.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}
