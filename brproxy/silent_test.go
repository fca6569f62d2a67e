package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

const (
	// silence is longer than half of callerTimeout, and shorter than callerTimeout.
	silence       = 1200 * time.Millisecond
	callerTimeout = 2 * time.Second
	// longSilence is longer than the time after which an endpoint counts as stalled that
	// has made other progress.
	longSilence = 1800 * time.Millisecond
)

// newSilentSystem returns a system whose callers disconnect after callerTimeout without a
// byte and wait for six seconds in all.
func newSilentSystem(t *testing.T, handlers ...http.HandlerFunc) *testSystem {
	t.Helper()
	s := newSystem(t, handlers...)
	policy := testPolicy()
	for i := range policy.Routes {
		policy.Routes[i].CallerTimeout, policy.Routes[i].Timeout = callerTimeout, 6*time.Second
	}
	s.proxy.SetPolicy(brpolicy.Compile(policy))
	return s
}

// occupy makes all slots of an endpoint appear occupied by another daemon, or free.
func (s *testSystem) occupy(endpoint string, requests int) {
	s.proxy.ApplyEvent(brplace.PeerReported{Daemon: "p", Report: brplace.Report{endpoint: {Active: requests}}})
}

// exhaustRetries takes all retries of the service.
func (s *testSystem) exhaustRetries() {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	for s.proxy.limiter.TakeRetry("s") {
	}
}

// preferFirst makes the proxy choose e0 while it has room.
func (s *testSystem) preferFirst() {
	for i, e := range s.endpoints {
		if i > 0 {
			s.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
				ID: fmt.Sprint("e", i), Service: "s", Zone: "far", Address: e.address, Slots: 4,
			}})
		}
	}
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

func events(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(event(i + 1))
	}
	return b.String()
}

// send writes and flushes a part of a response.
func send(w http.ResponseWriter, part string) {
	io.WriteString(w, part)
	http.NewResponseController(w).Flush()
}

// pause returns false if the request is canceled within d.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// silentBetween returns a handler that sends parts one after the other and is silent for
// d between them.
func silentBetween(d time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i, part := range parts {
			if i > 0 && !pause(r, d) {
				return
			}
			if part != "" {
				send(w, part)
			}
		}
	}
}

// longStream returns a handler that sends events for longer than a request may wait for
// its dispatch, then is silent for d, and sends the last event.
func longStream(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := range 16 {
			if !pause(r, 100*time.Millisecond) {
				return
			}
			send(w, event(i+1))
		}
		if pause(r, d) {
			send(w, event(17))
		}
	}
}

// TestSilentEndpointIsNotGivenUp guards against ending the run of a sound endpoint that
// falls silent for a second and goes on, when the request can't go on elsewhere.
func TestSilentEndpointIsNotGivenUp(t *testing.T) {
	const long = 300 << 10 // bytes, more than are buffered
	stream := silentBetween(silence, event(1), event(2))
	none := func(*testSystem) {}
	full := func(s *testSystem) { s.occupy("e1", 10) }
	without := "data: a\n\n"
	for _, test := range []struct {
		name, path string
		handler    http.HandlerFunc
		others     int // number of endpoints besides the silent one
		prepare    func(s *testSystem)
		want       string
	}{
		{"no other endpoint", "/resume/", stream, 0, none, events(2)},
		{"other endpoint full", "/resume/", stream, 1, full, events(2)},
		{"no retry budget", "/resume/", stream, 1, (*testSystem).exhaustRetries, events(2)},
		{"other endpoint unreachable", "/resume/", stream, 1, func(s *testSystem) { s.endpoints[1].server.Close() }, events(2)},
		{"stream older than its queue time", "/resume/", longStream(silence), 1, full, events(17)},
		{"before the first event", "/resume/", silentBetween(silence, "", event(1)), 0, none, event(1)},
		{"events without IDs", "/resume/", silentBetween(silence, without, without), 1, none, without + without},
		{"stream on a route for other responses", "/safe/", silentEvents(event(1), event(2)), 1, none, events(2)},
		{"response", "/safe/", silentBetween(silence, "", "ok"), 0, none, "ok"},
		{"response, no retry budget", "/safe/", silentBetween(silence, "", "ok"), 1, (*testSystem).exhaustRetries, "ok"},
		{"long response", "/safe/", silentBetween(longSilence, strings.Repeat("a", long), "ok"), 1, none, strings.Repeat("a", long) + "ok"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			handlers := []http.HandlerFunc{test.handler}
			for range test.others {
				handlers = append(handlers, test.handler)
			}
			s := newSilentSystem(t, handlers...)
			s.preferFirst()
			test.prepare(s)
			status, body, complete := s.do(t, "POST", test.path, nil)
			if diff := cmp.Diff(test.want, body); diff != "" || status != http.StatusOK || !complete {
				t.Errorf("status %d, complete %v, want 200 and true; body of %d bytes (-want +got): %.300s", status, complete, len(body), diff)
			}
			if n := s.arrivals(); n != 1 {
				t.Errorf("%d arrivals, want 1", n)
			}
			if waiting, retries := s.proxy.Waiting(), s.proxy.Stats().Retries.Load(); waiting != 0 || retries != 0 {
				t.Errorf("%d requests wait and %d retries were taken from the budget, want none", waiting, retries)
			}
		})
	}
}

// silentEvents is silentBetween with the content type of an event stream.
func silentEvents(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		silentBetween(silence, parts...)(w, r)
	}
}

