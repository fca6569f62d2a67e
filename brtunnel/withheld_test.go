package brtunnel

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// TestWithheldEndpoint guards against a request that reaches an endpoint over a tunnel that
// was opened before the relay learned that the endpoint is to get none, or that is opened
// after it, and against an end of what already runs there.
func TestWithheldEndpoint(t *testing.T) {
	received := make(chan string, 4)
	release := make(chan struct{})
	address := startEndpoint(t, func(c *net.TCPConn) {
		buffer := make([]byte, 16)
		for {
			n, err := c.Read(buffer)
			if err != nil {
				return
			}
			received <- string(buffer[:n])
			io.WriteString(c, "begin ")
			<-release
			io.WriteString(c, "end")
		}
	})
	var withheld atomic.Bool
	relay := startRelay(t, &Server{Allow: everyAddress, Withheld: func(a string) bool { return a == address && withheld.Load() }})
	running, unused := dial(t, relay, address), dial(t, relay, address)
	io.WriteString(running, "first")
	if got := await(t, received, "first request"); got != "first" {
		t.Fatalf("endpoint received %q", got)
	}
	withheld.Store(true)
	close(release)
	response := make([]byte, len("begin end"))
	if _, err := io.ReadFull(running, response); err != nil || string(response) != "begin end" {
		t.Errorf("response of a running request: %q, error %v", response, err)
	}
	wantCause(t, relay, address, NotAllowed)
	for name, c := range map[string]net.Conn{"kept": running, "unused": unused} {
		io.WriteString(c, "second") // fails if the relay has closed the connection already
		if _, err := c.Read(response); !errors.Is(err, ErrRelayLost) {
			t.Errorf("%s tunnel: error %v, want ErrRelayLost", name, err)
		}
	}
	select {
	case got := <-received:
		t.Errorf("endpoint received %q after it was withheld", got)
	default:
	}
}
