package brdaemon

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// BenchmarkCandidates measures the sorting of the daemons that may own a pool.
// A daemon sorts them ten times a second for each pool whose owner is
// unreachable.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			var v brstate.View
			for i := range n {
				v.Daemons = append(v.Daemons, brwire.Daemon{ID: fmt.Sprintf("vm-%03d", i), Roles: []brwire.Role{brwire.RoleEntry, brwire.RoleScheduler}})
			}
			for b.Loop() {
				candidates(v, "model-0@gauteng")
			}
		})
	}
}

// Guards against query links to all other daemons that stay open after a loss
// of the control group, and against closing a link that has another use.
func TestIdleQueryLinks(t *testing.T) {
	l := newLinks(nil, &brpeer.Mux{}, nil)
	defer l.close()
	now := time.Unix(1_800_000_000, 0)
	const queried, used, usedBefore, queriedAgain = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	l.conn(usedBefore)
	for _, a := range []string{queried, used, usedBefore, queriedAgain} {
		l.queryConn(a, now)
	}
	l.conn(used)
	l.queryConn(queriedAgain, now.Add(time.Second))
	l.closeIdleQueryLinks(now.Add(queryLinkIdleTimeout))
	for a, want := range map[string]bool{queried: false, used: true, usedBefore: true, queriedAgain: true} {
		if _, got := l.byAddr[a]; got != want {
			t.Errorf("link to %s open: got %v, want %v", a, got, want)
		}
	}
	if l.closeIdleQueryLinks(now.Add(time.Second + queryLinkIdleTimeout)); len(l.byAddr) != 2 || len(l.queryOnly) != 0 {
		t.Errorf("got %d links and %d query links, want 2 and 0", len(l.byAddr), len(l.queryOnly))
	}
}
