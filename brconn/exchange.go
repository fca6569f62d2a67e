package brconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bramleyroute/brheader"
)

// Request is a request to an endpoint.
type Request struct {
	ID     string // echoed by the endpoint; see Pool.Matches
	Method string
	URI    string // path and query, written to the request line unchanged
	Host   string
	Header http.Header
	Body   []byte
	// BodyRest is the rest of a body that is held in several parts. They aren't changed.
	BodyRest [][]byte
	Conn     *Conn // open connection to use; nil means one of the pool
	// MaySend returns an error if the request must not be sent any more. It is called when
	// the connection is open, right before the first byte is written. It may be nil.
	MaySend func() error
}

// bodyLength returns the length of the whole body in bytes.
func (r *Request) bodyLength() int {
	n := len(r.Body)
	for _, part := range r.BodyRest {
		n += len(part)
	}
	return n
}

// Response is the status line and header of a response from an endpoint.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64 // length of the body in bytes; -1 if unknown
	Framing brheader.Framing
}

// SendError is an error that occurs before the header of a response is read.
type SendError struct {
	// MaybeSent reports whether the request may have reached the endpoint. It is false
	// only if no byte of the request was written.
	MaybeSent bool
	// Relayed reports whether the request was written to a connection through another
	// daemon.
	Relayed bool
	Err     error
}

// Error implements the error interface.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// ErrResponseMismatch reports that a connection delivered a response to another
// request.
var ErrResponseMismatch = errors.New("brconn: response belongs to another request")

const (
	// maxMismatches is the number of responses to other requests that are discarded
	// on a connection before Send fails.
	maxMismatches = 2
	// maxMismatchBytes is the maximum size in bytes of the body of such a response.
	maxMismatchBytes = 256 << 10
	// maxDiscardBytes and discardTimeout limit what Discard reads.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
)

// conn is a pooled connection with its buffers.
type conn struct {
	net     net.Conn
	address string
	limiter *brheader.Limiter
	reader  *bufio.Reader // reads from limiter
	writer  *bufio.Writer
	expires time.Time // time after which an idle connection is not reused
	refused bool      // a response on the connection was a refusal
	unnamed bool      // a refusal on the connection named no request
}

func newConn(n net.Conn, address string) *conn {
	l := brheader.NewLimiter(n)
	return &conn{
		net: n, address: address, limiter: l,
		reader: bufio.NewReaderSize(l, bufferBytes),
		writer: bufio.NewWriterSize(n, bufferBytes),
	}
}

// relay returns the ID of the daemon through which c leads, or "" if it leads directly to
// the endpoint. A relayed connection says so by a method.
func (c *conn) relay() string {
	if r, ok := c.net.(interface{ Relay() string }); ok {
		return r.Relay()
	}
	return ""
}

func (c *conn) relayed() bool { return c.relay() != "" }

// Exchange is a request whose response header has been read. It implements
// io.Reader for the response body. The caller must call Close.
type Exchange struct {
	Response Response
	// Relayed reports whether the connection leads through another daemon.
	Relayed bool

	pool        *Pool
	conn        *conn
	response    *http.Response
	writeResult chan error   // receives the result of writing the request
	stopCancel  func() bool  // stops closing the connection when the context ends
	cause       func() error // returns the cause with which the context ended, or nil
	complete    bool         // the response body was read to its end
	closed      atomic.Bool
	evicted     atomic.Bool // see budget
}

// Send sends a request to the endpoint at address and waits for the response
// header. When ctx ends the connection is closed, which makes the endpoint cancel
// the request. Errors are of type *SendError.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Exchange, error) {
	open := r.Conn
	if open == nil {
		var err error
		if open, err = p.Connect(ctx, address); err != nil {
			return nil, &SendError{Err: err}
		}
	}
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			open.Release()
			return nil, &SendError{Err: err}
		}
	}
	c := open.conn
	x := &Exchange{
		Relayed: c.relayed(), pool: p, conn: c, writeResult: make(chan error, 1),
		cause: func() error { return context.Cause(ctx) },
	}
	c.limiter.WriteError = x.writeError
	x.stopCancel = context.AfterFunc(ctx, func() { c.net.Close() })
	if r.bodyLength() <= bufferBytes {
		x.writeResult <- c.write(r)
	} else {
		// An endpoint may respond before it has read a long body.
		go func() { x.writeResult <- c.write(r) }()
	}
	if err := x.readHead(r); err != nil {
		x.Close()
		if cause := x.cause(); cause != nil {
			err = cause
		}
		return nil, &SendError{MaybeSent: true, Relayed: x.Relayed, Err: fmt.Errorf("brconn: response from %s: %w", address, err)}
	}
	x.heard()
	return x, nil
}

// heard calls Pool.OnDirect for a direct connection.
func (x *Exchange) heard() {
	if x.pool.OnDirect != nil && !x.Relayed {
		x.pool.OnDirect(x.conn.address)
	}
}

// write writes the request line, header and body of a request.
func (c *conn) write(r Request) error {
	fmt.Fprintf(c.writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if n := r.bodyLength(); n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(c.writer, "Content-Length: %d\r\n", n)
	}
	// The bufio.Writer stores the first error, and Flush returns it.
	_ = r.Header.Write(c.writer)
	_, _ = c.writer.WriteString("\r\n")
	_, _ = c.writer.Write(r.Body)
	for _, part := range r.BodyRest {
		_, _ = c.writer.Write(part)
	}
	return c.writer.Flush()
}

