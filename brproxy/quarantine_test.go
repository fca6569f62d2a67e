package brproxy

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bramleyroute/brquarantine"
	"bramleyroute/brtest"
)

var threeLost = brquarantine.Evidence{Lost: []string{"x", "y", "z"}}

func part(id string) brquarantine.Subject {
	return brquarantine.Subject{Kind: brquarantine.KindPart, ID: id}
}

// TestLostRuns guards against blaming a part of a prompt for a run that its caller or its
// deadline ended, that had made progress or that the endpoint rejected, and against
// overlooking the crash of an endpoint.
func TestLostRuns(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, test := range []struct {
		name, path string
		handler    http.HandlerFunc
		want       int // lost starts
	}{
		{"no response", "/once/", truncate(""), 1},
		{"broken off before an event", "/stream/", truncate(""), 1},
		{"broken off in the first event", "/stream/", truncate("id: 1\nda"), 1},
		{"broken off after an event", "/stream/", truncate("id: 1\n\n"), 1},
		{"unframed, broken off in the first event", "/stream/", brtest.RawHandler(t, unframedHead+"id: 1\nda"), 1},
		{"reset", "/stream/", brtest.RawResetHandler(t, unframedHead), 1},
		{"broken off after two events", "/stream/", truncate(twoEvents), 0},
		{"part of a body", "/once/", truncate("part"), 1},
		{"deadline", "/once/", hang, 0},
		{"deadline of a stream", "/stream/", hang, 0},
		{"rejected", "/once/", respond(503, "Not-Run", "full"), 0},
		{"failure", "/once/", respond(500, "", "failed"), 0},
		{"complete", "/stream/", respond(200, "", twoEvents), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, test.handler)
			s.do(t, "POST", test.path, map[string]string{"Part": "p", "Deadline": "200"})
			s.proxy.mu.Lock()
			defer s.proxy.mu.Unlock()
			open := 0
			for _, c := range s.proxy.quarantine.Merge(time.Now(), part("p"), brquarantine.Evidence{Lost: []string{"x"}}, 0) {
				open = c.Evidence.Open() - 1
			}
			if open != test.want {
				t.Errorf("%d lost starts, want %d", open, test.want)
			}
		})
	}
}

// TestQuarantineAnswersAtOnce guards against a request that waits for an endpoint though
// a part of its prompt is quarantined, before or while it waits, and against one that is
// refused for a part of another.
func TestQuarantineAnswersAtOnce(t *testing.T) {
	const occupied = 6 // slots of the endpoint and of its queue
	release := make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	began := make(chan struct{}, occupied+1)
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
	})
	t.Cleanup(releaseOnce) // before the server of the endpoint is closed
	for range occupied {
		go func() { s.do(t, "POST", "/once/", nil) }()
		<-began
	}
	ended := make(chan int, 1)
	sent := time.Now()
	go func() {
		status, _, _ := s.do(t, "POST", "/once/", map[string]string{"Part": "p"})
		ended <- status
	}()
	brtest.Await(t, 5*time.Second, "request waits", func() bool { return s.proxy.Waiting() == 1 })
	s.proxy.PeerEvidence(part("other"), threeLost, 0)
	s.proxy.PeerEvidence(part("p"), threeLost, 0)
	if status := <-ended; status != http.StatusServiceUnavailable || time.Since(sent) > time.Second {
		t.Errorf("waiting request: status %d after %v, want 503 at once", status, time.Since(sent))
	}
	if status, body, _ := s.do(t, "POST", "/once/", map[string]string{"Part": "p"}); status != http.StatusServiceUnavailable || body != quarantineReason+"\n" {
		t.Errorf("later request: status %d, body %q, want 503 and %s", status, body, quarantineReason)
	}
	releaseOnce()
	if status, _, _ := s.do(t, "POST", "/once/", map[string]string{"Part": "sound"}); status != http.StatusOK {
		t.Errorf("request with another part: status %d, want 200", status)
	}
	if n := s.arrivals(); n != occupied+1 {
		t.Errorf("%d arrivals, want the %d before and the one with another part", n, occupied)
	}
}

// TestQuarantineAfterRun guards against telling a caller that its request hasn't run if
// the crash under this very request quarantined a part of it.
func TestQuarantineAfterRun(t *testing.T) {
	s := newSystem(t, truncate(""), truncate(""))
	s.proxy.PeerEvidence(part("p"), brquarantine.Evidence{Lost: []string{"x", "y"}}, 0)
	status, _, _ := s.do(t, "POST", "/safe/", map[string]string{"Part": "p"})
	if status != http.StatusBadGateway || s.arrivals() != 1 {
		t.Errorf("status %d, %d arrivals, want 502 and 1: it may have run, and isn't sent again", status, s.arrivals())
	}
}
