package brtunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brpeer"
)

// bound is the time within which an event must have happened. It is generous, since the
// machine may be busy.
const bound = 5 * time.Second

func everyAddress(string) bool { return true }

// startRelay serves s and returns the address of its listener. When the test ends, s is
// closed, which waits for its tunnels.
func startRelay(t testing.TB, s *Server) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(Path, s)
	h := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.Close()
		h.Close()
		if n := s.Stats().Open; n != 0 {
			t.Errorf("%d tunnels are open after Close", n)
		}
	})
	return h.Listener.Addr().String()
}

// startEndpoint serves each connection in a goroutine and closes it afterwards. When the
// test ends, it closes the connections and waits until serve has returned.
func startEndpoint(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: l, conns: map[net.Conn]struct{}{}}
	e.wg.Go(func() { e.run(serve) })
	t.Cleanup(e.close)
	return l.Addr().String()
}

func echo(c *net.TCPConn) { _, _ = io.Copy(c, c) }

func dial(t testing.TB, relay, endpoint string, keys ...string) *Conn {
	t.Helper()
	c, err := (&Dialer{Keys: brpeer.Keys(keys)}).Dial(t.Context(), relay, endpoint)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(bound)); err != nil {
		t.Fatal(err)
	}
	return c.(*Conn)
}

// wantCause checks that a tunnel isn't opened for the given cause.
func wantCause(t testing.TB, relay, endpoint string, want Cause, keys ...string) {
	t.Helper()
	c, err := (&Dialer{Keys: brpeer.Keys(keys)}).Dial(t.Context(), relay, endpoint)
	if err == nil {
		c.Close()
	}
	var d *DialError
	if !errors.As(err, &d) || d.Cause != want {
		t.Errorf("error %v, want a DialError with cause %s", err, want)
	}
}

// wantEcho checks that the endpoint returns what is sent.
func wantEcho(t testing.TB, c net.Conn, message string) {
	t.Helper()
	if _, err := io.WriteString(c, message); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(message))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != message {
		t.Fatalf("got %q, error %v, want %q", got, err, message)
	}
}

// blockDial is a dial function whose endpoint never answers.
func blockDial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// await fails the test if ch isn't closed or sent to within bound.
func await[T any](t testing.TB, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(bound):
		t.Fatalf("%s: not within %v", what, bound)
	}
	return v
}
