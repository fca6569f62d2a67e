package brcontrol

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwal"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

// TestCommitAndRead guards against forwarded proposals that return no result,
// reads on a follower that miss a committed entry, confirmations that are too
// old, and goroutines that outlive Close.
func TestCommitAndRead(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	g := newGroup(t, 3, 0)
	defer func() {
		for _, n := range g.nodes {
			g.stop(n)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l := g.leader()
	for i, n := range g.nodes {
		if got := g.propose(n, fmt.Sprint("x", i)); got != fmt.Sprint(i+1) {
			t.Errorf("proposal %d through %s returned %s, want the number of entries applied", i, n.cfg.Self.ID, got)
		}
		for _, m := range g.nodes {
			if err := m.ReadBarrier(ctx); err != nil {
				t.Fatal(err)
			}
			if got := m.machine.entries(); len(got) != i+1 {
				t.Errorf("%s read %v after proposal %d, want all proposed entries", m.cfg.Self.ID, got, i)
			}
		}
	}
	commit := l.Status().Commit
	for _, n := range g.nodes {
		g.wait("confirmation", func() bool {
			rev, age, ok := n.ConfirmedRevision()
			return ok && rev >= commit && age < time.Second
		})
	}
	if _, err := l.Propose(ctx, make([]byte, MaxProposalBytes+1)); !brerror.Is(err, brerror.TooLarge) {
		t.Errorf("oversized proposal returned error %v, want kind TooLarge", err)
	}
}

// TestCallbacks guards against OnLeader being called before the entries committed
// by earlier leaders are applied, and against a missing call when leadership ends.
func TestCallbacks(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var calls []string
	record := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, fmt.Sprintf(format, args...))
	}
	g := newGroup(t, 1, 0)
	n := g.nodes[0]
	g.propose(n, "x")
	g.stop(n)
	n.cfg.OnApplied = func(i uint64) { record("applied %d", i) }
	n.cfg.OnLeader = func(leads bool, term uint64) {
		record("leads term %d: %v with %d entries", term, leads, len(n.machine.entries()))
	}
	g.start(n, nil)
	g.propose(n, "y")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := n.TransferLeadership(ctx); !brerror.Is(err, brerror.NoQuorum) {
		t.Errorf("transfer by the only replica returned error %v, want kind NoQuorum", err)
	}
	g.stop(n)
	want := []string{
		"leads term 3: true with 1 entries", "applied 4", "applied 5", "leads term 3: false with 2 entries",
	}
	if diff := cmp.Diff(want, calls); diff != "" {
		t.Error(diff)
	}
}

// TestFailoverAndRestart guards against acknowledged entries that are lost when
// the leader stops, and against replicas that can't resume from their disk.
func TestFailoverAndRestart(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 20)
	for i := range 30 {
		g.propose(g.nodes[i%3], fmt.Sprint(i))
	}
	l := g.leader()
	g.stop(l)
	g.propose(g.leader(), "after failover")
	g.start(l, nil)
	if got := g.waitForEqualState(); len(got) != 31 || got[30] != "after failover" {
		t.Errorf("state is %v, want 31 entries ending with \"after failover\"", got)
	}
	for _, n := range g.nodes {
		g.stop(n)
	}
	for _, n := range g.nodes {
		g.start(n, nil)
	}
	g.propose(g.nodes[0], "after restart")
	if got := g.waitForEqualState(); len(got) != 32 {
		t.Errorf("%d entries after restarting all replicas, want 32", len(got))
	}
}

// TestLostDisks guards against a replica that rejoins under its old ID after it
// lost its disk, and against a group that does not tolerate the next disk loss
// after the replica was replaced.
func TestLostDisks(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 20)
	for i := range 50 {
		g.propose(g.nodes[0], fmt.Sprint(i))
	}
	for _, n := range g.nodes {
		old := n.Status().ID
		g.loseDisk(n)
		g.wait("repair", func() bool { return g.repaired(n) })
		if id := n.Status().ID; id == old {
			t.Errorf("replica rejoined with its old ID %s, want a new ID", id)
		}
	}
	g.propose(g.nodes[1], "last")
	if got := g.waitForEqualState(); len(got) != 51 {
		t.Errorf("%d entries, want 51", len(got))
	}
}