// past is a deadline that interrupts a write in progress.
var past = time.Unix(1, 0)

// writeError returns the error of writing the request, whose rest isn't sent any more.
func (x *Exchange) writeError() error {
	// An error means that the connection is closed, which ends the write as well.
	_ = x.conn.net.SetWriteDeadline(past)
	err := <-x.writeResult
	x.writeResult <- err
	return err
}

// readHead reads response headers until one matches the request. It returns
// ErrResponseMismatch after more than maxMismatches mismatches, after one whose body is
// longer than maxMismatchBytes or of unknown length, after a refusal that may be a copy
// of an earlier one, or if the endpoint switches protocols. Errors include
// brheader.ErrTooLarge.
func (x *Exchange) readHead(r Request) error {
	for range maxMismatches + 1 {
		response, err := x.conn.limiter.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return ErrResponseMismatch
		}
		a := Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framing: brheader.FramingOf(response)}
		believed := x.conn.recordRefusal(x.pool, &a)
		if x.pool.Matches == nil || x.pool.Matches(r.ID, &a) {
			if !believed {
				return ErrResponseMismatch
			}
			x.Response, x.response = a, response
			return nil
		}
		if response.ContentLength < 0 || response.ContentLength > maxMismatchBytes {
			return ErrResponseMismatch
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return ErrResponseMismatch
}

// recordRefusal records whether a response on c is a refusal. It returns false for one
// that names no request and may be a copy of an earlier one.
func (c *conn) recordRefusal(p *Pool, res *Response) bool {
	if p.Refusal == nil {
		return true
	}
	refusal, named := p.Refusal(res)
	if !refusal {
		return true
	}
	before := c.refused
	c.refused, c.unnamed = true, c.unnamed || !named
	return named || !before
}

// Read reads the response body. It returns io.EOF only at the end of the body as its
// framing marks it. An EventReader also recognizes an event stream that was broken off.
// After the end of the context of Send, it returns the cause of that end in place of the
// error of the closed connection.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	if n > 0 {
		x.heard()
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		x.complete = true
		return n, io.EOF
	}
	if cause := x.cause(); cause != nil {
		err = fmt.Errorf("brconn: response body: %w", cause)
	} else if x.evicted.Load() {
		err = ErrBufferFull
	}
	return n, err
}

// ReadBody reads the response body up to limit bytes. more says that the body may be longer:
// it has the limit, or the memory for unfinished responses is used up. The rest is read with
// Read then; ReleaseBuffer is called once the caller doesn't hold body any more.
func (x *Exchange) ReadBody(limit int) (body []byte, more bool, err error) {
	body = make([]byte, 0, min(bufferBytes, limit))
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), limit)
			if size == cap(body) || !x.reserve(cap(body), size) {
				return body, true, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := x.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			x.ReleaseBuffer()
		}
		switch err {
		case nil:
		case io.EOF:
			return body, false, nil
		default:
			return body, false, err
		}
	}
}

// Close ends the exchange. It returns the connection to the pool if the exchange is
// complete and the endpoint permits reuse, and closes the connection otherwise.
// Close may be called more than once.
func (x *Exchange) Close() {
	if x.end() {
		x.release()
	}
}

// end ends the exchange and reports whether its connection is still to be released. It
// isn't if the exchange had ended before or its context has closed the connection.
func (x *Exchange) end() bool {
	if x.closed.Swap(true) {
		return false
	}
	x.pool.budget.release(x)
	if !x.stopCancel() {
		x.conn.net.Close()
		return false
	}
	return true
}

// release returns the connection to the pool if it may be reused, and closes it
// otherwise.
func (x *Exchange) release() {
	timeout, keep := x.idleTimeout()
	if !keep {
		x.conn.net.Close()
		return
	}
	x.pool.putIdle(x.conn, timeout)
}

// Discard ends the exchange without its body, and doesn't wait for it. So that the
// connection can be reused, up to maxDiscardBytes of the body are read in the
// background for at most discardTimeout; a longer or slower body closes the connection.
func (x *Exchange) Discard() {
	if !x.end() {
		return
	}
	if n := x.response.ContentLength; n >= 0 && n <= int64(x.conn.reader.Buffered()) {
		x.discardBody()
		return
	}
	x.pool.background.Go(x.discardBody)
}

func (x *Exchange) discardBody() {
	// A failed deadline, read or write shows in idleTimeout, which then closes the
	// connection.
	_ = x.conn.net.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxDiscardBytes+1))
	if x.conn.net.SetReadDeadline(time.Time{}) != nil {
		x.complete = false
	}
	x.release()
}

// idleTimeout returns how long the connection may stay idle in the pool, and
// whether it may be reused at all.
func (x *Exchange) idleTimeout() (time.Duration, bool) {
	if !x.complete || x.response.Close || x.conn.unnamed || x.conn.reader.Buffered() > 0 {
		return 0, false
	}
	select {
	case err := <-x.writeResult:
		if err != nil {
			return 0, false
		}
	default:
		return 0, false // the endpoint responded before it read the body
	}
	timeout := defaultIdleTimeout
	if s, ok := keepAlive(x.Response.Header); ok {
		timeout = s - idleMargin
	}
	return timeout, timeout > 0
}

// keepAlive returns the timeout parameter of a Keep-Alive header, and whether there
// is one.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
