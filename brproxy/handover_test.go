package brproxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brpolicy"
	"bramleyroute/brquarantine"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestFailedSuccessorEndsNoRun guards against ending the run of a sound endpoint for one
// whose response can't take its place: an error, or for a stream that has begun anything
// but its continuation.
func TestFailedSuccessorEndsNoRun(t *testing.T) {
	for _, test := range []struct {
		name, path string
		silent     http.HandlerFunc
		successor  http.HandlerFunc
		want       string
	}{
		{"error after the header", "/resume/", silentBetween(silence, event(1), event(2)), respond(http.StatusInternalServerError, "", "failed"), events(2)},
		{"error before the header", "/resume/", silentBetween(silence, "", event(1)), respond(http.StatusInternalServerError, "", "failed"), event(1)},
		{"error on a route for other responses", "/safe/", silentBetween(silence, "", "ok"), respond(http.StatusBadGateway, "", "failed"), "ok"},
		{"unknown to the successor", "/resume/", silentBetween(silence, event(1), event(2)), respond(http.StatusNotFound, "", "unknown"), events(2)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSilentSystem(t, test.silent, test.successor)
			s.preferFirst()
			status, body, complete := s.do(t, "POST", test.path, nil)
			if diff := cmp.Diff(test.want, body); diff != "" || status != http.StatusOK || !complete {
				t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
			}
			if n := s.endpoints[1].arrivals(); n != 1 {
				t.Errorf("%d arrivals at the successor, want 1", n)
			}
		})
	}
}

// TestSuccessorOutlivesFailedRun guards against giving up a successor that was sent, because
// the stalled run fails before the successor has responded.
func TestSuccessorOutlivesFailedRun(t *testing.T) {
	for _, test := range []struct{ name, path, first, second string }{
		{"stream that has begun", "/resume/", event(1), event(2)},
		{"no header yet", "/resume/", "", event(1)},
		{"route for other responses", "/safe/", "", "ok"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan struct{})
			s := newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
				if test.first != "" {
					send(w, test.first)
				}
				select {
				case <-sent:
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler)
			}, func(w http.ResponseWriter, r *http.Request) {
				close(sent)
				if pause(r, 100*time.Millisecond) {
					send(w, test.second)
				}
			})
			s.preferFirst()
			status, body, complete := s.do(t, "POST", test.path, nil)
			if diff := cmp.Diff(test.first+test.second, body); diff != "" || status != http.StatusOK || !complete {
				t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
			}
			if n := s.proxy.Stats().Retries.Load(); n != 1 {
				t.Errorf("%d retries were taken from the budget, want 1", n)
			}
		})
	}
}

// TestQuarantineKeepsSuccessor guards against ending a successor because a part of its
// prompt is quarantined after it was sent, or because it is itself the trial of a part.
// Other runs with that part go on too. A request that is quarantined itself doesn't go on.
func TestQuarantineKeepsSuccessor(t *testing.T) {
	request := brquarantine.Subject{Kind: brquarantine.KindRequest, ID: brquarantine.Fingerprint(nil, "POST", "h", "/resume/", "c")}
	none := func(*Proxy) {}
	for _, test := range []struct {
		name          string
		first, second func(p *Proxy) // called while the endpoint runs the request
		complete      bool
	}{
		{"part", none, func(p *Proxy) { p.PeerEvidence(part("p"), threeLost, 0) }, true},
		{"trial of a part", func(p *Proxy) { p.PeerEvidence(part("p"), threeLost, time.Minute) }, none, true},
		{"request", none, func(p *Proxy) { p.PeerEvidence(request, threeLost, 0) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var s *testSystem
			s = newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
				send(w, event(1))
				test.first(s.proxy)
				<-r.Context().Done()
			}, func(w http.ResponseWriter, r *http.Request) {
				test.second(s.proxy)
				send(w, event(2))
			})
			s.preferFirst()
			_, body, complete := s.do(t, "POST", "/resume/", map[string]string{"Part": "p"})
			want := event(1)
			if test.complete {
				want = events(2)
			}
			if diff := cmp.Diff(want, body); diff != "" || complete != test.complete {
				t.Errorf("complete %v, want %v; body (-want +got): %s", complete, test.complete, diff)
			}
			if n := s.endpoints[1].arrivals(); n != 1 {
				t.Errorf("%d arrivals at the successor, want 1", n)
			}
		})
	}
}