// TestPartitionedLeader guards against a leader that keeps its lease although it
// receives no messages, and against proposals that block on such a leader.
func TestPartitionedLeader(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 0)
	g.propose(g.nodes[0], "before")
	old := g.leader()
	g.disconnect(old)
	g.wait("new leader", func() bool {
		n := g.leader()
		return n != old
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := old.Propose(ctx, []byte("never")); !brerror.Is(err, brerror.NotLeader) {
		t.Errorf("proposal at a partitioned replica returned error %v, want kind NotLeader", err)
	}
	g.propose(g.leader(), "after")
	g.listen(old, nil)
	if got := g.waitForEqualState(); len(got) != 2 {
		t.Errorf("state is %v, want 2 entries", got)
	}
}

// TestTransferUnderLoad guards against a planned leadership transfer that fails
// concurrent proposals or applies one of them twice.
func TestTransferUnderLoad(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var stop atomic.Bool
	var wg sync.WaitGroup
	var committed atomic.Int64
	for i, n := range g.nodes {
		wg.Go(func() {
			for k := 0; !stop.Load(); k++ {
				if _, err := n.Propose(ctx, fmt.Append(nil, i, k)); err != nil {
					t.Errorf("proposal during the leadership transfer returned error %v, want none", err)
					return
				}
				committed.Add(1)
			}
		})
	}
	for range 3 {
		l := g.leader()
		if err := l.TransferLeadership(ctx); err != nil {
			t.Error(err)
		}
		g.wait("new leader", func() bool { return g.leader() != l })
	}
	stop.Store(true)
	wg.Wait()
	if got := g.waitForEqualState(); len(got) != int(committed.Load()) {
		t.Errorf("%d entries applied, want %d", len(got), committed.Load())
	}
}

// TestFailedSyncIsFatal guards against a replica that continues after a failed
// sync, and against a group that stops committing without that replica.
func TestFailedSyncIsFatal(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 0)
	l := g.leader()
	g.stop(l)
	var broken atomic.Bool
	l.cfg.WAL.Sync = func(f *os.File) error {
		if broken.Load() {
			return errors.New("disk error")
		}
		return f.Sync()
	}
	// The replica with the failing disk must be a follower, because the outcome of
	// a proposal is unknown when the leader's disk fails. The other replicas
	// therefore elect a leader before it is started.
	g.wait("leader among the other replicas", func() bool {
		return slices.ContainsFunc(g.running(), func(n *node) bool { return n.Status().LeaseValid })
	})
	g.start(l, nil)
	g.propose(g.leader(), "before")
	if g.leader() == l {
		t.Fatal("the replica with the failing disk is the leader, want a follower")
	}
	broken.Store(true)
	g.propose(g.leader(), "after")
	if err := <-l.fatal; !errors.Is(err, brwal.ErrFailed) {
		t.Errorf("fatal error is %v, want brwal.ErrFailed", err)
	}
}

// TestRemovedReplicaStops guards against a removed replica that keeps running or
// rejoins after a restart, for the removal of a follower and of the leader.
func TestRemovedReplicaStops(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, role := range []string{"follower", "leader"} {
		t.Run(role, func(t *testing.T) {
			g := newGroup(t, 3, 0)
			l := g.leader()
			n := l
			for _, x := range g.nodes {
				if role == "follower" && x != l {
					n = x
				}
			}
			if err := l.RemoveReplica(ctx, n.Status().ID); err != nil {
				t.Fatal(err)
			}
			g.stop(n)
			g.propose(g.leader(), "without it")
			g.start(n, nil)
			if err := <-n.fatal; !errors.Is(err, ErrRemoved) {
				t.Errorf("removed replica reported %v, want ErrRemoved", err)
			}
		})
	}
}

// TestRemovedReplicaOfMovedGroup guards against a replica that stays out of the group for
// good, because it was off while all members that it knew were replaced at other
// addresses.
func TestRemovedReplicaOfMovedGroup(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g := newGroup(t, 3, 0)
	g.propose(g.nodes[0], "before")
	off := g.nodes[2]
	id := off.Status().ID
	g.stop(off)
	if err := g.leader().RemoveReplica(ctx, id); err != nil {
		t.Fatal(err)
	}
	for i, old := range g.nodes[:2] {
		n := g.add(fmt.Sprint("new", i))
		g.wait("the new replica is a voter", func() bool {
			m := n.Status()
			return m.Commit == m.Last && m.Membership.IsVoter(m.ID)
		})
		if err := g.leader().RemoveReplica(ctx, old.Status().ID); err != nil {
			t.Fatal(err)
		}
		g.stop(old)
	}
	off.cfg.Peers = []Peer{off.cfg.Self, g.nodes[3].cfg.Self, g.nodes[4].cfg.Self}
	g.start(off, nil)
	select {
	case err := <-off.fatal:
		if !errors.Is(err, ErrRemoved) {
			t.Errorf("replica reported %v, want ErrRemoved", err)
		}
	case <-ctx.Done():
		t.Errorf("replica that was removed isn't told; its status is %+v", off.Status())
	}
}
