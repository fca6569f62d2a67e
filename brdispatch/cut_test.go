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

// callTimeout is the timeout of the calls of these tests.
const callTimeout = 200 * time.Millisecond

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
