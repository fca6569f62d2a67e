package brsystem

import (
	"sync"
	"testing"
	"time"
)

// direction is what a one-way cut lets through of a daemon's traffic.
type direction string

const (
	deaf direction = "deaf" // it sends and hears nothing
	mute direction = "mute" // it hears and nothing that it sends arrives
)

// cutOneWay silently cuts one direction between d and all other daemons.
func (c *cluster) cutOneWay(d *daemon, w direction) {
	c.t.Helper()
	for i, p := range c.links(d) {
		towards, away := "upstream", "downstream" // where others dial d
		if i%2 == 1 {
			towards, away = away, towards // where d dials others
		}
		if w == deaf {
			c.cut(p, towards)
		} else {
			c.cut(p, away)
		}
	}
}

// Guards against a daemon whose traffic passes in one direction only: as the
// control leader it must not keep the group from changes or accept some on its
// own, as a pool's owner it must not keep the pool, and no request may run twice.
func TestOneWayCut(t *testing.T) {
	for _, w := range []direction{deaf, mute} {
		t.Run(string(w), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, spec{daemons: 5, controls: 3, partitions: true})
			e := c.addFake("engine-1", "--step-base=5ms")
			ctx := testContext(t)
			old := c.leader(c.daemons[:3])
			rest := without(c.daemons, old)
			c.mustPut(rest[0], marked(marker(0)))
			c.cutOneWay(old, w)
			cut := time.Now()
			c.leader(without(c.daemons[:3], old))
			t.Logf("another leader %v after the cut", time.Since(cut).Round(10*time.Millisecond))
			last := c.mustPut(rest[0], marked(marker(1)))
			if took := time.Since(cut); took > 10*time.Second {
				t.Errorf("no change for %v", took)
			}
			c.eventually(old.id+" takes no work", func() bool { return !ready(old) })
			if _, err := put(old, "", marked("one-way")); err == nil {
				t.Error("the daemon that is cut off accepted a change")
			}
			var wg sync.WaitGroup
			ids := make([]string, 12)
			for i := range ids {
				ids[i] = newID()
				wg.Go(func() {
					c.eventually("answer", func() bool {
						a := complete(ctx, rest[i%len(rest)].caller, call{id: ids[i], route: "draft", maxTokens: 20})
						return a.right(ids[i], 0, 20) || a.failure.Outcome == "unknown"
					})
				})
			}
			wg.Wait()
			for id, n := range e.counts().Requests {
				if n > 1 {
					t.Errorf("request %s reached the engine %d times", id, n)
				}
			}
			c.rejoin(old)
			c.waitReady(old)
			c.eventually("last change at "+old.id, func() bool { n, _ := configAt(old); return n >= last })
		})
	}
}
