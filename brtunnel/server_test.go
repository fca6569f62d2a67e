package brtunnel

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestRefusals guards against a wrong cause: one that concerns the endpoint makes the
// caller avoid it, any other one makes it try another relay.
func TestRefusals(t *testing.T) {
	live := startEndpoint(t, echo)
	for _, test := range []struct {
		want     Cause
		server   *Server
		endpoint string
		keys     []string
	}{
		{want: EndpointRefused, server: &Server{Allow: everyAddress}, endpoint: brtest.FreeAddress(t)},
		{want: EndpointTimeout, server: &Server{Allow: everyAddress, Dial: blockDial, DialTimeout: time.Millisecond}, endpoint: live},
		{want: NotAllowed, server: &Server{Allow: func(a string) bool { return a != live }}, endpoint: live},
		{want: NotAllowed, server: &Server{}, endpoint: live},
		{want: NoPath, server: &Server{Allow: everyAddress, Available: func() bool { return false }}, endpoint: live},
		{want: WrongKey, server: &Server{Allow: everyAddress, Keys: []string{"a"}}, endpoint: live, keys: []string{"b"}},
		{want: WrongKey, server: &Server{Allow: everyAddress, Keys: []string{"a"}}, endpoint: live},
	} {
		t.Run(string(test.want), func(t *testing.T) {
			relay := startRelay(t, test.server)
			wantCause(t, relay, test.endpoint, test.want, test.keys...)
			want := Stats{Refused: map[Cause]uint64{test.want: 1}}
			if diff := cmp.Diff(want, test.server.Stats()); diff != "" {
				t.Errorf("stats (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKeys guards against refusing a client during the replacement of a key.
func TestKeys(t *testing.T) {
	relay := startRelay(t, &Server{Allow: everyAddress, Keys: []string{"a", "b"}})
	wantEcho(t, dial(t, relay, startEndpoint(t, echo), "b", "c"), "ping")
}

// TestRefusedError guards against a caller that can't tell a refused connection as it
// can without a relay.
func TestRefusedError(t *testing.T) {
	_, err := (&Dialer{}).Dial(t.Context(), startRelay(t, &Server{Allow: everyAddress}), brtest.FreeAddress(t))
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want ECONNREFUSED", err)
	}
	_, err = (&Dialer{}).Dial(t.Context(), brtest.FreeAddress(t), "endpoint:1")
	var d *DialError
	if !errors.As(err, &d) || d.Cause != RelayUnreachable || d.Cause.ConcernsEndpoint() {
		t.Errorf("error %v, want cause %s", err, RelayUnreachable)
	}
}

// TestOtherAnswers guards against taking the answer of a daemon without tunnels for a
// connection or for a statement about the endpoint.
func TestOtherAnswers(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 Bad Gateway\r\nTunnel-Cause: of-a-later-version\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n",
		"HTTP/1.1 1",
		"",
	} {
		h := httptest.NewServer(brtest.RawHandler(t, answer))
		wantCause(t, h.Listener.Addr().String(), "endpoint:1", RelayFailed)
		h.Close()
	}
}

// TestNoRoom guards against more tunnels than the maximum, and against room that isn't
// returned at the end of a tunnel.
func TestNoRoom(t *testing.T) {
	s := &Server{Allow: everyAddress, MaxTunnels: 1}
	relay, address := startRelay(t, s), startEndpoint(t, echo)
	for range 3 {
		c := dial(t, relay, address)
		wantCause(t, relay, address, NoRoom)
		wantEcho(t, c, "ping")
		c.Close()
		brtest.Await(t, bound, "room is returned", func() bool { return s.Stats().Open == 0 })
	}
}

// TestLeave guards against a stopping relay that accepts tunnels or breaks open ones.
func TestLeave(t *testing.T) {
	s := &Server{Allow: everyAddress}
	relay, address := startRelay(t, s), startEndpoint(t, echo)
	c := dial(t, relay, address)
	s.Leave()
	wantCause(t, relay, address, Leaving)
	wantEcho(t, c, "ping")
	s.Close()
	wantCause(t, relay, address, Leaving)
}

// TestCloseDuringDial guards against Close that waits for the timeout of a dial or
// leaves one behind, and that makes the endpoint look unreachable.
func TestCloseDuringDial(t *testing.T) {
	dialing := make(chan struct{})
	s := &Server{Allow: func(string) bool { close(dialing); return true }, DialTimeout: time.Hour, Dial: blockDial}
	c, err := net.Dial("tcp", startRelay(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s?address=endpoint:1 HTTP/1.1\r\nHost: h\r\nUpgrade: %s\r\n\r\n", Path, protocol)
	await(t, dialing, "dial of the server")
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	await(t, closed, "end of Close")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := Cause(response.Header.Get(causeHeader)); got != Leaving {
		t.Errorf("cause %q after Close of the server, want %q", got, Leaving)
	}
}

// TestPlainRequest guards against connecting to an endpoint for a request that isn't
// one for a tunnel.
func TestPlainRequest(t *testing.T) {
	s := &Server{Allow: everyAddress}
	r := httptest.NewRequest(http.MethodGet, Path+"?address=endpoint:1", nil)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusUpgradeRequired {
		t.Errorf("status %d, want %d", w.Code, http.StatusUpgradeRequired)
	}
}

var _ net.Conn = (*Conn)(nil)
var _ syscall.Conn = (*Conn)(nil)
