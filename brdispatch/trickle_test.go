package brdispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brtest"
)

// TestTricklingEngine guards against a completion that never ends because its engine sends a
// byte now and then that belongs to no token: in a header, in a line or in the body of a
// failure, to the request or to a resume.
func TestTricklingEngine(t *testing.T) {
	const stuckTimeout = 500 * time.Millisecond
	trickle := func(head, part string) http.HandlerFunc {
		return brtest.RawConnHandler(t, func(c *net.TCPConn) {
			for _, err := io.WriteString(c, head); err == nil; _, err = io.WriteString(c, part) {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for _, test := range []struct{ name, head, part string }{
		{"status line", "", "H"},
		{"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		{"line", eventStreamHead, "x"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"comments after the last chunk", eventStreamHead + chunk(id, 0, 2, "length"), ": x\n"},
		{"failure", "HTTP/1.1 500 Failed\r\n\r\n", "x"},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				t.Parallel()
				handler := trickle(test.head, test.part)
				address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch r.Method {
					case method:
						handler(w, r)
					case http.MethodPost:
						brtest.RawHandler(t, eventStreamHead+chunk(id, 0, 2, ""))(w, r)
					}
				}))
				ctx, cancel := context.WithTimeout(t.Context(), 10*stuckTimeout)
				defer cancel()
				c := &brdispatch.Client{DialTimeout: patience}
				defer c.Close()
				result, err := c.Complete(ctx, brdispatch.Request{RequestID: id, Address: address, StuckTimeout: stuckTimeout})
				if ctx.Err() != nil || result.Complete || !brerror.Is(err, brerror.Stuck) && !brerror.Is(err, brerror.EndpointFailed) {
					t.Errorf("result %+v, error %v, want kind Stuck or EndpointFailed within %v", result, err, 10*stuckTimeout)
				}
			})
		}
	}
}

// TestCanceledDuringFailure guards against a completion that goes on after the end of its
// context while the engine sends the body of a failure.
func TestCanceledDuringFailure(t *testing.T) {
	address := startServer(t, brtest.CutHandler(t, "HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n\r\npart", brtest.Silent))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	c := &brdispatch.Client{DialTimeout: patience, StallTimeout: patience}
	defer c.Close()
	began := time.Now()
	if _, err := c.Complete(ctx, brdispatch.Request{RequestID: id, Address: address}); time.Since(began) > patience/2 {
		t.Errorf("ended with %v after %v, want within 200 ms and a margin", err, time.Since(began))
	}
}
