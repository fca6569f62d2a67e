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

// operation is a write, or a read of the last written value. The fields call and
// returns are the times of the call and of its return since the test started.
type operation struct {
	value         string
	read          bool
	err           error
	call, returns time.Duration
}

// checkLinearizable checks history against the order in which entries were
// applied. The position of an operation is the position of the value written or
// read. An operation called after another one returned must not have a lower
// position.
func checkLinearizable(t *testing.T, history []operation, order []string) {
	position := map[string]int{"": 0}
	for i, v := range order {
		if position[v] != 0 {
			t.Errorf("value %s was applied twice, want once", v)
		}
		position[v] = i + 1
	}
	slices.SortFunc(history, func(a, b operation) int { return int(a.call - b.call) })
	returned := slices.Clone(history)
	slices.SortFunc(returned, func(a, b operation) int { return int(a.returns - b.returns) })
	minPosition := 0
	for _, op := range history {
		for len(returned) > 0 && returned[0].returns < op.call {
			if returned[0].err == nil {
				minPosition = max(minPosition, position[returned[0].value])
			}
			returned = returned[1:]
		}
		pos, applied := position[op.value]
		notRun := brerror.Is(op.err, brerror.NotLeader) || brerror.Is(op.err, brerror.ShuttingDown)
		switch {
		case op.err == nil && !applied:
			t.Errorf("acknowledged value %q was not applied", op.value)
		case notRun && applied:
			t.Errorf("rejected value %q was applied; error was: %v", op.value, op.err)
		case op.err == nil && pos < minPosition:
			t.Errorf("operation %+v has position %d, want at least %d", op, pos, minPosition)
		}
	}
}

// TestLinearizable guards against stale reads, and against writes that are applied
// twice, applied after they were rejected, or lost after they were acknowledged,
// while leaders are disconnected, stopped and restarted.
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
		r, m := n.Replica, n.machine // calls to a closed replica return an error
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
						if list := m.entries(); len(list) > 0 {
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
	waitForOperations := func() { // runs 500 operations between two faults
		want := count() + 500
		g.wait("500 more operations", func() bool { return count() >= want })
	}
	for range 2 {
		waitForOperations()
		l := g.leader()
		g.disconnect(l)
		g.wait("new leader", func() bool { return g.leader() != l })
		waitForOperations()
		g.listen(l, nil)
		waitForOperations()
		g.leader().TransferLeadership(ctx)
	}
	l := g.leader()
	g.stop(l)
	waitForOperations()
	g.start(l, nil)
	stop.Store(true)
	wg.Wait()
	g.propose(g.leader(), "end")
	checkLinearizable(t, history, g.waitForEqualState())
	t.Logf("checked %d operations", len(history))
}
