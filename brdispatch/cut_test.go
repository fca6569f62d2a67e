package brdispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brtest"
)

// callTimeout is the timeout of the calls of these tests.
const callTimeout = 200 * time.Millisecond

// callCut calls a service whose response is cut and ends as e says.
func callCut(t *testing.T, response string, e brtest.Ending) (brdispatch.Response, brdispatch.Result, error) {
	t.Helper()
	server := startServer(t, brtest.CutHandler(t, response, e))
	return (&brdispatch.Client{}).Call(context.Background(), brdispatch.Call{
		RequestID: id, Address: server, Method: http.MethodPost, Path: "/x", Timeout: callTimeout,
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
	r := brtest.SoundResponses("", "whole content")[0]
	for sent := 1; sent < len(r.Head); sent++ {
		t.Run(r.String()[:sent], func(t *testing.T) {
			t.Parallel()
			server := startServer(t, brtest.RawConnHandler(t, func(c *net.TCPConn) {
				io.WriteString(c, r.String()[:sent])
				time.Sleep(callTimeout + 100*time.Millisecond) // a call ends after its timeout and that of a dial
				io.WriteString(c, r.String()[sent:])
			}))
			response, _, err := (&brdispatch.Client{}).Call(context.Background(), brdispatch.Call{
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
		response, result, err := (&brdispatch.Client{}).Call(context.Background(), brdispatch.Call{
			RequestID: id, Address: server, Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("x", 16<<20)),
		})
		if !brerror.Is(err, brerror.EndpointFailed) || !result.Lost {
			t.Errorf("body %q, result %+v, error %v, want kind EndpointFailed of a lost service", response.Body, result, err)
		}
	}
}
