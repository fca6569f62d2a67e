package brproxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brquarantine"
	"bramleyroute/brtest"
)

// TestLogTellsWhyAStreamEnded guards against log entries in which a deadline, a stall, a
// quarantine and a caller that left all read as the error of the closed connection.
func TestLogTellsWhyAStreamEnded(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			io.WriteString(w, "id: 2\n\n")
			return
		}
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for _, test := range []struct {
		name, path, deadline string
		during               func(t *testing.T, s *testSystem, leave context.CancelFunc)
		message, reason      string
		aborted              bool
	}{
		{"deadline", "/stream/", "300", nil, "response aborted", context.DeadlineExceeded.Error(), true},
		{"stall", "/resume/", "1000", nil, "retrying at another endpoint", errStalled.Error(), false},
		{"quarantine", "/stream/", "2000", func(t *testing.T, s *testSystem, _ context.CancelFunc) {
			brtest.Await(t, time.Second, "request runs", func() bool { return len(runningIDs(s)) == 1 })
			for id := range runningIDs(s) {
				s.proxy.PeerEvidence(brquarantine.Subject{Kind: brquarantine.KindRequest, ID: id}, threeLost, 0)
			}
		}, "response aborted", errQuarantined.Error(), true},
		{"caller left", "/stream/", "2000", func(t *testing.T, s *testSystem, leave context.CancelFunc) {
			brtest.Await(t, time.Second, "request is at the endpoint", func() bool { return s.arrivals() == 1 })
			leave()
		}, "caller disconnected during the response", context.Canceled.Error(), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, hang, hang)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			r, err := http.NewRequestWithContext(ctx, "POST", s.front.URL+test.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h"
			r.Header = http.Header{"Id": {"1"}, "Key": {"k"}, "Deadline": {test.deadline}}
			a, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			if test.during != nil {
				test.during(t, s, leave)
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
			brtest.Await(t, time.Second, "log entry "+test.message, func() bool { return len(s.log.entries(t, test.message)) == 1 })
			entry := s.log.entries(t, test.message)[0]
			if reason, _ := entry["reason"].(string); !strings.Contains(reason, test.reason) {
				t.Errorf("reason %q, want one that contains %q", reason, test.reason)
			}
			if _, ok := entry["left_ms"].(float64); test.aborted && !ok {
				t.Errorf("entry %v has no time left until the deadline", entry)
			}
		})
	}
}

// runningIDs returns the numbers of runs that a quarantine would end, by request ID.
func runningIDs(s *testSystem) map[string]int {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	ids := map[string]int{}
	for _, r := range s.proxy.runs {
		ids[r.requestID]++
	}
	return ids
}
