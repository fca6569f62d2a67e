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
type Limiter struct {
	reader io.Reader
	// remaining is the number of bytes that may still be read; negative means no limit.
	remaining int
}

// NewLimiter returns a Limiter that reads from r.
func NewLimiter(r io.Reader) *Limiter { return &Limiter{reader: r, remaining: -1} }

// Read implements io.Reader. It returns ErrTooLarge within a header that is too large.
func (l *Limiter) Read(b []byte) (int, error) {
	if l.remaining < 0 {
		return l.reader.Read(b)
	}
	if l.remaining == 0 {
		return 0, ErrTooLarge
	}
	n, err := l.reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// ReadResponse reads the header of the next response to r that isn't informational. br
// must read from l. Errors include ErrTooLarge.
func (l *Limiter) ReadResponse(br *bufio.Reader, r *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		l.remaining = maxHeadBytes
		response, err := http.ReadResponse(br, r)
		l.remaining = -1
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, ErrTooLarge
}
