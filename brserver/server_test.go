package brserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// syncBuffer is a buffer for a log.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// closes returns the sorted entries on closed connections, as "reason, phase, requests".
func (b *syncBuffer) closes(t *testing.T) []string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for line := range strings.Lines(b.b.String()) {
		var e struct {
			Message, Reason, Phase string
			Requests               int
		}
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		if e.Message == "connection closed" {
			list = append(list, fmt.Sprint(e.Reason, ", ", e.Phase, ", ", e.Requests))
		}
	}
	slices.Sort(list)
	return list
}

type testServer struct {
	*Server
	address string
	log     syncBuffer
	served  chan error
}

// start starts a server that responds with the request body.
func start(t *testing.T, limits func() Limits) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: l.Addr().String(), served: make(chan error, 1)}
	echo := func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Write(b)
	}
	s.Server = New(Config{Handler: http.HandlerFunc(echo), Limits: limits, StateKeepAlive: true, Log: zerolog.New(&s.log)})
	go func() { s.served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-s.served; err != nil {
			t.Error(err)
		}
	})
	return s
}

func fixed(l Limits) func() Limits { return func() Limits { return l } }

type client struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c.(*net.TCPConn), bufio.NewReader(c)}
}

// send sends a request with the body in a part of its own.
func (c *client) send(body string) {
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
	io.WriteString(c, body)
}

// receive returns the status and the body of a complete response.
func (c *client) receive() (int, string, error) {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// TestShutdownAnswersArrivedRequests guards against a stop that resets connections in the
// accept queue, closes a connection on which a request has arrived, or breaks off the body
// of a request.
func TestShutdownAnswersArrivedRequests(t *testing.T) {
	const rounds, kept, opened = 30, 16, 8
	var lost atomic.Int32
	for range rounds {
		s := start(t, nil)
		clients := make([]*client, kept)
		for i := range clients {
			clients[i] = s.dial(t)
			clients[i].send("first")
			if _, _, err := clients[i].receive(); err != nil {
				t.Fatal(err)
			}
		}
		for range opened {
			clients = append(clients, s.dial(t))
		}
		for _, c := range clients {
			c.send("second")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("Shutdown: %v", err)
		}
		cancel()
		for _, c := range clients {
			if status, body, err := c.receive(); status != http.StatusOK || body != "second" || err != nil {
				lost.Add(1)
			}
		}
	}
	if n := lost.Load(); n > 0 {
		t.Errorf("%d of %d requests that were sent before the stop weren't answered, want none", n, rounds*(kept+opened))
	}
}

// TestCloseIdleKeepsBodies guards against an interrupt of the header's read that ends the
// read of the body.
func TestCloseIdleKeepsBodies(t *testing.T) {
	s := start(t, nil)
	done := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				s.CloseIdle()
			}
		}
	})
	for i := range 300 {
		c := s.dial(t)
		c.send(strings.Repeat("x", 100+i))
		// A connection that was closed before anything arrived is allowed.
		if status, body, err := c.receive(); err == nil && (status != http.StatusOK || len(body) != 100+i) {
			t.Errorf("status %d, %d bytes, want 200 and %d bytes", status, len(body), 100+i)
		}
	}
	close(done)
	closer.Wait()
	for _, x := range s.log.closes(t) {
		if strings.Contains(x, "in progress") && !strings.HasPrefix(x, string(reasonResponse)) && !strings.HasPrefix(x, string(reasonCaller)) {
			t.Errorf("connection closed: %s", x)
		}
	}
}

// TestSlowServerReadsWholeHeader guards against a header timeout that ends a request which
// has arrived in time, and waits to be read by a server that is slow.
func TestSlowServerReadsWholeHeader(t *testing.T) {
	const timeout = 100 * time.Millisecond
	var slow atomic.Bool
	s := start(t, func() Limits {
		if slow.Load() {
			time.Sleep(timeout) // at each step of the connection
		}
		return Limits{HeaderTimeout: timeout, IdleTimeout: timeout}
	})
	c := s.dial(t)
	c.send("first")
	if _, _, err := c.receive(); err != nil {
		t.Fatal(err)
	}
	slow.Store(true)
	for _, part := range []string{"POST / HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 2\r\n\r\n", "ok"} {
		io.WriteString(c, part)
		time.Sleep(timeout / 10)
	}
	if status, body, err := c.receive(); status != http.StatusOK || body != "ok" {
		t.Errorf("status %d, body %q, error %v, want 200", status, body, err)
	}
}

// TestRejections guards against a rejection that the caller doesn't get, as unread data
// resets its connection, and against closes without a reason in the log.
func TestRejections(t *testing.T) {
	s := start(t, fixed(Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 2 * time.Second}))
	status := func(text string) int {
		c := s.dial(t)
		io.WriteString(c, text)
		status, _, _ := c.receive()
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("read after the response: error %v, want io.EOF", err)
		}
		return status
	}
	got := []int{
		status("GET / HT"),
		status("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 100_000) + "\r\n\r\n"),
		status("nonsense\r\n\r\n"),
	}
	if d := cmp.Diff([]int{408, 431, 400}, got); d != "" {
		t.Errorf("statuses differ (-want +got):\n%s", d)
	}
	idle, gone := s.dial(t), s.dial(t)
	idle.send("x")
	idle.receive()
	gone.Close()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("read from an idle connection: error %v, want io.EOF", err)
	}
	brtest.Await(t, time.Second, "closes are logged", func() bool { return len(s.log.closes(t)) == 5 })
	want := []string{"caller, idle, 0", "header timeout, reading, 0", "header too large, reading, 0", "idle timeout, idle, 1", "malformed, reading, 0"}
	if d := cmp.Diff(want, s.log.closes(t)); d != "" {
		t.Errorf("reasons differ (-want +got):\n%s", d)
	}
}

// TestResponsesStateKeepAlive guards against callers that can't know for how long they may
// use a connection, or that use it once more although the server stops.
func TestResponsesStateKeepAlive(t *testing.T) {
	s := start(t, fixed(Limits{IdleTimeout: 5500 * time.Millisecond}))
	header := func(name string) string {
		a, err := http.Get("http://" + s.address)
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if name == "Connection" && a.Close {
			return "close"
		}
		return a.Header.Get(name)
	}
	if got := header("Keep-Alive"); got != "timeout=5" {
		t.Errorf("Keep-Alive: %q, want timeout=5", got)
	}
	s.DisableKeepAlives()
	if got := header("Connection"); got != "close" {
		t.Errorf("Connection: %q, want close", got)
	}
}

// TestShutdownEmptiesAcceptQueue guards against a stop that resets the connections which a
// slow server hasn't taken from the accept queue after acceptTime.
func TestShutdownEmptiesAcceptQueue(t *testing.T) {
	var slow atomic.Bool
	s := start(t, func() Limits {
		if slow.Load() {
			time.Sleep(acceptTime) // at each accept
		}
		return Limits{}
	})
	slow.Store(true)
	var clients []*client
	for range 4 {
		c := s.dial(t)
		c.send("x")
		clients = append(clients, c)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	for i, c := range clients {
		if status, _, err := c.receive(); status != http.StatusOK {
			t.Errorf("connection %d: status %d, error %v, want 200", i, status, err)
		}
	}
}
