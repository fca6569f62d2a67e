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
	"sync"
	"testing"
	"time"

	"bramleyroute/brevent"
)

// endpoint is a scripted endpoint. Each connection is served by the next script; the
// last script serves all further connections.
type endpoint struct {
	address      string
	mu           sync.Mutex
	requestLines []string // request lines in the order of their arrival
}

// script serves one connection.
type script func(e *endpoint, c net.Conn, r *bufio.Reader)

func startEndpoint(t *testing.T, scripts ...script) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &endpoint{address: l.Addr().String()}
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				scripts[min(i, len(scripts)-1)](e, c, bufio.NewReader(c))
			}()
		}
	}()
	return e
}

// read reads a request, records its request line and returns its ID.
func (e *endpoint) read(r *bufio.Reader) (id string, ok bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestLines = append(e.requestLines, q.Method+" "+q.RequestURI)
	return q.Header.Get("Id"), true
}

func (e *endpoint) arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requestLines)
}

func respond(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// serve responds to every request with its ID as the body.
func serve(e *endpoint, c net.Conn, r *bufio.Reader) {
	for {
		id, ok := e.read(r)
		if !ok {
			return
		}
		respond(c, id, id)
	}
}

func newPool() *Pool {
	return &Pool{Matches: func(id string, a *Response) bool { return a.Header.Get("Id") == id }}
}

func send(p *Pool, address, id, method string) (string, error) {
	x, err := p.Send(context.Background(), address, Request{
		ID: id, Method: method, URI: "/x?y=%2f", Host: "h", Header: http.Header{"Id": {id}, "Idempotency-Key": {id}},
	})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

// TestNoSecondDispatch guards against a pool that sends a request again when a
// persistent connection fails: the endpoint reads the request and closes the
// connection without a response.
func TestNoSecondDispatch(t *testing.T) {
	for _, method := range []string{"POST", "GET", "PUT"} {
		e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			id, _ := e.read(r)
			respond(c, id, id)
			e.read(r) // the connection is closed without a response
		}, serve)
		p := newPool()
		if _, err := send(p, e.address, "1", method); err != nil {
			t.Fatal(err)
		}
		_, err := send(p, e.address, "2", method)
		var sent *SendError
		if !errors.As(err, &sent) || !sent.MaybeSent {
			t.Errorf("%s: error %v, want a SendError with MaybeSent set", method, err)
		}
		if got := e.arrivals(); got != 2 {
			t.Errorf("%s: endpoint received %d requests, want 2", method, got)
		}
		p.Close()
	}
}

// TestClosedIdleConnection guards against sending a request on an idle connection
// that the endpoint has closed. The pool has to detect this before it writes.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _ := e.read(r)
		respond(c, id, id)
		c.Close()
		close(closed)
	}, serve)
	p := newPool()
	defer p.Close()
	if _, err := send(p, e.address, "1", "POST"); err != nil {
		t.Fatal(err)
	}
	<-closed
	awaitNotReusable(t, p, e.address)
	if body, err := send(p, e.address, "2", "POST"); err != nil || body != "2" {
		t.Errorf("body %q, error %v, want body 2", body, err)
	}
}

// awaitNotReusable waits until the only idle connection is detected as closed.
func awaitNotReusable(t *testing.T, p *Pool, address string) {
	t.Helper()
	p.mu.Lock()
	c := p.idle[address][0]
	p.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); reusable(c.net); {
		if time.Now().After(deadline) {
			t.Fatal("connection closed by the endpoint is still reusable after 5 s")
		}
	}
}

// TestRefusedDial guards against reporting a request as sent when the dial failed.
func TestRefusedDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = send(newPool(), address, "1", "POST")
	var sent *SendError
	if !errors.As(err, &sent) || sent.MaybeSent {
		t.Errorf("error %v, want a SendError without MaybeSent set", err)
	}
}

// TestMismatchedResponse guards against returning a late or excess response to the
// next request on the connection.
func TestMismatchedResponse(t *testing.T) {
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _ := e.read(r)
		respond(c, id, id)
		id, _ = e.read(r)
		respond(c, "1", "late")
		respond(c, id, id)
		e.read(r)
	})
	p := newPool()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if body, err := send(p, e.address, id, "POST"); err != nil || body != id {
			t.Errorf("request %s: body %q, error %v, want its ID as the body", id, body, err)
		}
	}
}

// TestExcessBytes guards against reusing a connection on which the endpoint sent
// more than the response.
func TestExcessBytes(t *testing.T) {
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _ := e.read(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nfake", id)
		e.read(r)
	}, serve)
	p := newPool()
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		if body, err := send(p, e.address, id, "POST"); err != nil || body != id {
			t.Errorf("request %s: body %q, error %v, want its ID as the body", id, body, err)
		}
	}
	if s := p.Stats(); s.Dialed != 2 {
		t.Errorf("%d connections, want 2", s.Dialed)
	}
}

// TestEarlyResponse guards against reusing a connection whose endpoint responded
// before it read the whole request body: it would read the next request as the rest
// of that body.
func TestEarlyResponse(t *testing.T) {
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(c, q.Header.Get("Id"), "no")
		time.Sleep(time.Second) // the request body stays unread
	}, serve)
	p := newPool()
	defer p.Close()
	x, err := p.Send(context.Background(), e.address, Request{
		ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: make([]byte, 32<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(x); err != nil {
		t.Fatal(err)
	}
	x.Close()
	if body, err := send(p, e.address, "2", "POST"); err != nil || body != "2" {
		t.Errorf("body %q, error %v, want body 2", body, err)
	}
	if s := p.Stats(); s.Dialed != 2 {
		t.Errorf("%d connections, want 2", s.Dialed)
	}
}

// TestIncompleteResponse guards against returning a truncated response as a complete
// one.
func TestIncompleteResponse(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 10\r\n\r\nshort",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			id, _ := e.read(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", id, head)
		})
		if _, err := send(newPool(), e.address, "1", "POST"); err == nil {
			t.Errorf("no error for the truncated response %q", head)
		}
	}
}

// TestCancelClosesConnection guards against an endpoint that continues to process a
// request after its context was canceled.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		e.read(r)
		close(arrived)
		r.ReadByte() // returns when the connection is closed
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := newPool().Send(ctx, e.address, Request{ID: "1", Method: "POST", URI: "/", Host: "h"})
		done <- err
	}()
	<-arrived
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("connection still open at the endpoint 5 s after the cancellation")
	}
}

// TestEventReader guards against returning an incomplete event, and against taking a
// truncated stream for a complete one.
func TestEventReader(t *testing.T) {
	parts := []string{"id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\nid: 3\ndata: c\n\n", "id: 4\ndata: cut"}
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _ := e.read(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for _, part := range parts {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		}
	})
	x, err := newPool().Send(context.Background(), e.address, Request{ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	events := NewEventReader(x)
	var got strings.Builder
	for {
		b, err := events.Next()
		if err != nil {
			if err == io.EOF {
				t.Error("Next returned io.EOF at the end of a truncated stream, want another error")
			}
			break
		}
		got.Write(b)
	}
	if want := strings.Join(parts[:3], ""); got.String() != want {
		t.Errorf("got %q, want %q", got.String(), want)
	}
	if id := brevent.LastID([]byte(got.String())); id != "3" {
		t.Errorf("last event ID %q, want 3", id)
	}
}