// TestStalledStreamWaitsForRoom guards against breaking a stream off because no endpoint
// has room in the moment in which its endpoint stalls.
func TestStalledStreamWaitsForRoom(t *testing.T) {
	s := newSilentSystem(t, longStream(time.Minute), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "16" {
			t.Errorf("resumed after %q, want 16", r.Header.Get("Last-Event-Id"))
		}
		send(w, event(17))
	})
	s.preferFirst()
	s.occupy("e1", 10)
	go func() {
		brtest.Await(t, 5*time.Second, "stream waits for an endpoint", func() bool { return s.proxy.Waiting() == 1 })
		time.Sleep(300 * time.Millisecond) // several ticks
		s.occupy("e1", 0)
	}()
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	if diff := cmp.Diff(events(17), body); diff != "" || status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
}

// TestSlowCallerIsNoStall guards against giving up a sound endpoint because its caller is
// slow to read.
func TestSlowCallerIsNoStall(t *testing.T) {
	const size, count = 64 << 10, 256 // more than the buffers of both connections hold
	large := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
	s := newSilentSystem(t, func(w http.ResponseWriter, _ *http.Request) {
		for range count {
			send(w, large)
		}
	})
	c, err := net.Dial("tcp", s.front.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(silence)
	if n, err := io.Copy(io.Discard, a.Body); n != int64(len(large)*count) || err != nil {
		t.Errorf("%d bytes, error %v, want %d and none", n, err, len(large)*count)
	}
}

// TestRejectedSuccessor guards against ending the run of a sound endpoint for one that then
// rejects the request, fails, or isn't the one that was meant.
func TestRejectedSuccessor(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"full", respond(http.StatusServiceUnavailable, "Not-Run", "full")},
		{"another endpoint at the address", respond(http.StatusMisdirectedRequest, "Not-Run", "")},
		{"lost response", truncate("")},
	} {
		for _, path := range []string{"/resume/", "/safe/"} {
			t.Run(test.name+path, func(t *testing.T) {
				t.Parallel()
				s := newSilentSystem(t, silentBetween(silence, "", event(1)), test.handler)
				s.preferFirst()
				status, body, complete := s.do(t, "POST", path, nil)
				if status != http.StatusOK || body != event(1) || !complete {
					t.Errorf("status %d, body %q, complete %v, want 200, the event and true", status, body, complete)
				}
				if n, m := s.endpoints[0].arrivals(), s.endpoints[1].arrivals(); n != 1 || m != 1 {
					t.Errorf("%d and %d arrivals, want one each: the route allows two", n, m)
				}
			})
		}
	}
}

// TestSilentSuccessor guards against two runs of a request that are at work at the same
// time for longer than the users allow, when the successor is silent at first too.
func TestSilentSuccessor(t *testing.T) {
	const maxTwoRuns = 400 * time.Millisecond
	firstEnded, secondBegan := make(chan time.Time, 1), make(chan time.Time, 1)
	s := newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
		send(w, event(1))
		<-r.Context().Done()
		firstEnded <- time.Now()
	}, func(w http.ResponseWriter, r *http.Request) {
		secondBegan <- time.Now()
		if pause(r, 600*time.Millisecond) {
			send(w, event(2))
		}
	})
	s.preferFirst()
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	if diff := cmp.Diff(events(2), body); diff != "" || status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
	if both := (<-firstEnded).Sub(<-secondBegan); both > maxTwoRuns {
		t.Errorf("both runs are at work for %v, want at most %v", both, maxTwoRuns)
	}
}

// TestSilenceIsNoEvidence guards against suspecting a request that its endpoint crashed under
// it, which ends its runs at all endpoints, because the endpoint was silent for a second.
func TestSilenceIsNoEvidence(t *testing.T) {
	for _, others := range []int{0, 1} { // the stalled run goes on, or ends
		s := newSilentSystem(t, silentBetween(silence, "", event(1)), respond(200, "", event(1)))
		s.preferFirst()
		if others == 0 {
			s.occupy("e1", 10)
		}
		if status, _, _ := s.do(t, "POST", "/resume/", map[string]string{"Part": "p"}); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
		if n := len(s.log.entries(t, "suspected")); n != 0 {
			t.Errorf("%d suspicions, want none", n)
		}
	}
}

// TestPolicyChangeKeepsWaitingRequests guards against a request that waits for an endpoint
// and gets neither an answer nor a refusal, because a new policy has neither its route nor
// its service nor its customer any more.
func TestPolicyChangeKeepsWaitingRequests(t *testing.T) {
	for _, freed := range []bool{true, false} {
		s := newSystem(t, respond(200, "", "ok"))
		s.occupy("e0", 10)
		ended := make(chan int, 1)
		go func() {
			status, _, _ := s.do(t, "POST", "/never/", map[string]string{"Deadline": "1000", "Key": "l"})
			ended <- status
		}()
		brtest.Await(t, 5*time.Second, "request waits", func() bool { return s.proxy.Waiting() == 1 })
		s.proxy.SetPolicy(brpolicy.Compile(brpolicy.Policy{Version: 2}))
		want := http.StatusServiceUnavailable
		if freed {
			want = http.StatusOK
			s.occupy("e0", 0)
		}
		select {
		case status := <-ended:
			if status != want {
				t.Errorf("status %d, want %d", status, want)
			}
		case <-time.After(2 * time.Second):
			t.Error("no answer and no refusal")
		}
	}
}
