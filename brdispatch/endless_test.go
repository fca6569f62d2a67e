package brdispatch_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
)

// TestEndlessHead guards against an endpoint that takes the memory of the process with
// a response header, or informational responses, without end.
func TestEndlessHead(t *testing.T) {
	const maxHeldBytes = 12 << 20
	for _, test := range []struct{ name, head, part string }{
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("x", 1000) + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			part := []byte(test.part)
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, err = c.Write([]byte(test.head))
				for err == nil {
					_, err = c.Write(part)
				}
			}))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			c := &brdispatch.Client{}
			_, res, err := c.Call(context.Background(), brdispatch.Call{RequestID: id, Address: address, Method: http.MethodPost, Path: "/x"})
			runtime.ReadMemStats(&after)
			if !brerror.Is(err, brerror.EndpointFailed) || !res.Dispatched {
				t.Errorf("result %+v, error %v, want a dispatched call and kind EndpointFailed", res, err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxHeldBytes {
				t.Errorf("allocated %d bytes, want at most %d", n, maxHeldBytes)
			}
		})
	}
}
