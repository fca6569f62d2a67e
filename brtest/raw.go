package brtest

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// RawHandler returns a handler that sends response, which begins with the status line,
// unchanged, and closes the connection.
func RawHandler(t testing.TB, response string) http.HandlerFunc {
	return RawConnHandler(t, func(c *net.TCPConn) {
		if _, err := io.WriteString(c, response); err != nil {
			t.Logf("send a response: %v", err)
		}
	})
}

// RawResetHandler is RawHandler with a connection that is reset instead of closed.
func RawResetHandler(t testing.TB, response string) http.HandlerFunc {
	return RawConnHandler(t, func(c *net.TCPConn) {
		if _, err := io.WriteString(c, response); err != nil {
			t.Logf("send a response: %v", err)
		}
		if err := c.SetLinger(0); err != nil {
			t.Error(err)
		}
	})
}

// RawConnHandler returns a handler that runs respond on the connection of its first request
// and closes it.
func RawConnHandler(t testing.TB, respond func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		respond(c.(*net.TCPConn))
	}
}
