package brdaemon

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"bramleyroute/brwire"
)

// TestStopAnswersRequests guards against a stop whose time runs out and that ends requests
// in progress with neither an answer nor a refusal, or so that they look complete.
func TestStopAnswersRequests(t *testing.T) {
	c := startCluster(t, 3)
	c.addEndpoints(1, brfake.Config{Model: testModel, Kind: brwire.KindEngine, StepBase: 10 * time.Millisecond,
		Faults: map[string]brfake.Faults{"": {StuckRequest: "*", StuckAt: 1}}})
	c.addEndpoints(1, brfake.Config{Model: testService, Kind: brwire.KindService, ServiceLatency: 4 * time.Second})
	d := c.daemons[2]
	c.daemons = c.daemons[:2]
	const want = "entry was stopped"
	var wg sync.WaitGroup
	for _, test := range []struct{ path, route, body string }{
		{brengine.PathCompletions, "", `{"model":"` + testModel + `","prompt":"a","max_tokens":9}`},
		{brengine.PathCompletions, "", `{"model":"` + testModel + `","prompt":"a","max_tokens":9,"stream":true}`},
		{brengine.PathServices + testService + "/visits", "lookup", ""},
	} {
		wg.Go(func() {
			status, answer := exchange(d, test.path, test.route, []byte(test.body))
			if status == 0 || !strings.Contains(answer, want) || strings.Contains(answer, brengine.DoneMarker) {
				t.Errorf("%s %s: status %d, %q, want %s", test.path, test.body, status, answer, want)
			}
		})
	}
	brtest.Await(t, testTimeout, "requests are dispatched", func() bool { return d.entry.Counters.Dispatched.Load() == 3 })
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := d.Drain(ctx); err == nil {
		t.Error("no error, want one: requests are in progress")
	}
	if status, answer := exchange(d, brengine.PathCompletions, "", []byte("{}")); status != http.StatusServiceUnavailable {
		t.Errorf("request after the drain: status %d, %s, want 503", status, answer)
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	wg.Wait()
}
