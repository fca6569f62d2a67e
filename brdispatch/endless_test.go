package brdispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brtest"
)

// TestEndlessHead guards against an endpoint that takes the memory of the process with
// a response header, or informational responses, without end.
func TestEndlessHead(t *testing.T) {
	for _, test := range []struct{ name, head, part string }{
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startServer(t, brtest.EndlessHandler(t, test.head, test.part))
			brtest.CheckAllocated(t, func() {
				c := &brdispatch.Client{}
				_, res, err := c.Call(context.Background(), brdispatch.Call{RequestID: id, Address: address, Method: http.MethodPost, Path: "/x"})
				if !brerror.Is(err, brerror.EndpointFailed) || !res.Dispatched {
					t.Errorf("result %+v, error %v, want a dispatched call and kind EndpointFailed", res, err)
				}
			})
		})
	}
}
