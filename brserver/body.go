package brserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// requestBody is the body of a request. A handler may respond without reading it, and
// net/http then waits for a part of the rest, before the response or after it. That ends by
// the read deadline, which stands until the body was read.
type requestBody struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

// withBody returns r with a body whose reading has a deadline. A handler that sets deadlines
// of its own replaces it.
func (c *conn) withBody(r *http.Request, l Limits) (*http.Request, *requestBody) {
	b := &requestBody{ReadCloser: r.Body, conn: c}
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	copied := *r
	copied.Body = b
	return &copied, b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		_ = b.conn.SetReadDeadline(time.Time{}) // as above
	}
	return n, err
}

// end is called when the handler has returned.
func (b *requestBody) end() {
	if !b.ended && !b.conn.interrupted() {
		_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime)) // as above
	}
}
