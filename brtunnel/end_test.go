package brtunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brevent"
	"bramleyroute/brtest"
)

// TestEndOf guards against a failure of the endpoint that is taken for a proper end,
// above all one that only the write has seen.
func TestEndOf(t *testing.T) {
	for _, test := range []struct {
		read, write error
		want        end
	}{
		{io.EOF, nil, endClosed},
		{io.EOF, syscall.EPIPE, endClosed},          // closed, then reset by the rest of the request
		{io.EOF, os.ErrDeadlineExceeded, endClosed}, // the write was interrupted by tunnel.end
		{io.EOF, syscall.ECONNRESET, endReset},
		{io.EOF, syscall.ETIMEDOUT, endSilent},
		{io.EOF, syscall.EHOSTUNREACH, endSilent}, // a timeout after an ICMP message
		{syscall.ECONNRESET, nil, endReset},
		{syscall.ECONNRESET, syscall.EPIPE, endReset},
		{syscall.ETIMEDOUT, nil, endSilent},
		{syscall.EHOSTUNREACH, nil, endSilent},
		{os.ErrDeadlineExceeded, nil, endSilent},
	} {
		read := error(&net.OpError{Op: "read", Err: test.read})
		if test.read == io.EOF {
			read = io.EOF
		}
		got, ok := endOf(read, test.write)
		if got != test.want || !ok {
			t.Errorf("endOf(%v, %v) = %q, %v, want %q, true", test.read, test.write, got, ok, test.want)
		}
	}
	if _, ok := endOf(&net.OpError{Op: "read", Err: net.ErrClosed}, nil); ok {
		t.Error("a connection closed by the relay counts as an end by the endpoint")
	}
}

// TestResetWhileSending guards against a reset that is reported as a proper end because
// the kernel has returned it to the write of the request.
func TestResetWhileSending(t *testing.T) {
	address := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 64<<10))
		_ = c.SetLinger(0)
	})
	relay := startRelay(t, &Server{Allow: everyAddress})
	for range 50 {
		c := dial(t, relay, address)
		go brtest.WriteForever(c, "request")
		_, err := c.Read(make([]byte, 1))
		if !errors.Is(err, syscall.ECONNRESET) || !brevent.EndedByPeer(err) {
			t.Fatalf("error %v, want ECONNRESET", err)
		}
		c.Close()
	}
}

// TestEarlyResponse guards against losing a response, or its proper end, to an endpoint
// that reads only a part of the request.
func TestEarlyResponse(t *testing.T) {
	const response = "HTTP/1.1 413 Content Too Large\r\n\r\n"
	address := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		_ = c.CloseWrite()
		_, _ = io.ReadFull(c, make([]byte, 64<<10))
	})
	relay := startRelay(t, &Server{Allow: everyAddress})
	for range 50 {
		c := dial(t, relay, address)
		go brtest.WriteForever(c, "request")
		got, err := io.ReadAll(c)
		if err != nil || string(got) != response {
			t.Fatalf("got %q, error %v, want the response", got, err)
		}
		c.Close()
	}
}

// stuckConn is a connection to an endpoint that doesn't read. Once a write waits for it,
// it closes its side of the connection.
type stuckConn struct {
	net.Conn
	writing, interrupted chan struct{}
}

