package brfleet

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// votersOf returns the daemons whose replica votes, the leader first.
func (c *cluster) votersOf() (voters []int) {
	for i, f := range c.fleets {
		if f == nil {
			continue
		}
		st, ok := f.core.Status()
		switch {
		case !ok || !st.Membership.IsVoter(st.ID):
		case f.core.IsLeader():
			voters = append([]int{i}, voters...)
		default:
			voters = append(voters, i)
		}
	}
	return voters
}

// TestPlannedStopThenLoss guards against a group of daemons that has no majority after one of
// them has stopped as planned, whether for good or not, and another one is lost before, at or
// after the end of the first. A fourth replica is there, as in a planned replacement.
func TestPlannedStopThenLoss(t *testing.T) {
	const before = time.Duration(-1)     // the other one is lost before
	for _, leaves := range []int{0, 1} { // the leader, or another voter
		for _, delay := range []time.Duration{before, 0, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(leaves, delay), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 4, 4)
				c.put(0, 1)
				c.await("the group is complete", func() bool { return c.complete() && len(c.votersOf()) == 3 })
				voters := c.votersOf()
				leaving, lost := voters[leaves], voters[2]
				if delay == before {
					c.stop(lost)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				c.fleets[leaving].Leave(ctx)
				c.stop(leaving)
				if delay != before {
					time.Sleep(delay)
					c.stop(lost)
				}
				began := time.Now()
				for i, f := range c.fleets {
					if f != nil {
						c.put(i, uint64(2+i))
						break
					}
				}
				if d := time.Since(began); d > 4*time.Second {
					t.Errorf("a change is acknowledged after %v, want at most 4 s", d)
				}
			})
		}
	}
}
