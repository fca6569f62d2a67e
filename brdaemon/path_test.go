package brdaemon

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brfake"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

var (
	testEngine  = brfake.Config{Kind: brwire.KindEngine, Model: testModel, StepBase: 5 * time.Millisecond, CacheBlocks: 64}
	testLookups = brfake.Config{Kind: brwire.KindService, Model: testService, ServiceLatency: 20 * time.Millisecond}
)

// TestLostPathToEndpoints guards against failing the callers of an entry that has lost its
// own path to all endpoints, while the other daemons reach them.
func TestLostPathToEndpoints(t *testing.T) {
	for _, form := range partitions {
		t.Run(string(form), func(t *testing.T) {
			c := startCluster(t, 4)
			c.addEndpoints(3, testEngine)
			c.addEndpoints(2, testLookups)
			const cut = 2
			c.load(500*time.Millisecond, 20*time.Millisecond, completeOrLookUp)
			c.networks[cut].set(form)
			c.load(time.Second, 20*time.Millisecond, completeOrLookUp)
			results := c.load(2*time.Second, 20*time.Millisecond, completeOrLookUp)
			t.Logf("served at the daemon without a path: %+v, at all: %+v", results[cut], results)
			for i, r := range results {
				if r.rate() < 0.95 {
					t.Errorf("daemon %d serves %d of %d requests, want 95 in 100", i, r.ok, r.sent)
				}
			}
		})
	}
}

// completeOrLookUp sends requests to the engines and the plain service in turn.
func completeOrLookUp(d *Daemon, n int) bool {
	if n%2 == 0 {
		return complete(d, n)
	}
	return lookUp(d, n)
}

// TestLostPathsBlameNoEndpoint guards against taking what entries without a path report
// for faults of sound endpoints: suspending these, quarantining the requests that ran, or
// stopping a sound version.
func TestLostPathsBlameNoEndpoint(t *testing.T) {
	const (
		daemons = 11
		cut     = 7
	)
	for _, form := range partitions {
		t.Run(string(form), func(t *testing.T) {
			c := startCluster(t, daemons)
			slow := testLookups
			slow.ServiceLatency = 100 * time.Millisecond // several calls are in progress when the path is lost
			c.addEndpoints(4, testEngine)
			c.addEndpoints(4, slow)
			c.rollOut(testModel, 250)
			c.rollOut(testService, 250)
			c.load(2*time.Second, 50*time.Millisecond, completeOrLookUp)
			time.AfterFunc(500*time.Millisecond, func() {
				for _, w := range c.networks[:cut] {
					w.set(form)
				}
			})
			c.load(time.Second, 50*time.Millisecond, completeOrLookUp)
			results := c.load(2*time.Second, 50*time.Millisecond, completeOrLookUp)
			t.Logf("served: %+v", results)
			blamed := map[string]int{}
			for _, e := range c.events(brtimeline.EndpointHalfOpen, brtimeline.QuarantineBegun, brtimeline.RolloutTripped) {
				blamed[fmt.Sprint(e.Kind, " in ", e.Pool, ": ", e.Reason)]++
			}
			if len(blamed) > 0 {
				t.Errorf("events %v, want none", blamed)
			}
			for i, r := range results {
				if r.rate() < 0.95 {
					t.Errorf("daemon %d serves %d of %d requests, want 95 in 100", i, r.ok, r.sent)
				}
			}
		})
	}
}
