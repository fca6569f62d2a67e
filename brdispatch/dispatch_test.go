package brdispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
)

const id = "0190a1b2-0000-7000-8000-00000000beef"

// chunk returns the event of a chunk of request rid.
func chunk(rid string, offset, tokens int, finish string) string {
	c := brengine.Chunk{ID: rid, Offset: offset, Tokens: tokens, Choices: []brengine.Choice{{Text: brfake.Text(rid, offset, offset+tokens), FinishReason: finish}}}
	if finish != "" {
		c.Usage = &brengine.Usage{CompletionTokens: offset + tokens}
	}
	b, _ := json.Marshal(c)
	return "data: " + string(b) + "\n\n"
}

const done = "data: " + brengine.DoneMarker + "\n\n"

// scriptedEngine is an engine that responds to the n-th exchange with the n-th element
// of responses, or the last one. A response that ends with "CLOSE" closes the
// connection; another one without the end marker leaves it open and idle. One that
// begins with "404" is sent as status 404.
type scriptedEngine struct {
	responses []string
	posts     atomic.Int32
	exchanges atomic.Int32
	offsets   []string
	cancels   chan struct{}
}

func (s *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.cancels <- struct{}{}
		return
	}
	if r.Method == http.MethodPost {
		s.posts.Add(1)
	}
	n := int(s.exchanges.Add(1)) - 1
	s.offsets = append(s.offsets, r.URL.Query().Get("offset"))
	text, closing := strings.CutSuffix(s.responses[min(n, len(s.responses)-1)], "CLOSE")
	if strings.HasPrefix(text, "404") {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write([]byte(text))
	_ = http.NewResponseController(w).Flush()
	if closing {
		panic(http.ErrAbortHandler)
	}
	if !strings.HasSuffix(text, done) {
		<-r.Context().Done()
	}
}