func (c *stuckConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (c *stuckConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *stuckConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// TestEndDuringWrite guards against an end that is held back by a write to an endpoint
// that doesn't read.
func TestEndDuringWrite(t *testing.T) {
	pipe, _ := net.Pipe()
	stuck := &stuckConn{pipe, make(chan struct{}), make(chan struct{})}
	s := &Server{Allow: everyAddress, Dial: func(context.Context, string) (net.Conn, error) { return stuck, nil }}
	c := dial(t, startRelay(t, s), "endpoint:1")
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v, want io.EOF", err)
		stuck.SetWriteDeadline(past)
	}
}

// stoppedClock is a clock whose time is set and whose timers never fire.
type stoppedClock struct{ *brclock.Manual }

func (stoppedClock) After(time.Duration) <-chan time.Time { return nil }

// TestIdleTimeout guards against ending a tunnel that was used within the timeout, in
// either direction, and against one that is kept forever.
func TestIdleTimeout(t *testing.T) {
	clock := stoppedClock{brclock.NewManual(time.Unix(100, 0))}
	s := &Server{Allow: everyAddress, Clock: clock}
	relay := startRelay(t, s)
	ends := make(chan net.Conn)
	c := dial(t, relay, startEndpoint(t, func(c *net.TCPConn) { ends <- c; <-ends }))
	endpoint := await(t, ends, "connection")
	defer close(ends)
	since := map[*tunnel]time.Time{}
	pass := func(d time.Duration) {
		clock.Advance(d)
		since = s.checkIdle(since, defaultIdleTimeout)
	}
	pass(time.Second)
	for range 3 {
		pass(34 * time.Second)
		move(t, c, endpoint)
		pass(34 * time.Second)
		move(t, endpoint, c)
	}
	pass(time.Second)
	pass(34 * time.Second)
	move(t, endpoint, c)
	pass(time.Second)
	pass(35 * time.Second)
	_, err := c.Read(make([]byte, 1))
	if !errors.Is(err, ErrSilent) || !errors.Is(err, syscall.ETIMEDOUT) || brevent.EndedByPeer(err) {
		t.Errorf("error %v, EndedByPeer %v, want ErrSilent and false", err, brevent.EndedByPeer(err))
	}
}

// move sends a byte from one end of a tunnel to the other.
func move(t *testing.T, from, to net.Conn) {
	t.Helper()
	if _, err := from.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := to.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestIdleTimer guards against checks that don't run.
func TestIdleTimer(t *testing.T) {
	s := &Server{Allow: everyAddress, IdleTimeout: 35 * time.Millisecond}
	c := dial(t, startRelay(t, s), startEndpoint(t, echo))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, ErrSilent) {
		t.Errorf("error %v, want ErrSilent", err)
	}
}

// TestIdleClient guards against a tunnel that is kept because its client doesn't read
// what the endpoint sends.
func TestIdleClient(t *testing.T) {
	clock := stoppedClock{brclock.NewManual(time.Unix(100, 0))}
	s := &Server{Allow: everyAddress, Clock: clock}
	relay := startRelay(t, s)
	dial(t, relay, startEndpoint(t, func(c *net.TCPConn) { brtest.WriteForever(c, strings.Repeat("x", 1000)) }))
	since := map[*tunnel]time.Time{}
	// The tunnel stays active until the socket buffers are full.
	brtest.Await(t, bound, "tunnel ends", func() bool {
		clock.Advance(defaultIdleTimeout)
		since = s.checkIdle(since, defaultIdleTimeout)
		return s.Stats().Open == 0
	})
}

// TestEarlyBytes guards against losing bytes that a client sends before the answer,
// which the HTTP server has read.
func TestEarlyBytes(t *testing.T) {
	dialing, proceed := make(chan struct{}), make(chan struct{})
	address := startEndpoint(t, echo)
	s := &Server{DialTimeout: bound, Allow: func(string) bool {
		close(dialing)
		<-proceed
		return true
	}}
	c, err := net.Dial("tcp", startRelay(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s?address=%s HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\none ", Path, address, protocol)
	await(t, dialing, "request")
	fmt.Fprint(c, "two")
	close(proceed)
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("response %v, error %v", response, err)
	}
	got := make([]byte, len("one two"))
	if _, err := io.ReadFull(&frameReader{reader: r}, got); err != nil || string(got) != "one two" {
		t.Errorf("got %q, error %v, want both parts", got, err)
	}
}

// TestUserTimeout guards against a socket on which the other machine's failure isn't
// noticed while bytes are sent.
func TestUserTimeout(t *testing.T) {
	s := &Server{Allow: everyAddress}
	c := dial(t, startRelay(t, s), startEndpoint(t, echo))
	relay := onlyTunnel(s)
	for n, want := range map[net.Conn]time.Duration{
		c.Conn: 2 * time.Second, relay.endpoint: 2 * time.Second, relay.client: defaultIdleTimeout,
	} {
		raw, err := n.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			const tcpUserTimeout = 18
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			if err != nil || int64(got) != want.Milliseconds() {
				t.Errorf("TCP_USER_TIMEOUT is %d ms, error %v, want %v", got, err, want)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestSlowClient guards against a relay that ends the connection of a client that
// doesn't read for longer than the TCP_USER_TIMEOUT of connections to endpoints: the
// kernel applies that to a closed receive window too.
func TestSlowClient(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 5 s")
	}
	const size = 32 << 20 // more than all socket buffers
	address := startEndpoint(t, func(c *net.TCPConn) { _, _ = c.Write(make([]byte, size)) })
	c := dial(t, startRelay(t, &Server{Allow: everyAddress}), address)
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	<-time.After(5 * time.Second) // the kernel checks the timeout 3 s after the window closes
	if n, err := io.Copy(io.Discard, c); n != size || err != nil {
		t.Errorf("read %d bytes, error %v, want %d bytes", n, err, size)
	}
}

// TestWriteAfterEnd guards against a relay that resets the connection of a client that
// is still writing, which may discard the end frame.
func TestWriteAfterEnd(t *testing.T) {
	c := dial(t, startRelay(t, &Server{Allow: everyAddress}), startEndpoint(t, func(*net.TCPConn) {}))
	brtest.Await(t, bound, "end frame arrives", func() bool { return !reusable(c) })
	for range 10 {
		if _, err := c.Write(make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v, want io.EOF", err)
	}
}
