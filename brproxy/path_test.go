package brproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brtest"

	"github.com/rs/zerolog"
)

// TestLostConnectionIsJudgedByPath guards against blaming an endpoint and a request for a
// connection that ended because the path was lost, and against overlooking a crash.
func TestLostConnectionIsJudgedByPath(t *testing.T) {
	for _, test := range []struct {
		name   string
		works  bool
		failed int // results for the version of the endpoints
		held   bool
	}{{"path works", true, 2, true}, {"path is lost", false, 0, false}} {
		t.Run(test.name, func(t *testing.T) {
			results := make(chan VersionResult, 10)
			p := New(Config{
				Dialect: testDialect, Pool: &brconn.Pool{}, Log: zerolog.Nop(),
				PathWorks: func(context.Context, string) bool { return test.works },
				OnResult:  func(r VersionResult) { results <- r },
			})
			p.SetPolicy(brpolicy.Compile(testPolicy()))
			front := httptest.NewServer(p)
			s := &testSystem{proxy: p, front: &testFront{URL: front.URL}}
			for _, id := range []string{"a", "b"} {
				server := httptest.NewServer(truncate(""))
				t.Cleanup(server.Close)
				p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 4}})
			}
			if status, _, _ := s.do(t, "POST", "/safe/", nil); status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", status)
			}
			checked := func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.path.unjudged) == 0
			}
			brtest.Await(t, 5*time.Second, "lost connections are judged", checked)
			front.Close()
			held := len(p.Quarantine()) > 0
			p.Close()
			close(results)
			failed := 0
			for r := range results {
				if !r.Succeeded {
					failed++
				}
			}
			if failed != test.failed || held != test.held {
				t.Errorf("%d failures for the version, request quarantined: %v; want %d, %v", failed, held, test.failed, test.held)
			}
		})
	}
}