// startServer starts an HTTP server with handler h and returns its address.
func startServer(tb testing.TB, h http.Handler) string {
	tb.Helper()
	srv := httptest.NewServer(h)
	tb.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against responses with missing, repeated or another request's tokens, and
// against a second dispatch where the stream must be resumed.
func TestStreamIsComplete(t *testing.T) {
	head, tail := chunk(id, 0, 2, ""), chunk(id, 2, 3, "length")+done
	for _, tt := range []struct {
		name    string
		texts   []string
		offsets string
		count   func(*brdispatch.Counters) int64
	}{
		{"no fault", []string{head + tail}, "", nil},
		{"stalled connection", []string{head, tail}, ",2", func(c *brdispatch.Counters) int64 { return c.Stalls.Load() }},
		{"closed connection", []string{head + "CLOSE", tail}, ",2", func(c *brdispatch.Counters) int64 { return c.Resumes.Load() }},
		{"missing chunk", []string{head + chunk(id, 3, 2, "length") + done, tail}, ",2", func(c *brdispatch.Counters) int64 { return c.OffsetMismatches.Load() }},
		{"overlapping chunk", []string{head + chunk(id, 1, 4, "length") + done, tail}, ",2", func(c *brdispatch.Counters) int64 { return c.OffsetMismatches.Load() }},
		{"repeated chunk", []string{head + head + tail}, "", func(c *brdispatch.Counters) int64 { return c.RepeatedChunks.Load() }},
		{"other request's chunk", []string{head + chunk("other", 2, 3, "length") + tail}, "", func(c *brdispatch.Counters) int64 { return c.OtherRequestChunks.Load() }},
		{"end marker too early", []string{head + done, tail}, ",2", func(c *brdispatch.Counters) int64 { return c.Resumes.Load() }},
		{"malformed chunk", []string{head + "data: {\"id\":\n\n", tail}, ",2", func(c *brdispatch.Counters) int64 { return c.Resumes.Load() }},
		{"no response, then request not yet known", []string{"CLOSE", "404", head + tail}, ",0,0", func(c *brdispatch.Counters) int64 { return c.Resumes.Load() - 1 }},
		{"last chunk lost", []string{chunk(id, 0, 5, "") + "CLOSE", chunk(id, 5, 0, "length") + done}, ",5", func(c *brdispatch.Counters) int64 { return c.Resumes.Load() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedEngine{responses: tt.texts, cancels: make(chan struct{}, 1)}
			c := &brdispatch.Client{StallTimeout: 50 * time.Millisecond, ResumeBackoff: time.Millisecond}
			var text string
			res, err := c.Complete(context.Background(), brdispatch.Request{RequestID: id, Address: startServer(t, s),
				Chunk: func(ch *brdispatch.Chunk) error { text += string(ch.Text); return nil }})
			if err != nil || !res.Complete || !res.Dispatched || res.NextOffset != 5 {
				t.Fatalf("result %+v, error %v, want a dispatched and complete request with 5 tokens", res, err)
			}
			if text != brfake.Text(id, 0, 5) {
				t.Errorf("text is %q, want the complete text of 5 tokens", text)
			}
			if n := s.posts.Load(); n != 1 {
				t.Errorf("%d dispatches, want 1", n)
			}
			if got := strings.Join(s.offsets, ","); got != tt.offsets {
				t.Errorf("requested offsets are %q, want %q", got, tt.offsets)
			}
			if tt.count != nil && tt.count(&c.Counters) != 1 {
				t.Error("counter of the fault is not 1")
			}
		})
	}
}

// Guards against endless resumes, against a stuck stream that is never ended, and
// against a request that goes on at the engine after the client has ended it.
func TestStreamEnds(t *testing.T) {
	errDisconnected := errors.New("caller disconnected")
	for _, tt := range []struct {
		name         string
		texts        []string
		stuckTimeout time.Duration
		chunk        func(*brdispatch.Chunk) error
		want         brerror.Kind
	}{
		{"resumes fail", []string{chunk(id, 0, 2, "") + "CLOSE", "404"}, 0, nil, brerror.EndpointFailed},
		{"keep-alives without tokens", []string{strings.Repeat(": keep-alive\n\n", 3)}, time.Microsecond, nil, brerror.Stuck},
		{"caller disconnected", []string{chunk(id, 0, 2, "")}, 0, func(*brdispatch.Chunk) error { return errDisconnected }, brerror.Canceled},
		{"canceled at the engine", []string{chunk(id, 0, 0, "canceled") + done}, 0, nil, brerror.Canceled},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedEngine{responses: tt.texts, cancels: make(chan struct{}, 1)}
			c := &brdispatch.Client{StallTimeout: 50 * time.Millisecond, ResumeBackoff: time.Millisecond, ResumeAttempts: 2}
			res, err := c.Complete(context.Background(), brdispatch.Request{RequestID: id, Address: startServer(t, s), Chunk: tt.chunk, StuckTimeout: tt.stuckTimeout})
			if !brerror.Is(err, tt.want) || res.Complete || !res.Dispatched {
				t.Errorf("result %+v, error %v, want a dispatched, incomplete request and kind %v", res, err, tt.want)
			}
			<-s.cancels
			c.Close()
		})
	}
}

