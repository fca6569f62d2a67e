package brproxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestResume guards against missing, duplicate or spliced events when a stream is
// resumed at another endpoint.
func TestResume(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			io.WriteString(w, event(1)+event(2)+"id: 3\nda")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		for i := last + 1; i <= 5; i++ {
			io.WriteString(w, event(i))
		}
	}
	s := newSystem(t, handler, handler)
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	var want strings.Builder
	for i := 1; i <= 5; i++ {
		want.WriteString(event(i))
	}
	if diff := cmp.Diff(want.String(), body); diff != "" || status != 200 || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
	status, body, complete = s.do(t, "POST", "/stream/", nil)
	if complete || status != 200 || body != event(1)+event(2) {
		t.Errorf("stream that can't be resumed: status %d, complete %v, body %q, want 200, false and two events", status, complete, body)
	}
}

// TestBusyEndpointIsNotCut guards against sending a request again, under overload, that
// only waits its turn at an endpoint while others make progress there.
func TestBusyEndpointIsNotCut(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stream") {
			close(began)
			for i := range 100 {
				fmt.Fprintf(w, "id: %d\n\n", i)
				http.NewResponseController(w).Flush()
				select {
				case <-time.After(20 * time.Millisecond):
				case <-r.Context().Done():
					return
				}
			}
			return
		}
		select {
		case <-time.After(600 * time.Millisecond): // between the two fractions of 1 s
			io.WriteString(w, "ok")
		case <-r.Context().Done():
		}
	})
	go func() {
		defer close(ended)
		s.do(t, "POST", "/stream/", nil)
	}()
	<-began
	status, body, _ := s.do(t, "POST", "/safe/", map[string]string{"Deadline": "1000"})
	if status != 200 || body != "ok" || s.arrivals() != 2 {
		t.Errorf("status %d, body %q, %d arrivals with the stream, want 200, ok and 2", status, body, s.arrivals())
	}
	<-ended
}

// TestStalledEndpoint guards against a request that times out at a stalled endpoint
// although another endpoint could respond. A request that must not be repeated has
// to stay at the stalled endpoint.
func TestStalledEndpoint(t *testing.T) {
	stallFirst := func(stalled *atomic.Bool, w http.ResponseWriter, r *http.Request) {
		if !stalled.Swap(true) {
			if strings.HasPrefix(r.URL.Path, "/resume") {
				io.WriteString(w, event(1))
				http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
			return
		}
		if r.Header.Get("Last-Event-Id") == "1" {
			io.WriteString(w, event(2))
			return
		}
		io.WriteString(w, "ok")
	}
	for _, test := range []struct {
		path     string
		status   int
		body     string
		arrivals int
	}{
		{"/safe/", 200, "ok", 2},
		{"/resume/", 200, event(1) + event(2), 2},
		{"/never/", http.StatusGatewayTimeout, "", 1},
	} {
		stalled := &atomic.Bool{} // of this test case: handlers of the one before may still run
		handler := func(w http.ResponseWriter, r *http.Request) { stallFirst(stalled, w, r) }
		s := newSystem(t, handler, handler)
		status, body, _ := s.do(t, "POST", test.path, map[string]string{"Deadline": "800"})
		if status != test.status || test.body != "" && body != test.body || s.arrivals() != test.arrivals {
			t.Errorf("%s: status %d, body %q, %d arrivals, want those of the test case", test.path, status, body, s.arrivals())
		}
	}
}

// TestTricklingStream guards against a stalled stream that never ends because a byte
// arrives now and then, and against cutting off a slow one whose events are complete.
func TestTricklingStream(t *testing.T) {
	var first sync.Once
	trickle := func(w http.ResponseWriter, r *http.Request) {
		stall := false
		first.Do(func() { stall = true })
		if !stall {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for i := last + 1; i <= 4; i++ {
				fmt.Fprintf(w, "id: %d\n\n", i)
				http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond) // a slow, sound stream
			}
			return
		}
		io.WriteString(w, "id: 1\n\n")
		for r.Context().Err() == nil {
			io.WriteString(w, "d")
			http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
	s := newSystem(t, trickle, trickle)
	status, body, complete := s.do(t, "POST", "/resume/", map[string]string{"Deadline": "2000"})
	if want := "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n"; status != 200 || body != want || !complete || s.arrivals() != 2 {
		t.Errorf("status %d, body %q, complete %v, %d arrivals, want 200, the four events, true and 2", status, body, complete, s.arrivals())
	}
	first = sync.Once{}
	sent := time.Now()
	if _, _, complete := s.do(t, "POST", "/stream/", map[string]string{"Deadline": "500"}); complete || time.Since(sent) > 2*time.Second {
		t.Errorf("stream that must not be repeated: complete %v after %v, want false within its deadline of 500 ms and a margin", complete, time.Since(sent))
	}
}
