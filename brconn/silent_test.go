package brconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestSilentEndpointKeepsConnection guards against TCP_USER_TIMEOUT ending the connection to
// a sound endpoint that reads nothing for over a second while a request is being written,
// or acknowledges everything and sends nothing.
func TestSilentEndpointKeepsConnection(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for _, test := range []struct {
		name  string
		bytes int // of the body; more than the buffers hold, or little
	}{{"reads nothing", 16 << 20}, {"sends nothing", 100}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
				time.Sleep(silence)
				if _, ok := e.read(r); ok {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			p := &Pool{}
			defer p.Close()
			x, err := p.Send(context.Background(), e.address, Request{Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, test.bytes)})
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			if b, err := io.ReadAll(x); string(b) != "ok" || err != nil {
				t.Errorf("body %q, error %v, want ok and none", b, err)
			}
		})
	}
}

// TestKeepAliveProbesAreOff guards against keep-alive probes, which would end a connection
// to a silent host by TCP_USER_TIMEOUT, whatever their count.
func TestKeepAliveProbesAreOff(t *testing.T) {
	e := startEndpoint(t, func(_ *endpoint, c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	c, err := DialTCP(t.Context(), e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var probes int
	var getErr error
	if err := raw.Control(func(fd uintptr) {
		probes, getErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}); err != nil || getErr != nil {
		t.Fatal(err, getErr)
	}
	if probes != 0 {
		t.Error("keep-alive probes are on, want off")
	}
}
