package brserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleyroute/brbuffer"
)

// lingerTime is the time for which a connection is read on after a rejection, so that the
// caller gets the response: data that is unread at the close would reset the connection.
const lingerTime = 500 * time.Millisecond

// conn is a connection of a caller. Its Read is called by one goroutine of net/http at a
// time, and closes the connection if State decides so.
type conn struct {
	net.Conn
	server *Server

	accepted time.Time

	mu       sync.Mutex
	state    State
	requests int // number of requests passed to the handler
	handling bool
	reason   closeReason // empty until it is known
	endPhase Phase       // phase at the time of reason
	closed   bool
	hijacked bool

	header       *brbuffer.Holder // memory of the header; nil for a usual one
	readDeadline atomic.Int64     // set by net/http or by a handler, in Unix nanoseconds
}

// closeReason is the reason for the close of a connection, for the log.
type closeReason string

const (
	reasonCaller    closeReason = "caller"     // closed by the caller
	reasonError     closeReason = "read error" // broken
	reasonIdle      closeReason = "idle timeout"
	reasonStop      closeReason = "stop"
	reasonTimeout   closeReason = "header timeout"
	reasonTooLarge  closeReason = "header too large"
	reasonResponse  closeReason = "response"  // by the handler, or announced in the response
	reasonMalformed closeReason = "malformed" // net/http rejects the request
	reasonNoRoom    closeReason = "no room"   // another connection or request needs its place
)

// Read reads from the connection. Between two requests it returns io.EOF once the
// connection is to be closed and nothing has arrived.
func (c *conn) Read(b []byte) (int, error) {
	for {
		wait, reading := c.beginRead()
		if !reading {
			n, err := c.readBody(b)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // net/http interrupts reads by a deadline
				c.setReason(readReason(err))
			}
			return n, err
		}
		start := c.server.cfg.Clock.Now()
		n, err := 0, os.ErrDeadlineExceeded
		if wait > 0 {
			n, err = c.Conn.Read(b)
		}
		waited := c.server.cfg.Clock.Now().Sub(start)
		verdict := Continue
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			verdict = c.onSilence(waited)
			waited = 0 // it is counted
			n, err = c.poll(b, verdict == CloseIdle)
		}
		if n > 0 {
			if verdict = c.onData(n, waited); verdict == Continue {
				verdict = c.reserveHeader(n)
			}
		}
		switch {
		case n > 0 && verdict == Continue:
			return n, nil
		case n > 0 || errors.Is(err, syscall.EAGAIN):
			if verdict != Continue {
				c.end(verdict)
				return 0, io.EOF
			}
		default:
			c.setReason(readReason(err))
			return n, err
		}
	}
}

// maxInterrupt is the latest deadline that stands for an interrupt rather than for a time.
var maxInterrupt = time.Unix(1, 0).UnixNano()

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	nanos := int64(0)
	if !t.IsZero() {
		nanos = t.UnixNano()
	}
	c.readDeadline.Store(nanos)
	return c.Conn.SetReadDeadline(t)
}

// readBody reads while a request is in progress. After a deadline it returns what has
// arrived: a process that was suspended sees the deadline before the bytes that came in time.
func (c *conn) readBody(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.readDeadline.Load() <= maxInterrupt {
		return n, err
	}
	if n, err = c.poll(b, false); errors.Is(err, syscall.EAGAIN) {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// headerCost is the memory that a byte of a header takes: in the buffer that it is read into,
// and in its fields.
const headerCost = 2

// reserveHeader reserves memory for n further bytes of a request header. A usual header is a
// part of the cost of its connection.
func (c *conn) reserveHeader(n int) Verdict {
	c.mu.Lock()
	reading, holder := c.state.Phase() == Reading && c.state.headerBytes > readAhead, c.header
	if reading && holder == nil && c.server.cfg.Buffers != nil {
		holder = c.server.cfg.Buffers.Open(c.press)
		c.header = holder
	}
	c.mu.Unlock()
	if !reading || holder == nil || holder.Reserve(headerCost*n) == nil {
		return Continue
	}
	return RejectNoRoom
}

// releaseHeader releases the memory of the header.
func (c *conn) releaseHeader() {
	c.mu.Lock()
	holder := c.header
	c.header = nil
	c.mu.Unlock()
	if holder != nil {
		holder.Release()
	}
}

// press makes the connection give way to another one, unless a request is in progress.
func (c *conn) press() {
	c.mu.Lock()
	c.state = c.state.WithPressure()
	c.mu.Unlock()
	c.interrupt()
}

// beginRead sets the read deadline by the state and returns the time until then. It
// returns false while a request is in progress: then net/http sets the deadlines.
func (c *conn) beginRead() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase() == InProgress {
		return 0, false
	}
	wait := c.state.Wait(c.server.cfg.Clock.Now(), c.server.limits())
	// An error means that the connection is closed, which the read reports.
	_ = c.Conn.SetReadDeadline(time.Now().Add(wait))
	return wait, true
}

// beginRequest records that the header of a request was read completely.
func (c *conn) beginRequest(now time.Time, l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = c.state.WithRequest(now, l)
	// The deadline of the header, or of an interrupt, doesn't apply to the body.
	_ = c.SetReadDeadline(time.Time{})
	if c.header != nil {
		// One that was evicted meanwhile has its request served; the memory is released soon.
		_ = c.header.Complete()
	}
}

// beginHandler records that a request is passed to the handler.
func (c *conn) beginHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.handling = true
}

// endRequest records that a response was written completely and the connection is kept.
func (c *conn) endRequest(now time.Time, l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.state = c.state.WithResponse(now, l)
}

func (c *conn) onData(n int, waited time.Duration) (v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, v = c.state.WithData(c.server.cfg.Clock.Now(), c.server.limits(), n, waited)
	return v
}

