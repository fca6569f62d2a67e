package brtunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brtest"
)

// poolDialer dials for a brconn.Pool and keeps the connections.
type poolDialer struct {
	Dialer
	relay string

	mu    sync.Mutex
	conns []*Conn
}

func (d *poolDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	n, err := d.Dial(ctx, d.relay, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, n.(*Conn))
	return n, nil
}

// last returns the tunnel that was opened last.
func (d *poolDialer) last() *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[len(d.conns)-1]
}

// reusable reports whether a pool may reuse c, as brconn does.
func reusable(c *Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

func send(t *testing.T, p *brconn.Pool, address, body string) {
	t.Helper()
	x, err := p.Send(t.Context(), address, brconn.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	got, err := io.ReadAll(x)
	if err != nil || string(got) != body {
		t.Fatalf("body %q, error %v, want %q", got, err, body)
	}
}

// TestPool guards against a tunnel for each request, and against a request that is sent
// on a tunnel whose endpoint has closed the connection.
func TestPool(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer endpoint.Close()
	address := endpoint.Listener.Addr().String()
	s := &Server{Allow: everyAddress}
	d := &poolDialer{relay: startRelay(t, s)}
	p := &brconn.Pool{Dial: d.dial}
	defer p.Close()
	for i := range 3 {
		send(t, p, address, fmt.Sprint("request ", i))
	}
	if got, want := p.Stats(), (brconn.Stats{Dialed: 1, Reused: 2}); got != want {
		t.Errorf("stats %+v, want %+v", got, want)
	}
	if !reusable(d.last()) {
		t.Error("the idle tunnel isn't reusable")
	}
	endpoint.CloseClientConnections()
	brtest.Await(t, bound, "tunnel isn't reusable", func() bool { return !reusable(d.last()) })
	send(t, p, address, "after the end")
	if got, want := p.Stats(), (brconn.Stats{Dialed: 2, Reused: 2}); got != want {
		t.Errorf("stats %+v, want %+v", got, want)
	}
	s.Close()
	if reusable(d.last()) {
		t.Error("a tunnel is reusable after its relay has closed it")
	}
}

// TestUnreadEnd guards against reusing a tunnel whose end is no longer in the socket but
// in the buffer of the client, which a look at the socket can't show.
func TestUnreadEnd(t *testing.T) {
	h := httptest.NewServer(brtest.RawHandler(t,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: bramleyroute-tunnel\r\n\r\nD\x00\x01aE\x00\x01c"))
	defer h.Close()
	c := dial(t, h.Listener.Addr().String(), "endpoint:1")
	if reusable(c) {
		t.Error("reusable with unread bytes in the buffer")
	}
	b := make([]byte, 1)
	if _, err := c.Read(b); err != nil || b[0] != 'a' {
		t.Fatalf("read %q, error %v", b, err)
	}
	if _, err := c.SyscallConn(); err == nil {
		t.Error("SyscallConn has no error with an unread end in the buffer")
	}
	if _, err := c.Read(b); err != io.EOF {
		t.Errorf("error %v, want io.EOF", err)
	}
	if _, err := c.SyscallConn(); err == nil {
		t.Error("SyscallConn has no error after the end")
	}
}

// TestReadInProgress guards against a look at the socket that takes a connection in use
// for idle.
func TestReadInProgress(t *testing.T) {
	c := dial(t, startRelay(t, &Server{Allow: everyAddress}), startEndpoint(t, echo))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Read(make([]byte, 1))
	}()
	brtest.Await(t, bound, "read is in progress", func() bool { return !reusable(c) })
	if err := c.SetReadDeadline(past); err != nil {
		t.Fatal(err)
	}
	await(t, done, "end of the read")
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if !reusable(c) {
		t.Error("not reusable after a timeout")
	}
}
