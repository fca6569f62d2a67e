package brdispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
)

// patience is a timeout that isn't to pass, also on a busy machine.
const patience = 10 * time.Second

// callCut calls a service whose response is cut and ends as e says.
func callCut(t *testing.T, response string, e brtest.Ending) (brdispatch.Response, brdispatch.Result, error) {
	t.Helper()
	server := startServer(t, brtest.CutHandler(t, response, e))
	return (&brdispatch.Client{DialTimeout: patience}).Call(context.Background(), brdispatch.Call{
		RequestID: id, Address: server, Method: http.MethodPost, Path: "/x", Timeout: patience,
	})
}

// TestCutResponseOfService guards against a response of a plain service that breaks off at
// some byte of its head or body and is forwarded as a whole one, or that isn't known to have
// been ended by the service.
func TestCutResponseOfService(t *testing.T) {
	const content = "whole content"
	for _, r := range brtest.SoundResponses("", content) {
		for sent := len(r.String()); sent >= 0; sent-- {
			for _, ending := range []brtest.Ending{brtest.Closed, brtest.Reset} {
				part := r.String()[:sent]
				want, whole := content, sent == len(r.String())
				if r.Close && ending == brtest.Closed && sent > len(r.Head) {
					want, whole = part[len(r.Head):], true // as the framing says
				}
				response, result, err := callCut(t, part, ending)
				switch {
				case whole && err == nil && string(response.Body) == want:
				case whole && err == nil, whole && ending == brtest.Closed, !whole && err == nil:
					t.Errorf("%s, %v after %q: body %q, error %v", r.Name, ending, part, response.Body, err)
				case !brerror.Is(err, brerror.EndpointFailed) || !result.Lost || !result.Dispatched:
					t.Errorf("%s, %v after %q: result %+v, error %v, want a lost one", r.Name, ending, part, result, err)
				}
			}
		}
	}
}

// TestPauseInHead guards against a head that pauses inside a line for as long as the timeout
// and goes on: the part before the pause was taken for a line, so that the rest of the head
// became the beginning of the body.
func TestPauseInHead(t *testing.T) {
	const callTimeout = 200 * time.Millisecond
	r := brtest.SoundResponses("", "whole content")[0]
	for sent := 1; sent < len(r.Head); sent++ {
		t.Run(r.String()[:sent], func(t *testing.T) {
			t.Parallel()
			server := startServer(t, brtest.RawConnHandler(t, func(c *net.TCPConn) {
				io.WriteString(c, r.String()[:sent])
				time.Sleep(callTimeout + 100*time.Millisecond) // a call ends after its timeout and that of a dial
				io.WriteString(c, r.String()[sent:])
			}))
			response, _, err := (&brdispatch.Client{DialTimeout: patience}).Call(context.Background(), brdispatch.Call{
				RequestID: id, Address: server, Method: http.MethodPost, Path: "/x", Timeout: callTimeout,
			})
			if err == nil && string(response.Body) != r.Content || err != nil && !brerror.Is(err, brerror.Stuck) {
				t.Errorf("body %q, error %v, want the content or kind Stuck", response.Body, err)
			}
		})
	}
}

// TestResetWhileSending guards against a response that is marked by the end of the
// connection and counts as complete after a reset that only the write of the request has
// seen.
func TestResetWhileSending(t *testing.T) {
	server := startServer(t, brtest.RawConnHandler(t, func(c *net.TCPConn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // the write of the request waits for room
		c.SetLinger(0)
	}))
	for range 10 {
		response, result, err := (&brdispatch.Client{DialTimeout: patience}).Call(context.Background(), brdispatch.Call{
			RequestID: id, Address: server, Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", 16<<20)),
		})
		if !brerror.Is(err, brerror.EndpointFailed) || !result.Lost {
			t.Errorf("body %q, result %+v, error %v, want kind EndpointFailed of a lost service", response.Body, result, err)
		}
	}
}

// TestCutCompletion guards against a completion that breaks off at some byte of its head or
// body and is forwarded with missing, doubled or other tokens, or is dispatched again: the
// rest has to come from a resume, and the end from the end marker alone.
func TestCutCompletion(t *testing.T) {
	const silentStep = 41 // bytes between two cuts that silence follows, which take longest
	content := chunk(id, 0, 2, "") + chunk(id, 2, 3, "length") + done
	for _, r := range brtest.SoundResponses("Content-Type: text/event-stream\r\n", content) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			for sent := len(r.String()); sent >= 0; sent-- {
				for _, ending := range brtest.Endings {
					if ending != brtest.Silent || sent%silentStep == 0 {
						checkCutCompletion(t, content, r.String()[:sent], ending)
					}
				}
			}
		})
	}
}

// checkCutCompletion checks the completion of an engine that sends a part of its response
// with the given content, and the rest when it is resumed.
func checkCutCompletion(t *testing.T, content, part string, ending brtest.Ending) {
	var posts atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offset := r.URL.Query().Get("offset")
		switch {
		case r.Method == http.MethodPost:
			posts.Add(1)
			brtest.CutHandler(t, part, ending)(w, r)
		case offset == "0":
			brtest.RawHandler(t, eventStreamHead+content)(w, r)
		case offset == "2":
			brtest.RawHandler(t, eventStreamHead+chunk(id, 2, 3, "length")+done)(w, r)
		default: // the tokens were forwarded, but not the end marker
			brtest.RawHandler(t, eventStreamHead+done)(w, r)
		}
	}))
	defer engine.Close()
	text := ""
	c := &brdispatch.Client{DialTimeout: patience}
	if ending == brtest.Silent {
		c.StallTimeout, c.ResumeAttempts = 100*time.Millisecond, 20
	}
	result, err := c.Complete(t.Context(), brdispatch.Request{RequestID: id, Address: engine.Listener.Addr().String(),
		Chunk: func(c *brdispatch.Chunk) error { text += string(c.Text); return nil }})
	if err != nil || !result.Complete || text != brfake.Text(id, 0, 5) || posts.Load() > 1 {
		t.Errorf("%v after %q: text %q, %d dispatches, result %+v, error %v", ending, part, text, posts.Load(), result, err)
	}
}
