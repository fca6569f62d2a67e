package brtest

import (
	"net"
	"testing"
)

// TestFreeAddress guards against an address that another process takes before the
// test listens on it: an outgoing connection, whose local host is 127.0.0.1, or a
// test binary that is given the same host.
func TestFreeAddress(t *testing.T) {
	a, b := FreeAddress(t), FreeAddress(t)
	if a == b {
		t.Errorf("both calls returned %s", a)
	}
	l, err := net.Listen("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		t.Fatal(err)
	}
	if local := c.LocalAddr().(*net.TCPAddr).IP.String(); local == host {
		t.Errorf("an outgoing connection has the host of the free address %s", a)
	}
	for _, pid := range []int{2, 257, 1 << 16, 1<<22 - 1} {
		if processHost(pid) == processHost(1) {
			t.Errorf("processes 1 and %d have the same host", pid)
		}
	}
}
