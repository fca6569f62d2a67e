package brtest

import (
	"net"
	"testing"
)

// ServeConns listens on a loopback address, which it returns, and serves each connection in
// a goroutine, after which the connection is closed. The listener is closed at the end of
// the test; connections that are open then are left to serve.
func ServeConns(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}
