package brfleet

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"bramleyroute/brcore"
)

// TestOddRollout guards against an order of a rollout that ends the leading daemon, and
// each one that leads after it, since the order stays in the log.
func TestOddRollout(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	var invalid *InvalidError
	for _, r := range []brcore.Rollout{
		{Service: "zero", Target: "v", Duration: 0},
		{Service: "negative", Target: "v", Duration: math.MinInt64},
		{Service: "text\xff", Target: "v", Duration: time.Second},
		{Service: "text", Target: "v\xff", Duration: time.Second},
	} {
		if _, err := c.fleets[1].BeginRollout(context.Background(), r); !errors.As(err, &invalid) {
			t.Errorf("rollout %+v: error %v, want an InvalidError", r, err)
		}
	}
	time.Sleep(3 * evaluationInterval) // the leader evaluates what it has accepted
	c.put(2, 2)
	c.awaitInForce(2)
}

// TestOddRolloutInLog guards against a rollout without a duration, from the log of an
// earlier release, that ends each daemon that leads.
func TestOddRolloutInLog(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	f := c.fleets[0]
	c.await("rollout accepted", func() bool {
		_, err := f.core.BeginRollout(context.Background(), brcore.Rollout{Service: "zero", Target: "v"})
		return err == nil
	})
	c.await("rollout taken back", func() bool {
		r, err := f.Rollout(context.Background(), "zero")
		return err == nil && r.Outcome == brcore.RolledBack
	})
}
