package brproxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	twoEvents    = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	threeEvents  = twoEvents + "id: 3\ndata: c\n\n"
)

// inChunk returns body as a complete chunked body.
func inChunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// withLength returns a complete response with a length.
func withLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestBrokenOffStreamIsNotComplete guards against a stream that its endpoint broke off
// and that reaches the caller as a complete response.
func TestBrokenOffStreamIsNotComplete(t *testing.T) {
	type response struct {
		Status   int
		Body     string
		Complete bool
	}
	whole, broken, failed := response{200, threeEvents, true}, response{200, twoEvents, false}, response{502, "", true}
	tests := []struct {
		name, path string
		handler    http.HandlerFunc
		want       response
	}{
		{"no framing, whole", "/stream/", brtest.RawHandler(t, unframedHead+threeEvents), whole},
		{"no framing, ends inside an event", "/stream/", brtest.RawHandler(t, unframedHead+twoEvents+"id: 3\nda"), broken},
		{"no framing, ends inside an ID", "/stream/", brtest.RawHandler(t, unframedHead+twoEvents+"i"), broken},
		{"no framing, ends before the empty line of an event", "/stream/", brtest.RawHandler(t, unframedHead+twoEvents+"id: 3\ndata: c\n"), broken},
		{"no framing, ends inside the first event", "/stream/", brtest.RawHandler(t, unframedHead+"id: 1\nda"), failed},
		{"no framing, no event", "/stream/", brtest.RawHandler(t, unframedHead), failed},
		{"no framing, reset", "/stream/", brtest.RawResetHandler(t, unframedHead+twoEvents), broken},
		{"chunks, whole", "/stream/", brtest.RawHandler(t, chunkedHead+inChunk(threeEvents)), whole},
		{"chunks, end inside an event", "/stream/", brtest.RawHandler(t, chunkedHead+inChunk(twoEvents+"id: 3\nda")), broken},
		{"length, ends inside an event", "/stream/", brtest.RawHandler(t, withLength(twoEvents+"id: 3\nda")), broken},
		{"events of another success", "/stream/", brtest.RawHandler(t, strings.Replace(unframedHead, "200 OK", "201 Created", 1)+twoEvents+"id"), response{201, twoEvents, false}},
		{"events on a route for other responses", "/once/", brtest.RawHandler(t, unframedHead+twoEvents+"id"), broken},
		{"failure on a route for streams", "/stream/", brtest.RawHandler(t, "HTTP/1.1 500 Failed\r\n\r\nout of memory"), response{500, "out of memory", true}},
		{"no other endpoint to resume at", "/resume/", brtest.RawHandler(t, unframedHead+"id: 1\nda"), failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, test.handler)
			var got response
			got.Status, got.Body, got.Complete = s.do(t, "POST", test.path, nil)
			if got.Status == http.StatusBadGateway {
				got.Body = "" // the reason
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response (-want +got): %s", diff)
			}
			if n := s.arrivals(); n != 1 {
				t.Errorf("%d arrivals, want 1", n)
			}
		})
	}
}

// TestBrokenOffStreamIsResumed guards against a stream that another endpoint could
// resume but that ends at the point where its first endpoint broke it off.
func TestBrokenOffStreamIsResumed(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Last-Event-Id") {
		case "":
			brtest.RawHandler(t, unframedHead+twoEvents+"id: 3\nda")(w, r)
		case "2":
			brtest.RawHandler(t, unframedHead+threeEvents[len(twoEvents):])(w, r)
		}
	}
	s := newSystem(t, handler, handler)
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	if diff := cmp.Diff(threeEvents, body); diff != "" || status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
}
