package brserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brtest"
)

// TestGiveWay guards against a connection with a request, or with one on its way, that is
// closed for a new one, and against connections that never sent one and are kept instead.
func TestGiveWay(t *testing.T) {
	start := time.Unix(1e9, 0)
	now := start.Add(time.Minute)
	for _, test := range []struct {
		name string
		list []occupant
		want int
	}{
		{"none", nil, -1},
		{"in progress", []occupant{{phase: InProgress, since: start}}, -1},
		{"just opened", []occupant{{since: now}}, -1},
		{"gives way already", []occupant{{since: start, pressed: true}}, -1},
		{"never requested before kept", []occupant{{since: start, requests: 1}, {phase: Reading, since: now.Add(-time.Second)}}, 1},
		{"idle for longer", []occupant{{since: start.Add(1), requests: 1}, {since: start, requests: 9}}, 1},
	} {
		if got := giveWay(now, test.list); got != test.want {
			t.Errorf("%s: %d gives way, want %d", test.name, got, test.want)
		}
	}
}

// startConfig starts a server.
func startConfig(t *testing.T, cfg Config) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: l.Addr().String(), Server: New(cfg)}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := s.Serve(l); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		s.Close()
		serving.Wait()
	})
	return s
}

// TestFullServer guards against connections without a request that keep others out, and
// against one with a request that is ended for a new one.
func TestFullServer(t *testing.T) {
	const maxConns = 4
	begun, end := make(chan struct{}), make(chan struct{})
	s := startConfig(t, Config{MaxConns: maxConns, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-end
		}
	})})
	slow := s.dial(t)
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	for range maxConns - 1 {
		io.WriteString(s.dial(t), "GET / HT")
	}
	brtest.Await(t, 10*time.Second, "a request beside the crowd is served", func() bool {
		a, err := http.Get("http://" + s.address)
		if err == nil {
			a.Body.Close()
		}
		return err == nil
	})
	if stats := s.Stats(); stats.Open > maxConns || stats.Pressed == 0 {
		t.Errorf("%+v, want at most %d open, and some that gave way", stats, maxConns)
	}
	close(end)
	if _, err := http.ReadResponse(slow.reader, nil); err != nil {
		t.Errorf("request in progress: %v", err)
	}
}

// TestLateDeadline guards against a process that was suspended, and judges a body by the time
// although its bytes have arrived.
func TestLateDeadline(t *testing.T) {
	const part, rest = "half", "rest"
	begun, sent := make(chan struct{}), make(chan struct{})
	s := startConfig(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-sent
		if err := http.NewResponseController(w).SetReadDeadline(time.Unix(2, 0)); err != nil {
			t.Error(err)
		}
		b, err := io.ReadAll(r.Body)
		fmt.Fprint(w, string(b), err)
	})})
	c := s.dial(t)
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(part+rest), part)
	<-begun
	if _, err := io.WriteString(c, rest); err != nil {
		t.Fatal(err)
	}
	close(sent)
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(a.Body)
	if want := part + rest + "<nil>"; err != nil || string(b) != want {
		t.Errorf("body %q, error %v; want %q", b, err, want)
	}
}

// TestRefusalReachesSender guards against the refusal of a body that is lost since the caller
// still sends: the close of a connection with unread bytes resets it.
func TestRefusalReachesSender(t *testing.T) {
	const rounds, size = 10, 200 << 10
	s := startConfig(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Error(err)
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})})
	for i := range rounds {
		c := s.dial(t)
		for _, part := range []string{fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size), strings.Repeat("x", size-1)} {
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatalf("round %d: %v", i, err)
			}
		}
		a, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatalf("round %d: %v", i, err)
		}
		a.Body.Close()
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Fatalf("round %d: after the response %v, want EOF", i, err)
		}
	}
}

// TestUnreadBodyEnds guards against a connection that is kept for ever since a handler has
// responded without reading a body that never comes.
func TestUnreadBodyEnds(t *testing.T) {
	for _, size := range []int{0, 64 << 10} { // of the response; net/http sends a long one before the handler ends
		s := startConfig(t, Config{
			Limits: fixed(Limits{HeaderTimeout: 50 * time.Millisecond}),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, strings.Repeat("x", size))
			}),
		})
		c := s.dial(t)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
		if _, err := http.ReadResponse(c.reader, nil); err != nil {
			t.Errorf("response of %d bytes: %v", size, err)
		}
		brtest.Await(t, 10*time.Second, "the connection is closed", func() bool { return s.Stats().Open == 0 })
	}
}
