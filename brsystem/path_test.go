package brsystem

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

// testContext returns a context that ends after a minute or with the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// Guards against requests that are lost, mixed up or repeated between separate
// processes although no fault occurs. The test sends requests through every
// entry, resends IDs through another entry, resumes responses and repeats a
// non-idempotent call of a plain service.
func TestWholePath(t *testing.T) {
	c := newCluster(t, spec{daemons: 4, controls: 3})
	engines := []*fake{c.addFake("engine-1"), c.addFake("engine-2")}
	booking := c.addFake("booking-1", "--kind=service", "--model="+service, "--capacity-tokens=16")
	ctx := testContext(t)

	var wg sync.WaitGroup
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = newID()
		wg.Go(func() {
			if a := complete(ctx, c.daemons[i%4].caller, call{id: ids[i], maxTokens: 20}); !a.matches(ids[i], 0, 20) {
				t.Errorf("request %d: %+v, want a complete response", i, a)
			}
		})
	}
	wg.Wait()
	for i, id := range ids[:8] {
		if a := complete(ctx, c.daemons[(i+1)%4].caller, call{id: id, maxTokens: 20}); a.status != http.StatusConflict || a.failure.Kind != "already_run" {
			t.Errorf("resend of %s: %+v, want status 409 and error already_run", id, a)
		}
		if a := resume(ctx, c.daemons[(i+2)%4].caller, id, 5); !a.matches(id, 5, 20) {
			t.Errorf("resume of %s: %+v, want the tokens from 5 to 20", id, a)
		}
	}
	runs := map[string]int{}
	for _, e := range engines {
		for id, n := range e.counts().Requests {
			runs[id] += n
		}
	}
	for _, id := range ids {
		if runs[id] != 1 {
			t.Errorf("request %s reached the engines %d times, want 1", id, runs[id])
		}
	}

	id := newID()
	first := invoke(ctx, c.daemons[0].caller, "book", id)
	again := invoke(ctx, c.daemons[3].caller, "book", id)
	if first.status != http.StatusOK || again.status != first.status || again.text != first.text {
		t.Errorf("booking %+v, resent %+v; want status 200 and the same text", first, again)
	}
	if n := booking.counts().Requests[id]; n != 1 {
		t.Errorf("booking ran %d times, want 1", n)
	}
}
