package brheader

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

const (
	// maxHeadBytes is the maximum size in bytes of the status line and header of a
	// response.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of informational responses to a request.
	maxInformational = 8
)

// ErrTooLarge reports that a server sent more than maxHeadBytes before the end of a
// response header, or more than maxInformational informational responses.
var ErrTooLarge = errors.New("brheader: response header is too large")

// Limiter is the reader of a connection on which response headers are limited in size.
// Everything else is read without a limit.
//
// A header ends with the first error of the connection, also a timeout. The parsers of
// net/http take the part of a line before an error for the line and go on reading: the rest
// of the line, if it arrived later, would be parsed as the next one, and that of a status
// line would end the header.
type Limiter struct {
	// WriteError returns the error of writing the request to the connection. It is called
	// at the end of a body that the end of the connection marks; nil means that there was
	// no such error.
	WriteError func() error

	reader io.Reader
	// remaining is the number of bytes that may still be read; negative means no limit.
	remaining int
	err       error // latest error of reader
}

// NewLimiter returns a Limiter that reads from r.
func NewLimiter(r io.Reader) *Limiter { return &Limiter{reader: r, remaining: -1} }

// Read implements io.Reader. It returns ErrTooLarge within a header that is too large.
func (l *Limiter) Read(b []byte) (int, error) {
	if l.remaining < 0 {
		n, err := l.reader.Read(b)
		l.err = err
		return n, err
	}
	if l.err != nil {
		return 0, l.err
	}
	if l.remaining == 0 {
		return 0, ErrTooLarge
	}
	n, err := l.reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	l.err = err
	return n, err
}

// Cause returns the error of the connection in place of err, which a parser that reads from
// l has returned: a parser may report the part of a message before the error as malformed,
// or a reset as the end of the connection. That end is io.ErrUnexpectedEOF, since the parser
// has failed. Cause returns err if the connection had no error.
func (l *Limiter) Cause(err error) error {
	switch {
	case err == nil || l.err == nil:
		return err
	case l.err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return l.err
}

// ReadResponse reads the header of the next response to r that isn't informational. br
// must read from l. Errors include ErrTooLarge and those of Cause.
func (l *Limiter) ReadResponse(br *bufio.Reader, r *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		l.remaining = maxHeadBytes
		response, err := http.ReadResponse(br, r)
		l.remaining = -1
		if err != nil {
			return nil, l.Cause(err)
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			l.limitBody(response)
			return response, nil
		}
	}
	return nil, ErrTooLarge
}
