package brfleet

import (
	"context"
	"testing"
	"time"

	"bramleyroute/brdrain"
)

// TestPlannedStopOfRelayEndsNoRequest guards against a planned stop that ends the requests
// which other daemons send through the stopping one.
func TestPlannedStopOfRelayEndsNoRequest(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	startEndpoints(t, c, 6, 300*time.Millisecond)
	front := c.fleets[3]
	c.networks[3].set(silentPartition, nil)
	s := newCallers(t, &cluster{fleets: []*Fleet{front}}, 20*time.Millisecond)
	c.await("the daemon relays", func() bool {
		s.run(500 * time.Millisecond)
		return front.paths.dialer.Partitioned()
	})
	s.count(true)
	stopped := make(chan struct{})
	time.AfterFunc(500*time.Millisecond, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
		defer cancel()
		c.fleets[0].Leave(ctx)
		if err := c.fleets[0].Drain(ctx, brdrain.Plan{Steered: time.Now(), End: time.Now().Add(6 * time.Second)}); err != nil {
			t.Errorf("Drain: %v", err)
		}
		c.stop(0)
	})
	s.run(3 * time.Second)
	<-stopped
	_, got := s.total(0)
	if got.ok != got.sent {
		t.Errorf("%d of %d requests served while a relay stops, want all", got.ok, got.sent)
	}
	if front.paths.dialer.Stats().Relayed == 0 {
		t.Error("no connection was relayed")
	}
}
