package brfleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brcore"
	"bramleyroute/brplace"
)

// order orders an evacuation or withdraws it by the given method of a daemon, and retries until that is
// acknowledged, as an operator does.
func (c *cluster) order(what string, change func(ctx context.Context, domain string) error, domain string) {
	c.t.Helper()
	c.await(what, func() bool {
		err := change(c.t.Context(), domain)
		if err != nil && !errors.Is(err, brcore.ErrUnavailable) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

// awaitEvacuated waits until all running daemons have exactly these evacuations in force.
func (c *cluster) awaitEvacuated(domains ...string) {
	c.t.Helper()
	for i, f := range c.fleets {
		if f != nil {
			c.await(strings.Join(domains, ",")+" evacuated", func() bool { return slices.Equal(c.fleets[i].evacuations.names(), domains) })
		}
	}
}

// domainEndpoints are an endpoint in each of two failure domains, which count arrivals.
type domainEndpoints struct{ arrived [2]atomic.Int64 }

var endpointDomains = [2]string{"a", "b"}

func startDomainEndpoints(t *testing.T, c *cluster) *domainEndpoints {
	e := &domainEndpoints{}
	for i, domain := range endpointDomains {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			e.arrived[i].Add(1)
			io.WriteString(w, "ok")
		}))
		t.Cleanup(server.Close)
		endpoint := brplace.Endpoint{ID: domain, Service: "s", Zone: domain, Address: server.Listener.Addr().String(), Slots: 7}
		if err := c.fleets[0].Announce(t.Context(), Announcement{Endpoint: endpoint, Born: 1, Sequence: 1}); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range c.fleets {
		c.await("endpoints are known", func() bool { return f.endpoints.count() == len(endpointDomains) })
	}
	return e
}

// check sends requests to each daemon and checks the status of the responses, and that none
// reaches the endpoints of the given domains.
func (e *domainEndpoints) check(t *testing.T, c *cluster, when string, status int, evacuated ...string) {
	t.Helper()
	const requests = 10 // to each daemon
	before := [2]int64{e.arrived[0].Load(), e.arrived[1].Load()}
	for i, f := range c.fleets {
		for range requests {
			r := httptest.NewRequestWithContext(t.Context(), "GET", "/", nil)
			r.Host = "h"
			w := httptest.NewRecorder()
			f.Proxy().ServeHTTP(w, r)
			if w.Code != status || status == http.StatusServiceUnavailable && (w.Header().Get("Retry-After") == "" || strings.TrimSpace(w.Body.String()) != string(brplace.Evacuated)) {
				t.Fatalf("%s, daemon %d: status %d %q, Retry-After %q; want %d", when, i, w.Code, w.Body, w.Header().Get("Retry-After"), status)
			}
		}
	}
	for i, domain := range endpointDomains {
		if n := e.arrived[i].Load() - before[i]; n > 0 && slices.Contains(evacuated, domain) {
			t.Errorf("%s: %d requests reached the endpoint in domain %s", when, n, domain)
		}
	}
}

// TestEvacuationReachesAllDaemons guards against a daemon that sends requests to an
// evacuated domain: one without a disk, or one that has started after the order and
// serves before it knows of it. It also guards against a repeated order that is refused, and
// against one that stays in force after its withdrawal.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	endpoints := startDomainEndpoints(t, c)
	endpoints.check(t, c, "before", http.StatusOK)
	var orders sync.WaitGroup
	for i := range c.fleets { // the same order at all daemons at once
		orders.Go(func() { c.order("order", c.fleets[i].Evacuate, "a") })
	}
	orders.Wait()
	c.awaitEvacuated("a")
	endpoints.check(t, c, "a is evacuated", http.StatusOK, "a")
	c.stop(4)
	c.start(4, false)
	c.await("policy in force at the new daemon", func() bool { return c.fleets[4].Proxy().Table() != nil })
	if got := c.fleets[4].evacuations.names(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("a daemon that has just started serves with the evacuations %q, want a", got)
	}
	c.await("endpoints are known", func() bool { return c.fleets[4].endpoints.count() == 2 })
	c.order("second order", c.fleets[4].Evacuate, "b")
	c.awaitEvacuated("a", "b")
	endpoints.check(t, c, "both are evacuated", http.StatusServiceUnavailable, "a", "b")
	c.order("withdrawal", c.fleets[3].WithdrawEvacuation, "a")
	c.awaitEvacuated("b")
	endpoints.check(t, c, "a is back", http.StatusOK, "b")
	c.order("withdrawal", c.fleets[2].WithdrawEvacuation, "b")
	c.order("withdrawal, sent again", c.fleets[0].WithdrawEvacuation, "b")
	c.order("order once more", c.fleets[1].Evacuate, "a")
	c.awaitEvacuated("a")
	endpoints.check(t, c, "b is back", http.StatusOK, "a")
	c.order("last withdrawal", c.fleets[1].WithdrawEvacuation, "a")
	c.awaitEvacuated()
	if all, err := c.fleets[4].Evacuations(t.Context()); err != nil || len(all) > 0 {
		t.Errorf("evacuations %q, error %v, want none", all, err)
	}
}

// TestEvacuationWithoutMajority guards against an acknowledgement of what a majority doesn't
// have, and against an order that can't be given when the majority is back.
func TestEvacuationWithoutMajority(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(0, 1)
	c.awaitInForce(1)
	c.stop(1)
	c.stop(2)
	for _, i := range []int{0, 3} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		if err := c.fleets[i].Evacuate(ctx, "a"); !errors.Is(err, brcore.ErrUnavailable) {
			t.Errorf("order at daemon %d: error %v, want ErrUnavailable", i, err)
		}
		cancel()
	}
	c.start(1, false)
	c.order("order with a majority", c.fleets[3].Evacuate, "a")
	c.awaitEvacuated("a")
}