// TestPanicInSearchEndsNoDaemon guards against a panic outside the goroutine of a request,
// which would end the process with all requests in progress.
func TestPanicInSearchEndsNoDaemon(t *testing.T) {
	for _, test := range []struct {
		name string
		call int32 // number of the call that panics: the first of the search
		arm  func(c *Config, panics func() bool)
	}{
		{"placement", 2, func(c *Config, panics func() bool) {
			c.SelectVersion = func(string, string) (string, string) {
				if panics() {
					panic("select")
				}
				return "", ""
			}
		}},
		{"header to the endpoint", 2, func(c *Config, panics func() bool) {
			c.Dialect.EncodeHeader = func(h http.Header, d DispatchParams) http.Header {
				if panics() {
					panic("encode")
				}
				return testDialect.EncodeHeader(h, d)
			}
		}},
		{"response of the successor", 1, func(c *Config, panics func() bool) {
			c.Pool.Matches = func(string, *brconn.Response) bool {
				if panics() {
					panic("matches")
				}
				return true
			}
		}},
		{"rejection", 1, func(c *Config, panics func() bool) {
			c.Dialect.NotRun = func(*brconn.Response) bool {
				if panics() {
					panic("not run")
				}
				return false
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSilentSystem(t, silentBetween(silence, "", event(1)), respond(200, "", event(1)))
			s.preferFirst()
			var calls atomic.Int32
			test.arm(&s.proxy.cfg, func() bool { return calls.Add(1) == test.call })
			if status, body, complete := s.do(t, "POST", "/resume/", nil); status != http.StatusOK || body != event(1) || !complete {
				t.Errorf("status %d, body %q, complete %v, want 200, the event and true", status, body, complete)
			}
			if n := len(s.log.entries(t, "panic while seeking another endpoint")); n != 1 {
				t.Errorf("%d log entries, want 1", n)
			}
			s.awaitNoRuns(t)
		})
	}
}

// awaitNoRuns waits until no request is counted at an endpoint or waits for one.
func (s *testSystem) awaitNoRuns(t *testing.T) {
	t.Helper()
	brtest.Await(t, time.Second, "no request is counted at an endpoint", func() bool {
		for _, u := range s.proxy.PlacementReport(time.Minute) {
			if u.Active != 0 {
				return false
			}
		}
		return s.proxy.Waiting() == 0
	})
}

// TestRunningSuccessorIsNoRefusal guards against telling a caller that its request hasn't run,
// and refunding its quota, when the stalled endpoint rejects it after all and a successor
// has run it.
func TestRunningSuccessorIsNoRefusal(t *testing.T) {
	s := newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
		if pause(r, silence) {
			respond(http.StatusServiceUnavailable, "Not-Run", "full")(w, r)
		}
	}, truncate(""))
	s.preferFirst()
	status, _, _ := s.do(t, "POST", "/resume/", nil)
	if status != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the successor may have run the request", status)
	}
	if n := s.endpoints[1].arrivals(); n != 1 {
		t.Errorf("%d arrivals at the successor, want 1", n)
	}
}

// TestStreamBeginsWithoutID guards against a stream that is never resumed since its first
// event has no ID, although a later one has.
func TestStreamBeginsWithoutID(t *testing.T) {
	const comment = ": begin\n\n"
	s := newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
		send(w, comment)
		if pause(r, 50*time.Millisecond) {
			send(w, event(1))
		}
		<-r.Context().Done()
	}, respond(http.StatusOK, "", event(2)))
	s.preferFirst()
	status, body, complete := s.do(t, "POST", "/resume/", nil)
	if diff := cmp.Diff(comment+events(2), body); diff != "" || status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %v, want 200 and true; body (-want +got): %s", status, complete, diff)
	}
}

