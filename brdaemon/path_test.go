package brdaemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/brpeer"
	"bramleyroute/brtest"
	"bramleyroute/brtimeline"
	"bramleyroute/brtunnel"
	"bramleyroute/brwire"
)

var (
	testEngine  = brfake.Config{Kind: brwire.KindEngine, Model: testModel, StepBase: 5 * time.Millisecond, CacheBlocks: 64}
	testLookups = brfake.Config{Kind: brwire.KindService, Model: testService, ServiceLatency: 20 * time.Millisecond}
)

// TestLostPathToEndpoints guards against failing the callers of an entry that has lost its
// own path to all endpoints, while the other daemons reach them. The entry is also the
// owner of a pool, which must go on granting requests to the others.
func TestLostPathToEndpoints(t *testing.T) {
	for _, form := range partitions {
		t.Run(string(form), func(t *testing.T) {
			c := startCluster(t, 4)
			c.addEndpoints(3, testEngine)
			c.addEndpoints(2, testLookups)
			cut := slices.Index(c.daemons, c.owner(testModel).daemon)
			c.load(500*time.Millisecond, 20*time.Millisecond, completeOrLookUp)
			c.networks[cut].set(form)
			first := c.load(time.Second, 20*time.Millisecond, completeOrLookUp)
			results := c.load(2*time.Second, 20*time.Millisecond, completeOrLookUp)
			t.Logf("served at the daemon without a path: %+v, before that in the first second: %+v, at all: %+v", results[cut], first[cut], results)
			for i, r := range results {
				if r.rate() < 0.95 {
					t.Errorf("daemon %d serves %d of %d requests, want 95 in 100", i, r.ok, r.sent)
				}
			}
			c.checkRuns()
			p := c.daemons[cut].paths
			if p.dialer.Stats().Relayed == 0 {
				t.Error("no connection was relayed")
			}
			c.networks[cut].set(connected)
			brtest.Await(t, testTimeout, "direct connections", func() bool {
				return p.dialer.PrefersDirect(c.address(testModel, 0)) && p.dialer.PrefersDirect(c.address(testService, 0))
			})
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
			c.checkRuns()
		})
	}
}

// TestDeadEndpointIsBlamed guards against taking each failure for one of the path: an
// endpoint that no daemon can connect to must be suspended, although it announces itself.
func TestDeadEndpointIsBlamed(t *testing.T) {
	c := startCluster(t, 4)
	c.addEndpoints(3, testEngine)
	c.load(500*time.Millisecond, 20*time.Millisecond, complete)
	c.servers[0].CloseClientConnections()
	c.servers[0].Close()
	results := c.load(2*time.Second, 20*time.Millisecond, complete)
	t.Logf("served: %+v", results)
	half := c.events(brtimeline.EndpointHalfOpen)
	if len(half) == 0 {
		t.Error("dead endpoint isn't suspended")
	}
	for _, e := range half {
		if e.EndpointID != testModel+"0" {
			t.Errorf("endpoint %s is suspended for %q, want only the dead one", e.EndpointID, e.Reason)
		}
	}
	for i, r := range results {
		if r.rate() < 0.95 {
			t.Errorf("daemon %d serves %d of %d requests, want 95 in 100", i, r.ok, r.sent)
		}
		if c.daemons[i].paths.dialer.Partitioned() {
			t.Errorf("daemon %d counts as partitioned, want not", i)
		}
	}
}

// TestRelayConnectsOnlyToEndpoints guards against daemons that refuse to relay to an
// endpoint that announces itself to another daemon, and against those that relay to any
// address.
func TestRelayConnectsOnlyToEndpoints(t *testing.T) {
	c := startCluster(t, 4)
	c.addEndpoints(1, testEngine)
	c.addEndpoints(1, testLookups)
	known := []string{c.address(testModel, 0), c.address(testService, 0)}
	unknown := []string{c.daemons[0].self.CallerAddress, c.daemons[3].self.PeerAddress, "127.0.0.1:1", "localhost:80", ""}
	client := brtunnel.Dialer{Keys: brpeer.Keys{testPeerKey}}
	for _, d := range c.daemons {
		for _, a := range known {
			tunnel, err := client.Dial(t.Context(), d.self.PeerAddress, a)
			if err != nil {
				t.Errorf("%s: %v, want a tunnel to an endpoint", d.self.ID, err)
				continue
			}
			tunnel.Close()
		}
		for _, a := range unknown {
			_, err := client.Dial(t.Context(), d.self.PeerAddress, a)
			var dialErr *brtunnel.DialError
			if !errors.As(err, &dialErr) || dialErr.Cause != brtunnel.NotAllowed {
				t.Errorf("%s: tunnel to %q: %v, want cause %s", d.self.ID, a, err, brtunnel.NotAllowed)
			}
		}
		_, err := (&brtunnel.Dialer{}).Dial(t.Context(), d.self.PeerAddress, known[0])
		var dialErr *brtunnel.DialError
		if !errors.As(err, &dialErr) || dialErr.Cause != brtunnel.WrongKey {
			t.Errorf("%s: tunnel without a key: %v, want cause %s", d.self.ID, err, brtunnel.WrongKey)
		}
	}
}

// TestPlannedStopOfRelay guards against a planned stop of a daemon that interrupts the
// requests of other daemons for which it relays, or that takes new ones.
func TestPlannedStopOfRelay(t *testing.T) {
	c := startCluster(t, 4)
	c.addEndpoints(1, testEngine)
	relay, address := c.daemons[1], c.address(testModel, 0)
	client := brtunnel.Dialer{Keys: brpeer.Keys{testPeerKey}}
	tunnel, err := client.Dial(t.Context(), relay.self.PeerAddress, address)
	if err != nil {
		t.Fatal(err)
	}
	drained := make(chan error, 1)
	go func() { drained <- relay.Drain(context.Background()) }()
	brtest.Await(t, testTimeout, "new tunnels are refused", func() bool {
		c, err := client.Dial(t.Context(), relay.self.PeerAddress, address)
		if err == nil {
			c.Close()
		}
		var dialErr *brtunnel.DialError
		return errors.As(err, &dialErr) && dialErr.Cause == brtunnel.Leaving
	})
	select {
	case err := <-drained:
		t.Errorf("daemon has stopped with %v while a tunnel is open, want it to wait", err)
	case <-time.After(200 * time.Millisecond):
	}
	tunnel.Close()
	select {
	case err := <-drained:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("daemon doesn't stop after the end of the tunnel")
	}
}

// TestOrdersOverLostPath guards against rollouts that stall because the control leader,
// which sends the orders, has lost its own path to the endpoints.
func TestOrdersOverLostPath(t *testing.T) {
	c := startCluster(t, 4)
	c.addEndpoints(2, testEngine)
	for _, form := range partitions {
		c.networks[0].set(form)
		for n := range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
			defer cancel()
			client, address := c.daemons[0].paths.http, c.address(testModel, n)
			s, err := getState(ctx, client, address)
			if err != nil || s.EndpointID != fmt.Sprint(testModel, n) {
				t.Errorf("%s: state %+v, %v, want that of endpoint %d", form, s, err, n)
			}
			order := brengine.Order{Kind: brengine.OrderLoadVersion, OrderID: fmt.Sprint(form, n), Model: testModel, Version: "v3", FencingToken: 1}
			if err := postOrder(ctx, client, address, order); err != nil {
				t.Errorf("%s: order: %v", form, err)
			}
		}
	}
}
