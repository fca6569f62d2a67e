package brpeer

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brerror"
	"go.uber.org/goleak"
)

type echo struct {
	Text string `cbor:"text"`
}

func newTestServer(t *testing.T, keys Keys, mux *Mux) (address string) {
	t.Helper()
	s := &Server{Mux: mux, Keys: keys}
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return strings.TrimPrefix(h.URL, "http://")
}

// Guards against calls in the two directions of one link that get each other's replies,
// and against errors that lose their kind or retry delay in transit.
func TestCallsInBothDirections(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var serverMux, clientMux Mux
	HandleCall(&clientMux, "name", func(ctx context.Context, c *Conn, e echo) (echo, error) {
		return echo{e.Text + " from client"}, nil
	})
	HandleCall(&serverMux, "ask", func(ctx context.Context, c *Conn, e echo) (echo, error) {
		return Call[echo, echo](ctx, c, "name", e)
	})
	HandleCall(&serverMux, "fail", func(ctx context.Context, c *Conn, e echo) (echo, error) {
		return echo{}, brerror.New(brerror.NotOwner, "pool moved").WithRetryAfter(time.Second)
	})
	s := &Server{Mux: &serverMux, Keys: Keys{"new", "old"}}
	h := httptest.NewServer(s)
	defer h.Close()
	defer s.Close()
	address := strings.TrimPrefix(h.URL, "http://")

	c, err := Dial(ctx, address, Keys{"old"}, &clientMux)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := Call[echo, echo](ctx, c, "ask", echo{"x"})
	if err != nil || got.Text != "x from client" {
		t.Errorf("ask returned %q, %v, want the reply of the nested call", got.Text, err)
	}
	_, err = Call[echo, echo](ctx, c, "fail", echo{})
	if !brerror.Is(err, brerror.NotOwner) || brerror.From(err).RetryAfter != time.Second {
		t.Errorf("fail returned %v, want kind not_owner with a retry delay of 1s", err)
	}
	if _, err := Dial(ctx, address, Keys{"wrong"}, nil); err == nil {
		t.Error("Dial with an unknown key succeeded")
	}
}

// Guards against a pending call that never returns after its connection closes, and
// against a Link that doesn't reconnect.
func TestLinkReconnects(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var mux Mux
	HandleCall(&mux, "hang", func(ctx context.Context, c *Conn, e echo) (echo, error) {
		c.Abort(ErrClosed)
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	HandleCall(&mux, "echo", func(ctx context.Context, c *Conn, e echo) (echo, error) { return e, nil })
	l := NewLink(newTestServer(t, nil, &mux), nil, nil, nil)
	defer l.Close()
	c, err := l.Wait(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Call[echo, echo](ctx, c, "hang", echo{}); !errors.Is(err, ErrClosed) {
		t.Errorf("call on a closed connection returned %v, want ErrClosed", err)
	}
	<-c.Done()
	for {
		if c, err = l.Wait(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := Call[echo, echo](ctx, c, "echo", echo{"again"}); err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatal("link did not reconnect")
		}
	}
}

// TestHandlerPanics guards against a message that ends the process because its handler
// panics. A call fails, and a push closes its connection; other connections go on.
func TestHandlerPanics(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	names := make(chan string, 2)
	mux := Mux{OnPanic: func(name string, _ any, stack []byte) {
		if len(stack) == 0 {
			t.Error("OnPanic without a stack")
		}
		names <- name
	}}
	var nothing map[string]int
	HandleCall(&mux, "call", func(_ context.Context, _ *Conn, e echo) (echo, error) {
		if e.Text != "" {
			nothing["x"] = 1
		}
		return e, nil
	})
	HandlePush(&mux, "push", func(*Conn, echo) { nothing["x"] = 1 })
	address := newTestServer(t, nil, &mux)
	dial := func() *Conn {
		t.Helper()
		c, err := Dial(ctx, address, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	c, other := dial(), dial()
	if _, err := Call[echo, echo](ctx, c, "call", echo{"x"}); err == nil {
		t.Error("call of a handler that panics succeeded")
	}
	if _, err := Call[echo, echo](ctx, c, "call", echo{}); err != nil {
		t.Errorf("call after one that panicked: %v", err)
	}
	if err := Push(c, "push", echo{}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-c.Done():
	case <-ctx.Done():
		t.Error("connection still open after a push whose handler panicked")
	}
	if _, err := Call[echo, echo](ctx, other, "call", echo{}); err != nil {
		t.Errorf("call on another connection: %v", err)
	}
	if a, b := <-names, <-names; a != "call" || b != "push" {
		t.Errorf("OnPanic called for %q and %q, want call and push", a, b)
	}
}
