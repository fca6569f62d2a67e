package brconn

import (
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// relayedPipe is a connection through another daemon.
type relayedPipe struct{ net.Conn }

func (relayedPipe) Relay() string { return "r" }

// TestCloseIdle guards against connections that stay in use although their path is lost,
// or a better one is back.
func TestCloseIdle(t *testing.T) {
	p := &Pool{}
	defer p.Close()
	put := func(address string, relayed bool) {
		c, _ := net.Pipe()
		if relayed {
			c = relayedPipe{c}
		}
		p.Put(address, c)
	}
	for _, address := range []string{"a", "b"} {
		put(address, false)
		put(address, true)
	}
	p.CloseIdle(func(address, relay string) bool { return address == "a" && relay == "" })
	p.CloseIdle(func(address, relay string) bool { return address == "b" && relay == "r" })
	got := map[string]bool{}
	for _, address := range []string{"a", "b"} {
		c := p.popIdle(address)
		got[address] = c.relayed()
		c.net.Close()
		if p.popIdle(address) != nil {
			t.Errorf("a second connection to %s is left, want one", address)
		}
	}
	if diff := cmp.Diff(map[string]bool{"a": true, "b": false}, got); diff != "" {
		t.Errorf("relayed connections that are left (-want +got): %s", diff)
	}
}
