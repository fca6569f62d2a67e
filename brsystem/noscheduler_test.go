package brsystem

import (
	"testing"
	"time"

	"bramleyroute/brerror"
)

// Guards against an entry that loses only its link to the owner of a pool and leaves its
// callers without a truthful answer, or affects the other entries. Its requests wait for
// the link until their deadline and are refused as not run.
func TestEntryWithoutScheduler(t *testing.T) {
	t.Parallel()
	c := newCluster(t, spec{daemons: 4, controls: 3, partitions: true})
	e := c.addFake("engine-1", "--step-base=5ms")
	ctx := testContext(t)
	owner := c.owner(model)
	entry := excluding(c.daemons, owner)[2]
	if a := complete(ctx, entry.caller, call{maxTokens: 4}); !a.finished {
		t.Fatalf("response %+v before the link is lost, want a complete one", a)
	}
	for _, x := range []struct {
		f    *linkProxy
		from *daemon
	}{{owner.linkProxy, entry}, {entry.linkProxy, owner}} {
		p, err := x.f.proxyFrom(x.from)
		if err != nil {
			t.Fatal(err)
		}
		c.block(p, "upstream")
		c.block(p, "downstream")
	}
	for range 2 {
		began, id := time.Now(), newID()
		a := complete(ctx, entry.caller, call{id: id, maxTokens: 4})
		t.Logf("refused as %s, %s after %v", a.failure.Kind, a.failure.Outcome, time.Since(began).Round(10*time.Millisecond))
		if a.failure.Kind != brerror.QueueTimeout.String() || a.failure.Outcome != brerror.NotRun.String() {
			t.Errorf("response %+v, want %s, not run", a, brerror.QueueTimeout)
		}
		if n := e.counts().Requests[id]; n != 0 {
			t.Errorf("request reached the engine %d times, want 0", n)
		}
		for _, d := range excluding(c.daemons, entry) {
			if a := complete(ctx, d.caller, call{maxTokens: 4}); !a.finished {
				t.Errorf("response %+v at %s, want a complete one", a, d.id)
			}
		}
	}
	c.reconnect(entry)
	c.eventually("entry serves again", func() bool { return complete(ctx, entry.caller, call{maxTokens: 4}).finished })
}