// TestCallerLeavesDuringSearch guards against runs that go on after their caller has left or
// its deadline has passed while a successor is sought or has just been sent.
func TestCallerLeavesDuringSearch(t *testing.T) {
	const maxWork = 500 * time.Millisecond // after the caller has left
	for _, test := range []struct {
		name     string
		full     bool // the other endpoint has no room
		deadline bool
	}{
		{"search", true, false}, {"overlap", false, false}, {"search, deadline", true, true}, {"overlap, deadline", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			began := make(chan struct{}, 1)
			hang := func(first bool) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					defer runs.Add(-1)
					if first {
						send(w, event(1))
					} else {
						began <- struct{}{}
					}
					<-r.Context().Done()
				}
			}
			s := newSilentSystem(t, hang(true), hang(false))
			s.preferFirst()
			if test.full {
				s.occupy("e1", 10)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, "POST", s.front.URL+"/resume/", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h"
			r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
			if test.deadline {
				r.Header.Set("Deadline", "1400") // the search begins after half of it
			}
			sent := time.Now()
			a, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			if test.full {
				brtest.Await(t, 3*time.Second, "search", func() bool { return s.proxy.Waiting() == 1 })
			} else {
				<-began
			}
			if test.deadline {
				time.Sleep(time.Until(sent.Add(1400 * time.Millisecond)))
			} else {
				cancel()
			}
			brtest.Await(t, maxWork, "end of all runs", func() bool { return runs.Load() == 0 })
			s.awaitNoRuns(t)
		})
	}
}

// TestSlowEndOfSearch guards against two searches at the same time, and a successor that is
// overwritten and never ended, if a search is slow to end after data has arrived.
func TestSlowEndOfSearch(t *testing.T) {
	const dialTime = 600 * time.Millisecond
	s := newSilentSystem(t, func(w http.ResponseWriter, r *http.Request) {
		send(w, event(1))
		if pause(r, 300*time.Millisecond) { // the first search dials
			send(w, event(2))
		}
		<-r.Context().Done()
	}, respond(http.StatusOK, "", event(3)), respond(http.StatusOK, "", event(3)), respond(http.StatusOK, "", event(3)))
	policy := testPolicy()
	for i := range policy.Routes {
		policy.Routes[i].CallerTimeout, policy.Routes[i].MaxAttempts = 200*time.Millisecond, 4
	}
	s.proxy.SetPolicy(brpolicy.Compile(policy))
	s.preferFirst()
	first := s.endpoints[0].address
	s.proxy.cfg.Pool.Dial = func(_ context.Context, address string) (net.Conn, error) {
		if address != first {
			time.Sleep(dialTime)
		}
		return net.Dial("tcp", address)
	}
	if _, body, complete := s.do(t, "POST", "/resume/", nil); body != events(3) || !complete {
		t.Errorf("body %q, complete %v, want three events and true", body, complete)
	}
	if n := s.proxy.Stats().Retries.Load(); n != 1 {
		t.Errorf("%d retries were taken from the budget, want 1", n)
	}
	s.awaitNoRuns(t)
}

// TestRefusedResumeGoesOnElsewhere guards against breaking a stream off because the endpoint
// that is to go on with it answers with an error, while the route allows another one.
func TestRefusedResumeGoesOnElsewhere(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound} {
		s := newSystem(t, truncate(event(1)), respond(status, "", "failed"), respond(http.StatusOK, "", event(2)))
		policy := testPolicy()
		for i := range policy.Routes {
			policy.Routes[i].MaxAttempts = 3
		}
		s.proxy.SetPolicy(brpolicy.Compile(policy))
		s.preferFirst()
		s.occupy("e2", 1) // the second is chosen first
		got, body, complete := s.do(t, "POST", "/resume/", nil)
		if diff := cmp.Diff(events(2), body); diff != "" || got != http.StatusOK || !complete {
			t.Errorf("resume refused with status %d: status %d, complete %v, want 200 and true; body (-want +got): %s", status, got, complete, diff)
		}
	}
}
