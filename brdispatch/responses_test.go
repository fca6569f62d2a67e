package brdispatch_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brtest"
)

// TestUnfinishedResponses guards against services that take the memory of the process with
// responses that stop short of their end, so that others can't respond.
func TestUnfinishedResponses(t *testing.T) {
	const calls, size, limit = 20, 1 << 20, 4 << 20
	unfinished := brtest.ServeConns(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1<<10))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
		_, _ = c.Read(make([]byte, 1)) // until the client closes
	})
	sound := brtest.ServeConns(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1<<10))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	})
	client := &brdispatch.Client{Responses: brbuffer.New(brbuffer.Config{Bytes: limit})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	call := func(address string) (brdispatch.Response, error) {
		response, _, err := client.Call(ctx, brdispatch.Call{RequestID: id, Address: address, Method: http.MethodGet, Path: "/"})
		response.Buffer.Release()
		return response, err
	}
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() {
			if _, err := call(unfinished); !brerror.Is(err, brerror.EndpointFailed) && !brerror.Is(err, brerror.Canceled) {
				t.Errorf("unfinished response: %v, want kind endpoint_failed or canceled", err)
			}
		})
	}
	brtest.Await(t, 10*time.Second, "most responses have given way", func() bool {
		return client.Responses.Stats().Refused > 0
	})
	brtest.Await(t, 10*time.Second, "a complete response beside them", func() bool {
		response, err := call(sound)
		return err == nil && len(response.Body) == size
	})
	cancel()
	ended.Wait()
	if held := client.Responses.Stats().HeldBytes; held != 0 {
		t.Errorf("%d bytes held in the end", held)
	}
}
