package brdispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"bramleyroute/brdispatch"
	"bramleyroute/brerror"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

const (
	eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n"
	plainHead       = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
)

// TestBrokenOffResponseOfService guards against a response of a plain service that was
// broken off and that is stored and forwarded as a complete one.
func TestBrokenOffResponseOfService(t *testing.T) {
	const event = "data: a\n\n"
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		body    string // empty if the call has to fail
	}{
		{"events, whole", brtest.RawHandler(t, eventStreamHead+event+event), event + event},
		{"events, end inside one", brtest.RawHandler(t, eventStreamHead+event+"data: b"), ""},
		{"events, none", brtest.RawHandler(t, eventStreamHead), ""},
		{"events, reset", brtest.RawResetHandler(t, eventStreamHead+event), ""},
		{"events with a length, end inside one", brtest.RawHandler(t,
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n"+event+"data: b"), ""},
		{"plain, closed", brtest.RawHandler(t, plainHead+"data: b"), "data: b"},
		{"plain, reset", brtest.RawResetHandler(t, plainHead+"data: b"), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &brdispatch.Client{}
			response, result, err := c.Call(context.Background(), brdispatch.Call{
				RequestID: id, Address: startServer(t, test.handler), Method: http.MethodPost, Path: "/x",
			})
			if diff := cmp.Diff(test.body, string(response.Body)); diff != "" {
				t.Errorf("body (-want +got): %s", diff)
			}
			want := test.body != ""
			if result.Complete != want || !result.Dispatched || !want && !brerror.Is(err, brerror.EndpointFailed) {
				t.Errorf("result %+v, error %v, want complete %v and otherwise kind EndpointFailed", result, err, want)
			}
		})
	}
}

// TestBrokenOffCompletion guards against a completion whose connection ended without
// a reset and that is forwarded as a complete one.
func TestBrokenOffCompletion(t *testing.T) {
	head, last := chunk(id, 0, 2, ""), chunk(id, 2, 3, "length")
	for i, sent := range []string{"", head, head + last[:len(last)-3], head + last, head + last + done[:len(done)-4]} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			posted := false
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if posted {
					http.NotFound(w, r)
					return
				}
				posted = true
				brtest.RawHandler(t, eventStreamHead+sent)(w, r)
			}))
			c := &brdispatch.Client{ResumeAttempts: 1}
			result, err := c.Complete(context.Background(), brdispatch.Request{RequestID: id, Address: address})
			if result.Complete || !brerror.Is(err, brerror.EndpointFailed) {
				t.Errorf("result %+v, error %v, want an incomplete one and kind EndpointFailed", result, err)
			}
		})
	}
}
