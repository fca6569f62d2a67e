package brsystem

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"
)

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a path through separate processes that loses, mixes up or
// repeats requests without any fault: requests through every entry, resends of
// an id through another entry, a plain service and a non-idempotent call.
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
			if a := complete(ctx, c.daemons[i%4].caller, call{id: ids[i], maxTokens: 20}); !a.right(ids[i], 0, 20) {
				t.Errorf("request %d: %+v", i, a)
			}
		})
	}
	wg.Wait()
	for i, id := range ids[:8] {
		if a := complete(ctx, c.daemons[(i+1)%4].caller, call{id: id, maxTokens: 20}); a.status != http.StatusConflict || a.failure.Kind != "already_run" {
			t.Errorf("resend of %s: %+v", id, a)
		}
		if a := resume(ctx, c.daemons[(i+2)%4].caller, id, 5); !a.right(id, 5, 20) {
			t.Errorf("resume of %s: %+v", id, a)
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
			t.Errorf("request %s reached engines %d times", id, runs[id])
		}
	}

	id := newID()
	first := invoke(ctx, c.daemons[0].caller, "book", id)
	again := invoke(ctx, c.daemons[3].caller, "book", id)
	if first.status != http.StatusOK || again.status != first.status || again.text != first.text {
		t.Errorf("booking %+v, resent %+v", first, again)
	}
	if n := booking.counts().Requests[id]; n != 1 {
		t.Errorf("booking ran %d times", n)
	}
}
