package brsoak

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brtest"
)

// startEcho starts an echo server and a proxy to it.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	address := brtest.ServeConns(t, func(c net.Conn) {
		_, _ = io.Copy(c, c) // ends when the other side closes
	})
	p, err := NewProxy("127.0.0.1:0", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// echo sends a byte and waits for it to be returned.
func echo(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestProxy guards against a mode without its described effect. The soak would then
// run without the planned fault and its result would be meaningless.
func TestProxy(t *testing.T) {
	p := startEcho(t)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	// dialReset returns the reset of a new connection or else the result of echo on it.
	// The dial may fail because the proxy can reset the connection before Dial returns.
	dialReset := func() error {
		c, err := net.Dial("tcp", p.listener.Addr().String())
		if errors.Is(err, syscall.ECONNRESET) {
			return err
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return echo(c, time.Second)
	}
	c := dial()
	if err := echo(c, time.Second); err != nil {
		t.Fatal("forward:", err)
	}
	p.Set(Delay)
	from := time.Now()
	if err := echo(c, 5*time.Second); err != nil || time.Since(from) < 2*proxyDelay {
		t.Errorf("delay: echo returned %v after %v, want success after at least two delays", err, time.Since(from))
	}
	for _, m := range []Mode{Blackhole, BlackholeReplies} {
		p.Set(m)
		if err := echo(c, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v: echo returned %v, want a timeout", m, err)
		}
		p.Set(Forward)
		if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("after %v: the pending byte did not arrive: %v", m, err)
		}
	}
	p.Set(Reset)
	if err := echo(c, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reset: echo returned %v, want a connection error", err)
	}
	if err := dialReset(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reset: echo on a new connection returned %v, want a connection error", err)
	}
	p.Set(Forward)
	if err := echo(dial(), time.Second); err != nil {
		t.Errorf("after reset: echo on a new connection failed: %v", err)
	}
}
