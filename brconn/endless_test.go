package brconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brheader"
	"bramleyroute/brtest"
)

// endless returns a script that reads a request, sends head and then part without end.
// It closes done when the pool has closed the connection.
func endless(head, part string, done chan<- struct{}) script {
	return func(e *endpoint, c net.Conn, r *bufio.Reader) {
		if _, ok := e.read(r); !ok {
			return
		}
		io.WriteString(c, head)
		brtest.WriteForever(c, part)
		close(done)
	}
}

func awaitClosed(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("connection still open 5 s after the end of the exchange")
	}
}

// TestEndlessHead guards against an endpoint that takes the memory of the process with
// a response header that never ends.
func TestEndlessHead(t *testing.T) {
	for _, test := range []struct {
		name, head, part string
		want             error
	}{
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n", brheader.ErrTooLarge},
		{"line", "HTTP/1.1 200 OK\r\nX-Fill: ", strings.Repeat("x", 1000), brheader.ErrTooLarge},
		{"status line", "", strings.Repeat("x", 1000), brheader.ErrTooLarge},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", brheader.ErrTooLarge},
		{"late responses", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n", ErrResponseMismatch},
		{"late response without end", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1000), ErrResponseMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			done := make(chan struct{})
			e := startEndpoint(t, endless(test.head, test.part, done))
			p := newPool()
			defer p.Close()
			brtest.CheckAllocated(t, func() {
				_, err := send(p, e.address, "1", "POST")
				var sent *SendError
				if !errors.As(err, &sent) || !sent.MaybeSent || !errors.Is(err, test.want) {
					t.Errorf("error %v, want a SendError with MaybeSent set and %v", err, test.want)
				}
			})
			awaitClosed(t, done)
		})
	}
}

// TestInformationalResponses guards against a limit that refuses a usual number of
// informational responses before the final one.
func TestInformationalResponses(t *testing.T) {
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _ := e.read(r)
		io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 5))
		respond(c, id, id)
	})
	p := newPool()
	defer p.Close()
	if body, err := send(p, e.address, "1", "POST"); err != nil || body != "1" {
		t.Errorf("body %q, error %v, want body 1", body, err)
	}
}

// TestEndlessEvent guards against an endpoint that takes the memory of the process with
// an event that never ends.
func TestEndlessEvent(t *testing.T) {
	done := make(chan struct{})
	e := startEndpoint(t, endless("HTTP/1.1 200 OK\r\nId: 1\r\n\r\ndata: ", strings.Repeat("x", 1000), done))
	p := newPool()
	defer p.Close()
	brtest.CheckAllocated(t, func() {
		x, err := p.Send(context.Background(), e.address, Request{ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		if b, err := NewEventReader(x).Next(); err == nil || err == io.EOF {
			t.Errorf("%d bytes of an event, error %v, want an error for its size", len(b), err)
		}
	})
	awaitClosed(t, done)
}

// TestDiscard guards against waiting for a body that nobody needs, against keeping a
// connection on which it still arrives, and against closing one on which it is complete.
func TestDiscard(t *testing.T) {
	head := func(length string) string { return "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\n" + length + "\r\n" }
	hold := make(chan struct{})
	defer close(hold)
	for _, test := range []struct {
		name   string
		body   func(c net.Conn, id string)
		reused bool
	}{
		{"short", func(c net.Conn, id string) { fmt.Fprintf(c, head("Content-Length: 4\r\n")+"full", id) }, true},
		{"chunked", func(c net.Conn, id string) {
			fmt.Fprintf(c, head("Transfer-Encoding: chunked\r\n")+"4\r\nfull\r\n0\r\n\r\n", id)
		}, true},
		{"slow", func(c net.Conn, id string) {
			fmt.Fprintf(c, head("Content-Length: 4\r\n")+"f", id)
			<-hold
		}, false},
		{"endless", func(c net.Conn, id string) {
			fmt.Fprintf(c, head(""), id)
			brtest.WriteForever(c, strings.Repeat("x", 1000))
		}, false},
		{"endless after its end", func(c net.Conn, id string) {
			fmt.Fprintf(c, head("Content-Length: 4\r\n")+"full"+strings.Repeat("x", 1000), id)
			brtest.WriteForever(c, strings.Repeat("x", 1000))
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
				id, _ := e.read(r)
				test.body(c, id)
				serve(e, c, r)
			}, serve)
			p := newPool()
			defer p.Close()
			x, err := p.Send(context.Background(), e.address, Request{ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
			if err != nil {
				t.Fatal(err)
			}
			x.Discard() // must not wait for hold
			p.background.Wait()
			if body, err := send(p, e.address, "2", "POST"); err != nil || body != "2" {
				t.Errorf("body %q, error %v, want body 2", body, err)
			}
			if got := p.Stats().Reused == 1; got != test.reused {
				t.Errorf("connection reused: %v, want %v", got, test.reused)
			}
		})
	}
}

// TestBytesAfterResponse guards against reusing a connection on which an endpoint sends
// bytes after a complete response, and against taking such bytes for the next response
// if they arrive only when the connection is in use again.
func TestBytesAfterResponse(t *testing.T) {
	extra := strings.Repeat("x", 1000)
	for _, test := range []struct {
		name   string
		reused bool // the bytes arrive after the next request
	}{
		{"while idle", false},
		{"in use", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			idle, done := make(chan struct{}), make(chan struct{})
			e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
				id, _ := e.read(r)
				respond(c, id, id)
				if test.reused {
					e.read(r)
				} else {
					<-idle
				}
				brtest.WriteForever(c, extra)
				close(done)
			}, serve)
			p := newPool()
			defer p.Close()
			if body, err := send(p, e.address, "1", "POST"); err != nil || body != "1" {
				t.Fatalf("body %q, error %v, want body 1", body, err)
			}
			close(idle)
			if !test.reused {
				awaitUnusable(t, p, e.address)
			}
			body, err := send(p, e.address, "2", "POST")
			var sent *SendError
			if test.reused && (!errors.As(err, &sent) || !sent.MaybeSent) {
				t.Errorf("body %q, error %v, want a SendError with MaybeSent set", body, err)
			}
			if !test.reused && (err != nil || body != "2") {
				t.Errorf("body %q, error %v, want body 2", body, err)
			}
			if got := p.Stats().Reused == 1; got != test.reused {
				t.Errorf("connection reused: %v, want %v", got, test.reused)
			}
			awaitClosed(t, done)
		})
	}
}

// awaitUnusable waits until bytes have arrived on the idle connection to address.
func awaitUnusable(t *testing.T, p *Pool, address string) {
	t.Helper()
	p.mu.Lock()
	c := p.idle[address][0]
	p.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); reusable(c.net); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no bytes on the idle connection after 5 s")
		}
	}
}
