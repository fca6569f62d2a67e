package brfleet

import (
	"errors"
	"fmt"
	"testing"

	"bramleyroute/brplace"
	"bramleyroute/brtest"
)

func testEndpoint(i int) brplace.Endpoint {
	return brplace.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("127.0.0.1:", 100+i), Zone: "z", Version: "v", Slots: 1}
}

// newWithdrawalCluster returns a cluster of three daemons with disks and one without, which
// know the given number of endpoints.
func newWithdrawalCluster(t *testing.T, endpoints int) *cluster {
	c := newCluster(t, 4, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	for _, f := range c.fleets {
		c.await("links", func() bool { return len(f.node.LinkedAddresses()) == 3 })
	}
	for i := range endpoints {
		if err := c.fleets[0].Announce(t.Context(), Announcement{Endpoint: testEndpoint(i), Born: 1, Sequence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == endpoints })
	}
	return c
}

// holdersOf returns the number of running daemons with a disk that don't use endpoint i.
func (c *cluster) holdersOf(i int) int {
	n := 0
	for d, f := range c.fleets {
		if f == nil || c.dirs[d] == "" {
			continue
		}
		if _, ok := f.endpoints.serving(testEndpoint(i).ID); !ok {
			n++
		}
	}
	return n
}

// TestAcknowledgedWithdrawalIsHeld guards against a withdrawal, or a heartbeat of a leaving
// endpoint, that is acknowledged while fewer than two daemons with a disk have it: it is lost
// with the daemon that has acknowledged it and the one that the fleet tolerates to lose.
func TestAcknowledgedWithdrawalIsHeld(t *testing.T) {
	const endpoints = 24
	c := newWithdrawalCluster(t, endpoints)
	for i := range endpoints {
		f := c.fleets[i%4]
		var err error
		if i%8 < 4 {
			err = f.Withdraw(t.Context(), testEndpoint(i).ID)
		} else {
			e := testEndpoint(i)
			e.Leaving = true
			err = f.Announce(t.Context(), Announcement{Endpoint: e, Born: 1, Sequence: 2})
		}
		if n := c.holdersOf(i); err != nil || n < 2 {
			t.Errorf("endpoint %d leaves at daemon %d: error %v, %d daemons with a disk have it, want 2 or 3", i, i%4, err, n)
		}
	}
	c.stop(3)
	c.stop(0)
	c.await("the others know of all", func() bool {
		return len(c.fleets[1].endpoints.announcements) == endpoints && c.servingAt(1) == 0 && c.servingAt(2) == 0
	})
}

// servingAt returns the number of endpoints that daemon i uses.
func (c *cluster) servingAt(i int) int {
	g := &c.fleets[i].endpoints
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, a := range g.announcements {
		if !a.Endpoint.Leaving {
			n++
		}
	}
	return n
}

// TestWithdrawalWithoutHolders guards against an acknowledgement while too few daemons with a
// disk can be reached, against one that the loss of a single one prevents, and against a later
// one of what was refused before that still has too few holders.
func TestWithdrawalWithoutHolders(t *testing.T) {
	c := newWithdrawalCluster(t, 3)
	c.stop(0)
	if err := c.fleets[3].Withdraw(t.Context(), "e0"); err != nil {
		t.Errorf("one of three daemons with a disk is lost: %v", err)
	}
	c.stop(1)
	leaving := testEndpoint(1)
	leaving.Leaving = true
	for range 2 {
		if err := c.fleets[3].Withdraw(t.Context(), "e2"); !errors.Is(err, ErrUnconfirmed) {
			t.Errorf("withdrawal with two of three daemons lost: %v, want ErrUnconfirmed", err)
		}
		if err := c.fleets[3].Announce(t.Context(), Announcement{Endpoint: leaving, Born: 1, Sequence: 2}); !errors.Is(err, ErrUnconfirmed) {
			t.Errorf("heartbeat with two of three daemons lost: %v, want ErrUnconfirmed", err)
		}
	}
	c.start(1, false)
	brtest.Await(t, endpointLifetime/3, "withdrawal is acknowledged when a daemon is back", func() bool {
		return c.fleets[3].Withdraw(t.Context(), "e2") == nil
	})
}

// TestWithdrawalOfUnknownStart guards against a withdrawal without effect: it is acknowledged
// by a daemon that hasn't heard of the endpoint yet, or only of its former start.
func TestWithdrawalOfUnknownStart(t *testing.T) {
	const endpoints = 24
	c := newWithdrawalCluster(t, endpoints)
	for i := range endpoints + 8 {
		started := Announcement{Endpoint: testEndpoint(i), Born: 7, Sequence: 4}
		if err := c.fleets[0].Announce(t.Context(), started); err != nil {
			t.Fatal(err)
		}
		if err := c.fleets[3].Withdraw(t.Context(), started.Endpoint.ID); err != nil {
			t.Fatal(err)
		}
		if n := c.holdersOf(i); n < 2 {
			t.Errorf("endpoint %d: %d daemons with a disk know that it leaves, want 2 or 3", i, n)
		}
	}
	for i := range c.fleets {
		c.await("no endpoint is used", func() bool { return c.servingAt(i) == 0 })
	}
}

// TestWithdrawalAtStart guards against a withdrawal that is acknowledged by a daemon that has
// just started and knows no other one yet, so that nobody else ever has it.
func TestWithdrawalAtStart(t *testing.T) {
	const endpoints = 5
	c := newWithdrawalCluster(t, endpoints)
	for i := range endpoints {
		c.stop(3)
		c.start(3, false)
		err := c.fleets[3].Withdraw(t.Context(), testEndpoint(i).ID)
		if n := c.holdersOf(i); err == nil && n < 2 {
			t.Errorf("endpoint %d: withdrawal is acknowledged, and %d daemons with a disk have it, want 2 or 3", i, n)
		}
		c.await("withdrawal is acknowledged", func() bool { return c.fleets[3].Withdraw(t.Context(), testEndpoint(i).ID) == nil })
		if n := c.holdersOf(i); n < 2 {
			t.Errorf("endpoint %d: %d daemons with a disk have the withdrawal, want 2 or 3", i, n)
		}
	}
}
