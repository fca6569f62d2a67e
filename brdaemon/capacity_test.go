package brdaemon

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// BenchmarkCandidates measures the order of the daemons that may own a pool. A
// daemon works it out for each pool whose owner is out of reach, ten times a
// second.
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

// Guards against links to all other daemons that stay open after a loss of the
// control group, and against the closing of a link that something else uses.
func TestBriefLinks(t *testing.T) {
	l := newLinks(nil, &brpeer.Mux{}, nil)
	defer l.close()
	now := time.Unix(1_800_000_000, 0)
	const asked, used, usedBefore, askedAgain = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	l.conn(usedBefore)
	for _, a := range []string{asked, used, usedBefore, askedAgain} {
		l.briefConn(a, now)
	}
	l.conn(used)
	l.briefConn(askedAgain, now.Add(time.Second))
	l.dropBrief(now.Add(briefKeep))
	for a, want := range map[string]bool{asked: false, used: true, usedBefore: true, askedAgain: true} {
		if _, got := l.byAddr[a]; got != want {
			t.Errorf("%s open: %v, want %v", a, got, want)
		}
	}
	if l.dropBrief(now.Add(time.Second + briefKeep)); len(l.byAddr) != 2 || len(l.brief) != 0 {
		t.Errorf("%d links and %d brief ones left, want 2 and 0", len(l.byAddr), len(l.brief))
	}
}
