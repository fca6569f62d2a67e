package brfleet

import (
	"fmt"
	"testing"

	"bramleyroute/brplace"
	"bramleyroute/brtest"
)

// TestPlannedStopLosesNoWithdrawal guards against a stop after which the other daemons don't
// know of the endpoints whose withdrawal it has acknowledged last.
func TestPlannedStopLosesNoWithdrawal(t *testing.T) {
	const endpoints = 10
	c := newCluster(t, 3, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	f, other := c.fleets[0], &c.fleets[1].endpoints
	for i := range endpoints {
		e := brplace.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("127.0.0.1:", 100+i), Zone: "z", Version: "v", Slots: 1}
		if err := f.Announce(t.Context(), Announcement{Endpoint: e, Born: 1, Sequence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	serving := func() int {
		n := 0
		for i := range endpoints {
			if _, ok := other.serving(fmt.Sprint("e", i)); ok {
				n++
			}
		}
		return n
	}
	c.await("endpoints are known", func() bool { return serving() == endpoints })
	for i := range endpoints {
		if err := f.Withdraw(t.Context(), fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	f.Flush(t.Context())
	c.stop(0)
	brtest.Await(t, endpointLifetime/3, "withdrawals are known", func() bool { return serving() == 0 })
}
