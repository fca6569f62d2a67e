package brentry_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"bramleyroute/brwire"
)

// TestLostEndpointIsReported guards against a scheduler that can't tell the crash of an
// endpoint from a failure after which it is still there.
func TestLostEndpointIsReported(t *testing.T) {
	crash := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		http.NotFound(w, r) // the next start of the endpoint doesn't know the request
	}
	fail := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failed", http.StatusInternalServerError) }
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		want    bool
	}{{"crash", crash, true}, {"failure", fail, false}} {
		engine := httptest.NewServer(test.handler)
		t.Cleanup(engine.Close)
		f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
			f.Submit = func(_ context.Context, s brwire.Submit) error { return f.grant(s, 1, engine.Listener.Addr().String()) }
		})
		f.complete(t, newID(0), streamBody)
		select {
		case d := <-f.dones:
			if d.OK || d.EndpointLost != test.want {
				t.Errorf("%s: %+v, want not OK and endpoint lost %v", test.name, d, test.want)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%s: the end of the request wasn't reported", test.name)
		}
	}
}

// TestLostServiceIsReported guards against a scheduler that isn't told that a plain service
// ended under a call, and can't tell which call ends one service after the other.
func TestLostServiceIsReported(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failed", http.StatusInternalServerError) }
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		want    bool
	}{{"crash", crash, true}, {"failure", fail, false}} {
		service := httptest.NewServer(test.handler)
		t.Cleanup(service.Close)
		fingerprints := make(chan string, 3)
		f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
			f.Submit = func(_ context.Context, s brwire.Submit) error {
				fingerprints <- s.Fingerprint
				return f.grant(s, 1, service.Listener.Addr().String())
			}
		})
		seen := map[string]int{}
		for _, path := range []string{"/a", "/a", "/b"} {
			f.open(t, context.Background(), http.MethodPost, brengine.PathServices+"m"+path, newID(0), "")
			d := <-f.dones
			if d.OK || d.EndpointLost != test.want {
				t.Errorf("%s: %+v, want not OK and endpoint lost %v", test.name, d, test.want)
			}
			seen[<-fingerprints]++
		}
		if len(seen) != 2 {
			t.Errorf("%s: %d fingerprints of two paths, want 2", test.name, len(seen))
		}
	}
}

// TestLostPathIsReported guards against a scheduler that isn't told that the path of the
// entry may be to blame for a failure rather than the endpoint, and against an endpoint that
// is reported as lost all the same.
func TestLostPathIsReported(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name       string
		pathFailed bool
		dialed     bool // whether connections to the endpoint can be opened
	}{{"dial and path failed", true, false}, {"dial failed", false, false}, {"connection and path lost", true, true}, {"connection lost", false, true}} {
		for _, path := range []string{brengine.PathCompletions, brengine.PathServices + "m/a"} {
			address := brtest.FreeAddress(t)
			if test.dialed {
				endpoint := httptest.NewServer(http.HandlerFunc(crash))
				t.Cleanup(endpoint.Close)
				address = endpoint.Listener.Addr().String()
			}
			f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
				f.Submit = func(_ context.Context, s brwire.Submit) error { return f.grant(s, 1, address) }
				f.client.PathFailed = func(_ context.Context, a string, c net.Conn, _ time.Time, err error) bool {
					if a != address || err == nil || (c != nil) != test.dialed {
						t.Errorf("%s: PathFailed is called with %s, %v and %v", test.name, a, c, err)
					}
					return test.pathFailed
				}
			})
			f.open(t, context.Background(), http.MethodPost, path, newID(0), streamBody)
			select {
			case d := <-f.dones:
				if d.OK || d.PathFailed != test.pathFailed || d.EndpointLost != (test.dialed && !test.pathFailed) {
					t.Errorf("%s: %s: %+v, want path failed %v, and the endpoint lost only if it was reached", test.name, path, d, test.pathFailed)
				}
			case <-time.After(10 * time.Second):
				t.Errorf("%s: the end of the request wasn't reported", test.name)
			}
		}
	}
}
