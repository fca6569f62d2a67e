package brproxy

import (
	"net/http"
	"testing"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestResumedStreamStartsAgain guards against events that a caller gets twice, and
// against events of two runs in one stream, since the second endpoint ignores
// Last-Event-Id and runs the request anew.
func TestResumedStreamStartsAgain(t *testing.T) {
	testSecondAnswers(t, []secondAnswerTest{
		{"starts again", streamOf(1, 3), brokenOff},
		{"starts again after a comment", chunkedHead + inChunk(":\n\n"+event(1)+event(2)+event(3)), brokenOff},
		{"repeats the last event", streamOf(2, 3), brokenOff},
	})
}

// TestCallerResumesStream guards against events that a caller gets twice, since the
// endpoint starts the stream again that the caller resumes. Another endpoint may go on
// with it.
func TestCallerResumesStream(t *testing.T) {
	for _, test := range []struct {
		name, path   string
		startsAgain  int // number of endpoints that do
		want         rawResponse
		wantArrivals int
	}{
		{"goes on", "/resume/", 0, rawResponse{200, event(3), true}, 1},
		{"one starts again", "/resume/", 1, rawResponse{200, event(3), true}, 2},
		{"both start again", "/resume/", 2, rawResponse{502, "", true}, 2},
		{"route without resumption", "/stream/", 2, rawResponse{200, event(1) + event(2) + event(3), true}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			left := make(chan struct{}, 2)
			for range test.startsAgain {
				left <- struct{}{}
			}
			handler := func(w http.ResponseWriter, r *http.Request) {
				first := 3
				select {
				case <-left:
					first = 1
				default:
				}
				brtest.RawHandler(t, streamOf(first, 3))(w, r)
			}
			s := newSystem(t, handler, handler)
			got := s.doRaw(t, "HTTP/1.1", test.path, "Last-Event-Id: 2\r\n")
			if got.Status == http.StatusBadGateway {
				got.Body = "" // the reason
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response (-want +got): %s", diff)
			}
			if n := s.arrivals(); n != test.wantArrivals {
				t.Errorf("%d arrivals, want %d", n, test.wantArrivals)
			}
		})
	}
}
