package brcontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brerror"
)

// operation is a write, or a read of the value written last.
type operation struct {
	value         string
	read          bool
	err           error
	call, returns time.Duration
}

// checkOrder checks history against the order in which the entries were applied.
// Each operation has a place in it, its own or that of the value read, and one
// that was called after another returned has no earlier place.
func checkOrder(t *testing.T, history []operation, order []string) {
	place := map[string]int{"": 0}
	for i, v := range order {
		if place[v] != 0 {
			t.Errorf("%s was applied twice", v)
		}
		place[v] = i + 1
	}
	slices.SortFunc(history, func(a, b operation) int { return int(a.call - b.call) })
	returned := slices.Clone(history)
	slices.SortFunc(returned, func(a, b operation) int { return int(a.returns - b.returns) })
	floor := 0
	for _, op := range history {
		for len(returned) > 0 && returned[0].returns < op.call {
			if returned[0].err == nil {
				floor = max(floor, place[returned[0].value])
			}
			returned = returned[1:]
		}
		at, applied := place[op.value]
		notRun := brerror.Is(op.err, brerror.NotLeader) || brerror.Is(op.err, brerror.ShuttingDown)
		switch {
		case op.err == nil && !applied:
			t.Errorf("acknowledged %q was not applied", op.value)
		case notRun && applied:
			t.Errorf("%q was refused as not run (%v), but applied", op.value, op.err)
		case op.err == nil && at < floor:
			t.Errorf("operation %+v has place %d after %d", op, at, floor)
		}
	}
}

// Guards against a stale read, and a write that is applied twice, after it was
// refused, or not at all, while leaders are cut off, stopped and restarted.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, 100)
	g.leader()
	start := time.Now()
	var mu sync.Mutex
	var history []operation
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(history)
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	var written atomic.Int64
	ctx := context.Background()
	for _, n := range g.nodes {
		r, m := n.Replica, n.machine // a closed replica's calls end with an error
		for range 2 {
			wg.Go(func() {
				for !stop.Load() {
					op := operation{call: time.Since(start), read: rand.N(2) == 0}
					if op.read {
						if err := r.ReadBarrier(ctx); brerror.Is(err, brerror.ShuttingDown) {
							return
						} else if err != nil {
							continue
						}
						if list := m.get(); len(list) > 0 {
							op.value = list[len(list)-1]
						}
					} else {
						op.value = strconv.FormatInt(written.Add(1), 10)
						_, op.err = r.Propose(ctx, []byte(op.value))
					}
					op.returns = time.Since(start)
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
					if brerror.Is(op.err, brerror.ShuttingDown) {
						return
					}
				}
			})
		}
	}
	work := func() { // lets enough operations pass between two faults
		want := count() + 500
		g.wait("progress", func() bool { return count() >= want })
	}
	for range 2 {
		work()
		l := g.leader()
		g.cut(l)
		g.wait("new leader", func() bool { return g.leader() != l })
		work()
		g.listen(l, nil)
		work()
		g.leader().TransferLeadership(ctx)
	}
	l := g.leader()
	g.stop(l)
	work()
	g.start(l, nil)
	stop.Store(true)
	wg.Wait()
	g.propose(g.leader(), "end")
	checkOrder(t, history, g.same())
	t.Logf("%d operations", len(history))
}
