package brsystem

import (
	"sync"
	"testing"
	"time"
)

// direction is the direction of a daemon's traffic that a one-way partition lets
// through.
type direction string

const (
	outboundOnly direction = "outbound_only" // the daemon sends but receives nothing
	inboundOnly  direction = "inbound_only"  // the daemon receives but nothing that it sends arrives
)

// blockOneWay blocks the traffic between d and all other daemons except in the
// given direction. The connections stay open.
func (c *cluster) blockOneWay(d *daemon, w direction) {
	c.t.Helper()
	for i, p := range c.links(d) {
		inbound, outbound := "upstream", "downstream" // links that the other daemons dialed
		if i%2 == 1 {
			inbound, outbound = outbound, inbound // links that d dialed
		}
		if w == outboundOnly {
			c.block(p, inbound)
		} else {
			c.block(p, outbound)
		}
	}
}

// Guards against a daemon that does damage while its traffic passes in one
// direction only. As the control leader it must neither stop the group from
// accepting changes nor accept changes on its own, as a pool's owner it must
// give up the pool, and no request may run twice.
func TestOneWayPartition(t *testing.T) {
	for _, w := range []direction{outboundOnly, inboundOnly} {
		t.Run(string(w), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, spec{daemons: 5, controls: 3, partitions: true})
			e := c.addFake("engine-1", "--step-base=5ms")
			ctx := testContext(t)
			former := c.leader(c.daemons[:3])
			rest := excluding(c.daemons, former)
			c.mustPut(rest[0], marked(marker(0)))
			c.blockOneWay(former, w)
			partitionedAt := time.Now()
			c.leader(excluding(c.daemons[:3], former))
			t.Logf("another leader %v after the partition began", time.Since(partitionedAt).Round(10*time.Millisecond))
			last := c.mustPut(rest[0], marked(marker(1)))
			if took := time.Since(partitionedAt); took > 10*time.Second {
				t.Errorf("no change accepted for %v, want at most 10s", took)
			}
			c.eventually(former.id+" accepts no work", func() bool { return !ready(former) })
			if _, err := put(former, "", marked("one-way")); err == nil {
				t.Error("the partitioned daemon accepted a change, want an error")
			}
			var wg sync.WaitGroup
			ids := make([]string, 12)
			for i := range ids {
				ids[i] = newID()
				wg.Go(func() {
					c.eventually("response", func() bool {
						a := complete(ctx, rest[i%len(rest)].caller, call{id: ids[i], route: "draft", maxTokens: 20})
						return a.matches(ids[i], 0, 20) || a.failure.Outcome == "unknown"
					})
				})
			}
			wg.Wait()
			for id, n := range e.counts().Requests {
				if n > 1 {
					t.Errorf("request %s reached the engine %d times, want at most 1", id, n)
				}
			}
			c.reconnect(former)
			c.waitReady(former)
			c.eventually("last change at "+former.id, func() bool { n, _ := configAt(former); return n >= last })
		})
	}
}
