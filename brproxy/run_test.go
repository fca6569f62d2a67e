package brproxy

import (
	"net/http"
	"testing"
	"time"

	"bramleyroute/brquarantine"
	"bramleyroute/brtest"
)

// TestQuarantineEndsRuns guards against a request that waits at an endpoint while others
// end under the same request, and ends that too; against blaming the endpoint for a run
// that the daemon gave up, and against giving up other requests.
func TestQuarantineEndsRuns(t *testing.T) {
	for _, test := range []struct{ name, path, head string }{
		{"before the header", "/once/", ""}, {"before an event", "/stream/", "id: 1\nda"}, {"sent again only if sound", "/safe/", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			gone := make(chan struct{}, 2)
			hang := func(w http.ResponseWriter, r *http.Request) {
				if test.head != "" {
					w.Write([]byte(test.head))
					http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
				gone <- struct{}{}
			}
			s := newSystem(t, hang, hang)
			ended := make(chan int, 1)
			send := func(path string) {
				status, _, _ := s.do(t, "POST", path, map[string]string{"Deadline": "2500"})
				ended <- status
			}
			running := func() map[string]int { return runningIDs(s) }
			go send(test.path)
			brtest.Await(t, 5*time.Second, "request is at an endpoint", func() bool { return s.arrivals() == 1 && len(running()) == 1 })
			var fatal string
			for fatal = range running() {
			}
			go send(test.path + "other")
			brtest.Await(t, 5*time.Second, "both requests are at endpoints", func() bool { return s.arrivals() == 2 && len(running()) == 2 })
			s.proxy.PeerEvidence(brquarantine.Subject{Kind: brquarantine.KindRequest, ID: fatal}, threeLost, 0)
			select {
			case status := <-ended:
				if status != http.StatusBadGateway {
					t.Errorf("status %d, want 502: the request may have run", status)
				}
			case <-time.After(time.Second):
				t.Error("the request goes on after its quarantine")
			}
			<-gone
			if ids := running(); len(ids) != 1 || ids[fatal] != 0 {
				t.Errorf("%v are running, want the other request alone", ids)
			}
			for id, u := range s.proxy.PlacementReport(time.Minute) {
				if u.Failed > 0 {
					t.Errorf("endpoint %s has %d failures, want none", id, u.Failed)
				}
			}
			if n := s.arrivals(); n != 2 {
				t.Errorf("%d arrivals, want 2: the request isn't sent again", n)
			}
			s.proxy.PeerEvidence(brquarantine.Subject{Kind: brquarantine.KindPart, ID: "p"}, threeLost, 0)
			if len(running()) != 1 {
				t.Error("a run ends with the quarantine of a part")
			}
			<-ended // at its deadline
		})
	}
}