func (c *conn) onSilence(waited time.Duration) (v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, v = c.state.WithSilence(c.server.cfg.Clock.Now(), c.server.limits(), waited)
	return v
}

// pollTime is the time for which a connection without a socket is read to find out whether
// something has arrived.
const pollTime = time.Millisecond

// poll reads what has arrived. If nothing has, it returns syscall.EAGAIN, and with end set
// it closes the connection for writing before anything else can run in this goroutine, so
// that the time in which a request can cross the close is as short as possible.
func (c *conn) poll(b []byte, end bool) (int, error) {
	n := 0
	raw, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		if err = c.Conn.SetReadDeadline(time.Now().Add(pollTime)); err == nil {
			n, err = c.Conn.Read(b)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = syscall.EAGAIN
		}
		return n, err
	}
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, readErr = receive(fd, b, 0)
		if end && errors.Is(readErr, syscall.EAGAIN) {
			// An error means that the connection is broken, and it is closed next.
			_ = syscall.Shutdown(int(fd), syscall.SHUT_WR)
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// interrupt makes a Read that waits between two requests look at the state again.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase() != InProgress {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // see beginRead
	}
}

// requestClose has the connection closed as soon as no request has arrived.
func (c *conn) requestClose() {
	c.mu.Lock()
	c.state = c.state.WithClosing()
	c.mu.Unlock()
	c.interrupt()
}

// end carries out a verdict.
func (c *conn) end(v Verdict) {
	switch v {
	case CloseIdle:
		reason := reasonIdle
		switch s := c.current(); {
		case s.Pressed():
			reason = reasonNoRoom
		case s.Closing():
			reason = reasonStop
		}
		c.setReason(reason)
	case RejectTimeout:
		reason := reasonTimeout
		if c.current().Pressed() {
			reason = reasonNoRoom
		}
		c.reject(reason, http.StatusRequestTimeout)
	case RejectTooLarge:
		c.reject(reasonTooLarge, http.StatusRequestHeaderFieldsTooLarge)
	case RejectNoRoom:
		c.reject(reasonNoRoom, http.StatusServiceUnavailable)
	}
}

// reject responds to a request whose header wasn't read completely.
func (c *conn) reject(reason closeReason, status int) {
	c.setReason(reason)
	text, retryAfter := http.StatusText(status), ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %.2f\r\n", brbuffer.RetryAfter.Seconds())
	}
	// A caller that doesn't read must not hold the goroutine.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	// An error means that the caller has gone.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		status, text, retryAfter, len(text), text)
	if reason != reasonNoRoom { // the place of one that gives way is needed now
		c.linger()
	}
}

func (c *conn) current() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// setReason sets the reason of the close, unless there is one.
func (c *conn) setReason(r closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason, c.endPhase = r, c.state.Phase()
	}
}

func readReason(err error) closeReason {
	if errors.Is(err, io.EOF) {
		return reasonCaller
	}
	return reasonError
}

// SetLinger sets the behaviour of Close with unsent data, as net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// CloseWrite closes the connection for writing. net/http uses it to deliver a response before
// a close with unread data.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// SyscallConn returns the socket of the connection. The error wraps errors.ErrUnsupported if
// it has none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("brserver: connection of type %T: %w", c.Conn, errors.ErrUnsupported)
	}
	return s.SyscallConn()
}

// setHijacked records that the connection isn't one of the server any more.
func (c *conn) setHijacked() {
	c.releaseHeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hijacked = true
}

// bodyInterrupted reports whether a handler has ended the reading of the body of its request
// by a deadline, so that the caller may still send.
func (c *conn) bodyInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Phase() == InProgress && !c.hijacked && c.interrupted() && !c.server.closed.Load()
}

// interrupted reports whether reads are interrupted.
func (c *conn) interrupted() bool {
	deadline := c.readDeadline.Load()
	return deadline != 0 && deadline <= maxInterrupt
}

// linger ends the sending and reads on for lingerTime, or until the caller closes the
// connection.
func (c *conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// Close closes the connection and logs why.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.logClose()
		c.releaseHeader()
		if c.bodyInterrupted() {
			c.linger()
		}
	}
	return c.Conn.Close()
}

// logClose logs the close of the connection. Bytes that are unread tell a request that got
// neither a response nor a refusal.
func (c *conn) logClose() {
	unread := c.unread()
	c.mu.Lock()
	defer c.mu.Unlock()
	reason, phase := c.reason, c.endPhase
	switch {
	case reason != "":
	case c.state.Phase() == InProgress && !c.handling:
		reason, phase = reasonMalformed, Reading
	default:
		reason, phase = reasonResponse, c.state.Phase()
	}
	now := c.server.cfg.Clock.Now()
	e := c.server.cfg.Log.Info()
	if unread > 0 {
		e = c.server.cfg.Log.Warn()
	}
	e.Str("caller", c.RemoteAddr().String()).Str("reason", string(reason)).Stringer("phase", phase).
		Int64("phase_ms", now.Sub(c.state.since).Milliseconds()).Int64("age_ms", now.Sub(c.accepted).Milliseconds()).
		Int("requests", c.requests).Int("unread_bytes", unread).Msg("connection closed")
}

// maxUnreadBytes limits the number of unread bytes that are counted for the log.
const maxUnreadBytes = 512

// unread returns the number of bytes that wait to be read, at most maxUnreadBytes.
func (c *conn) unread() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		var b [maxUnreadBytes]byte
		if got, err := receive(fd, b[:], syscall.MSG_PEEK); err == nil {
			n = got
		}
	})
	return n
}

// receive reads from a socket without blocking.
func receive(fd uintptr, b []byte, flags int) (int, error) {
	for {
		n, _, err := syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
