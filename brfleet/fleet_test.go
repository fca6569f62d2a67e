package brfleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brcore"
	"bramleyroute/brplace"
)

// TestPolicyReachesAll guards against an acknowledged policy that is not put in
// force at daemons without a disk, and against an older policy that replaces a
// newer one.
func TestPolicyReachesAll(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.put(4, 3)
	c.awaitInForce(3)
	c.put(0, 2)
	c.put(3, 8)
	c.awaitInForce(8)
	for i := range c.fleets {
		if v := c.read(i); v != 8 {
			t.Errorf("daemon %d reads policy version %d, want 8", i, v)
		}
	}
	var invalid *InvalidError
	if err := c.fleets[0].PutPolicy(context.Background(), []byte("{")); !errors.As(err, &invalid) {
		t.Errorf("put of a malformed policy: got %v, want an InvalidError", err)
	}
}

// TestAllDaemonsRestart guards against the loss of an acknowledged policy when all
// daemons are down at the same time.
func TestAllDaemonsRestart(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 5)
	for i := range c.fleets {
		c.stop(i)
	}
	for i := range c.fleets {
		c.start(i, false)
	}
	c.awaitInForce(5)
	if v := c.read(3); v != 5 {
		t.Errorf("policy version %d after the restart, want 5", v)
	}
}

// TestLostDisks guards against a group that loses an acknowledged policy when a
// second disk fails right after the first was replaced.
func TestLostDisks(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	for lost := range 3 {
		c.stop(lost)
		if err := os.RemoveAll(c.dirs[lost]); err != nil {
			t.Fatal(err)
		}
		c.start(lost, false)
		c.await("replica with a new disk is a voter again", func() bool {
			st, ok := c.fleets[lost].core.Status()
			return ok && st.Membership.Voters() == 3 && st.Membership.IsVoter(st.ID)
		})
		version := uint64(lost + 2)
		c.put((lost+1)%3, version)
		c.awaitInForce(version)
	}
	if v := c.read(3); v != 4 {
		t.Errorf("policy version %d after three lost disks, want 4", v)
	}
}

// TestReplacedReplica guards against a group that keeps a permanently lost replica
// as a member next to its successor at another address.
func TestReplacedReplica(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(1, 1)
	c.stop(0)
	c.dirs[3] = filepath.Join(t.TempDir(), "data")
	c.stop(3)
	c.start(3, false)
	c.await("successor replaces the lost replica as a voter", func() bool {
		st, ok := c.fleets[3].core.Status()
		return ok && st.Membership.Voters() == 3 && st.Membership.IsVoter(st.ID)
	})
	c.stop(1)
	c.put(2, 2)
	c.awaitInForce(2)
}

// TestNoMajority guards against reads of the policy and acknowledgements of a new
// one while only a minority of the replicas runs: the minority can't determine the
// newest policy.
func TestNoMajority(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	c.awaitInForce(1)
	c.stop(0)
	c.stop(1)
	c.await("no daemon confirms the newest policy", func() bool { return c.read(2) == 0 && c.read(3) == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.fleets[3].PutPolicy(ctx, testPolicy(t, 9)); !errors.Is(err, brcore.ErrUnavailable) {
		t.Errorf("put without a majority: got %v, want ErrUnavailable", err)
	}
	if v := c.fleets[3].Proxy().Table().Policy().Version; v != 1 {
		t.Errorf("policy version %d in force, want 1", v)
	}
}

// TestServeWhileReplicasFail guards against requests that depend on a replica: they
// are served while every replica is down.
func TestServeWhileReplicasFail(t *testing.T) {
	c := newCluster(t, 4, 3)
	var served atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		io.WriteString(w, "ok")
	}))
	defer endpoint.Close()
	c.put(3, 1)
	c.awaitInForce(1)
	err := c.fleets[0].Announce(t.Context(), Announcement{
		Endpoint: brplace.Endpoint{ID: "e", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 4}, Born: 1, Sequence: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	f := c.fleets[3]
	c.await("endpoint is known", func() bool { return f.endpoints.count() == 1 })
	front := httptest.NewServer(f.Proxy())
	defer front.Close()
	for i := range 3 {
		c.stop(i)
		if status := get(t, front); status != http.StatusOK {
			t.Errorf("status %d after the loss of %d replicas, want 200", status, i+1)
		}
	}
	if served.Load() != 3 {
		t.Errorf("%d requests reached the endpoint, want 3", served.Load())
	}
}
