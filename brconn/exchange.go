package brconn

import (
	"bufio"
	"bytes"
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
)

// Request is a request to an endpoint.
type Request struct {
	ID     string // that the endpoint echoes
	Method string
	URI    string // path and query as they stand in the request line
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the head of an endpoint's answer.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 when not known
}

// SendError is an error before the head of an answer was read.
type SendError struct {
	// Sent is false when the endpoint certainly got no byte of the request.
	Sent bool
	Err  error
}

// Error says what failed.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ErrForeign says that a connection brought an answer to another request.
var ErrForeign = errors.New("brconn: answer belongs to another request")

// maxForeign is the number of answers to other requests that are passed over
// before a connection is given up.
const maxForeign = 2

type conn struct {
	net     net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	until   time.Time // when it is too old to be used again
}

func newConn(n net.Conn, address string) *conn {
	return &conn{
		net: n, address: address,
		reader: bufio.NewReaderSize(n, bufferBytes),
		writer: bufio.NewWriterSize(n, bufferBytes),
	}
}

// Exchange is a request whose answer has begun. Close must be called.
type Exchange struct {
	Answer Answer

	pool     *Pool
	conn     *conn
	response *http.Response
	written  chan error // gets the outcome of the request's writing
	stop     func() bool
	complete bool
	closed   atomic.Bool
}

// Send sends a request to the endpoint at address and waits for the head of its
// answer. The connection is closed when ctx ends, which tells the endpoint to
// stop. An error is always a *SendError.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Exchange, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &SendError{Err: fmt.Errorf("brconn: connect to %s: %w", address, err)}
	}
	x := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { c.net.Close() })
	if len(r.Body) <= bufferBytes {
		x.written <- c.write(r)
	} else {
		// An endpoint may answer before it has read a long body.
		go func() { x.written <- c.write(r) }()
	}
	if err := x.readHead(r); err != nil {
		x.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Err: fmt.Errorf("brconn: answer of %s: %w", address, err)}
	}
	return x, nil
}

// write writes the request's head and body.
func (c *conn) write(r Request) error {
	fmt.Fprintf(c.writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(c.writer, "Content-Length: %d\r\n", len(r.Body))
	}
	// The writer keeps the first error; Flush returns it.
	_ = r.Header.Write(c.writer)
	_, _ = c.writer.WriteString("\r\n")
	_, _ = c.writer.Write(r.Body)
	return c.writer.Flush()
}

// readHead reads heads until one belongs to the request.
func (x *Exchange) readHead(r Request) error {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		a := Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer has no body
		}
		if x.pool.Matches == nil || x.pool.Matches(r.ID, &a) {
			x.Answer, x.response = a, response
			return nil
		}
		if response.ContentLength < 0 {
			return ErrForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return ErrForeign
}

// Read reads the answer's body. It returns io.EOF only at the end of a complete
// body.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the exchange is complete
// and the endpoint didn't ask to close it. Close may be called more than once.
func (x *Exchange) Close() {
	if x.closed.Swap(true) {
		return
	}
	idle, keep := x.idle()
	if !x.stop() || !keep {
		x.conn.net.Close()
		return
	}
	x.pool.put(x.conn, idle)
}

// idle returns how long the connection may be kept, and whether it may.
func (x *Exchange) idle() (time.Duration, bool) {
	if !x.complete || x.response.Close || x.conn.reader.Buffered() > 0 {
		return 0, false
	}
	select {
	case err := <-x.written:
		if err != nil {
			return 0, false
		}
	default:
		return 0, false // the endpoint answered before it read the body
	}
	idle := defaultIdle
	if s, ok := keepAlive(x.Answer.Header); ok {
		idle = s - idleMargin
	}
	return idle, idle > 0
}

// keepAlive returns the timeout of a Keep-Alive header.
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

// Events splits the body of an event stream. Each call returns the complete
// events that have arrived, as they stand, and the id of the last of them.
type Events struct {
	exchange *Exchange
	buffer   []byte
	filled   int
	sent     int
}

// NewEvents returns a splitter of x's body.
func NewEvents(x *Exchange) *Events { return &Events{exchange: x, buffer: make([]byte, bufferBytes)} }

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Next returns the next complete events. The bytes are valid until the next call.
// At the end of a complete body it returns io.EOF, with the bytes after the last
// complete event, if any.
func (e *Events) Next() ([]byte, error) {
	e.filled = copy(e.buffer, e.buffer[e.sent:e.filled])
	e.sent = 0
	for {
		if e.filled == len(e.buffer) {
			if len(e.buffer) >= maxEvent {
				return nil, fmt.Errorf("brconn: event of over %d bytes", maxEvent)
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.exchange.Read(e.buffer[e.filled:])
		e.filled += n
		if end := lastEvent(e.buffer[:e.filled]); end > 0 && (err == nil || err != io.EOF) {
			e.sent = end
			return e.buffer[:end], nil // an error comes back at the next read
		}
		if err != nil {
			e.sent = e.filled
			return e.buffer[:e.filled], err
		}
	}
}

// lastEvent returns the end of the last complete event in b, or 0.
func lastEvent(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// LastID returns the id of the last event in b that has one, or "".
func LastID(b []byte) string {
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
