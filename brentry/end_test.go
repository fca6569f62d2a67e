package brentry_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
)

// TestEndRequests guards against a stop that ends a request with neither an answer nor a
// refusal, that reports one as not run which was dispatched, or that takes further ones.
func TestEndRequests(t *testing.T) {
	engine := brfake.Config{StepBase: 10 * time.Millisecond, Faults: map[string]brfake.Faults{"": {StuckRequest: "*", StuckAt: 1}}}
	hold := func(f *fixture) { f.Submit = func(context.Context, brwire.Submit) error { return nil } }
	for _, test := range []struct {
		name          string
		fake          brfake.Config
		prepare       func(f *fixture)
		path          string
		dispatched    int64
		kind, outcome string
	}{
		{"waiting", engine, hold, brengine.PathCompletions, 0, "shutting_down", "not_run"},
		{"stream", engine, nil, brengine.PathCompletions, 1, "deadline_exceeded", "unknown"},
		{"booking", brfake.Config{Kind: brwire.KindService, ServiceLatency: time.Minute}, (&ledger{}).attach, booking, 1, "deadline_exceeded", "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.fake, brentry.Config{}, test.prepare)
			post := func() (kind, outcome string) {
				res := f.open(t, context.Background(), http.MethodPost, test.path, "", streamBody)
				b, err := io.ReadAll(res.Body)
				if err != nil {
					t.Error(err)
				}
				kind, body := kindOf(t, string(b))
				return kind, body.Outcome
			}
			go func() {
				brtest.Await(t, 5*time.Second, "request is held", func() bool {
					return f.Counters.Held.Load() == 1 && f.Counters.Dispatched.Load() == test.dispatched
				})
				f.EndRequests()
			}()
			kind, outcome := post()
			late, lateOutcome := post()
			want := []string{test.kind, test.outcome, "shutting_down", "not_run"}
			if diff := cmp.Diff(want, []string{kind, outcome, late, lateOutcome}); diff != "" {
				t.Errorf("kinds and outcomes (-want +got):\n%s", diff)
			}
		})
	}
}
