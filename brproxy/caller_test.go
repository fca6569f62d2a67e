package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brpolicy"
)

// TestCallerThatDoesNotRead guards against a caller that reads nothing holding the slot of its
// endpoint until the timeout of the route, and against taking a slow caller for such a one.
func TestCallerThatDoesNotRead(t *testing.T) {
	const size, count = 64 << 10, 256 // more than the buffers of both connections hold
	large := "data: " + strings.Repeat("x", size) + "\n\n"
	ended := make(chan struct{}, 2)
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		for i := 0; i < count && r.Context().Err() == nil; i++ {
			send(w, large)
		}
	})
	policy := testPolicy()
	for i := range policy.Routes {
		policy.Routes[i].Timeout = time.Minute
	}
	s.proxy.SetPolicy(brpolicy.Compile(policy))
	s.proxy.cfg.CallerReadTimeout = 500 * time.Millisecond
	for _, path := range []string{"/stream/", "/safe/"} {
		c, err := net.Dial("tcp", s.front.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ask := "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
		fmt.Fprint(c, ask)
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the endpoint still sends to a caller that doesn't read", path)
		}
		if n := s.proxy.Stats().Stalled.Load(); n == 0 {
			t.Errorf("%s: no caller counted as stalled", path)
		}
		slow, err := net.Dial("tcp", s.front.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Close()
		fmt.Fprint(slow, ask)
		a, err := http.ReadResponse(bufio.NewReader(slow), nil)
		if err != nil {
			t.Fatal(err)
		}
		read := 0
		for err == nil {
			time.Sleep(2 * time.Millisecond) // a slow caller
			var n int64
			n, err = io.CopyN(io.Discard, a.Body, size/2)
			read += int(n)
		}
		if err != io.EOF || read != len(large)*count {
			t.Errorf("%s: %d bytes to a slow caller, error %v, want %d", path, read, err, len(large)*count)
		}
		<-ended
	}
}