// Guards against repeating a request when the endpoint reads it and closes the
// connection: http.Transport repeats GET, and POST with an idempotency key.
func TestRequestIsNotRepeatedAfterClose(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, header := range []string{"X-Other", "Idempotency-Key", "X-Idempotency-Key"} {
			t.Run(method+" "+header, func(t *testing.T) {
				var received, withKey atomic.Int32
				address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/warm" {
						return
					}
					received.Add(1)
					if strings.Contains(header, "Idempotency") && r.Header.Get(header) != "" {
						withKey.Add(1)
					}
					panic(http.ErrAbortHandler)
				}))
				c := &brdispatch.Client{}
				if _, _, err := c.Call(context.Background(), brdispatch.Call{Address: address, Method: method, Path: "/warm"}); err != nil {
					t.Fatal(err)
				}
				_, res, err := c.Call(context.Background(), brdispatch.Call{RequestID: id, Address: address, Method: method,
					Path: "/book?a=1", Header: http.Header{header: {"k"}}, Body: []byte("body")})
				if !brerror.Is(err, brerror.EndpointFailed) || !res.Dispatched {
					t.Errorf("result %+v, error %v, want a dispatched call and kind EndpointFailed", res, err)
				}
				if received.Load() != 1 || withKey.Load() != 0 {
					t.Errorf("call was received %d times, want 1; key was forwarded %d times, want 0", received.Load(), withKey.Load())
				}
			})
		}
	}
}

// Guards against a result that reports a request as not dispatched although a byte may
// have been written, or as dispatched although none was.
func TestBoundary(t *testing.T) {
	var received atomic.Int32
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { received.Add(1); _, _ = w.Write([]byte("x")) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	errStale := errors.New("grant is stale")
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tt := range []struct {
		name     string
		ctx      context.Context
		address  string
		boundary error
		want     func(error) bool
	}{
		{"refused connection", context.Background(), ln.Addr().String(), nil, func(err error) bool { return brerror.Is(err, brerror.EndpointUnavailable) }},
		{"boundary refuses", context.Background(), address, errStale, func(err error) bool { return errors.Is(err, errStale) }},
		{"canceled before", canceled, address, nil, func(err error) bool { return brerror.Is(err, brerror.EndpointUnavailable) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &brdispatch.Client{}
			calls := 0
			boundary := func() error { calls++; return tt.boundary }
			res, err := c.Complete(tt.ctx, brdispatch.Request{RequestID: id, Address: tt.address, Boundary: boundary})
			_, resCall, errCall := c.Call(tt.ctx, brdispatch.Call{RequestID: id, Address: tt.address, Method: "GET", Path: "/", Boundary: boundary})
			if res.Dispatched || resCall.Dispatched || !tt.want(err) || !tt.want(errCall) {
				t.Errorf("Complete returned %+v, %v and Call %+v, %v; want nothing dispatched and the error of the case", res, err, resCall, errCall)
			}
			if calls > 0 && tt.boundary == nil {
				t.Error("boundary was called although the dial failed or the context was canceled")
			}
		})
	}
	if received.Load() != 0 {
		t.Errorf("endpoint received %d requests, want 0", received.Load())
	}
}

// Guards against a result that reports a call as not dispatched although the endpoint
// received it. The context is canceled at varying moments while the call starts.
func TestCancelRacesStart(t *testing.T) {
	var seen atomic.Int32
	address := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
	c := &brdispatch.Client{}
	sent := int32(0)
	for i := range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for range i * 20 {
				_ = ctx.Err()
			}
			cancel()
		}()
		if _, res, _ := c.Call(ctx, brdispatch.Call{RequestID: id, Address: address, Method: "GET", Path: "/"}); res.Dispatched {
			sent++
		}
		cancel()
	}
	if n := seen.Load(); n > sent {
		t.Errorf("endpoint received %d requests, but only %d were reported as dispatched", n, sent)
	}
}

func Example() {
	srv := httptest.NewServer(&scriptedEngine{responses: []string{chunk(id, 0, 2, "length") + done}})
	defer srv.Close()
	c := &brdispatch.Client{}
	res, err := c.Complete(context.Background(), brdispatch.Request{
		RequestID: id, Address: srv.Listener.Addr().String(),
		Boundary: func() error { fmt.Println("boundary"); return nil },
		Chunk:    func(ch *brdispatch.Chunk) error { fmt.Printf("%q\n", ch.Text); return nil },
	})
	fmt.Println(res.NextOffset, res.FinishReason, err)
	// Output:
	// boundary
	// "0000beef:0 0000beef:1 "
	// 2 length <nil>
}
