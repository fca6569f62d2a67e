package brdaemon

import (
	"testing"

	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/google/go-cmp/cmp"
)

// Guards against a pool that is owned in another region while its own has
// schedulers, an owner that is an entry where another isn't, and a takeover that
// waits for entries that can't hold the pool's requests.
func TestCandidates(t *testing.T) {
	both := []brwire.Role{brwire.RoleEntry, brwire.RoleScheduler}
	v := brstate.View{Daemons: []brwire.Daemon{
		{ID: "a", Region: "gauteng", Roles: both},
		{ID: "b", Region: "quito", Roles: []brwire.Role{brwire.RoleScheduler}},
		{ID: "c", Region: "gauteng", Roles: []brwire.Role{brwire.RoleScheduler, brwire.RoleControl}},
		{ID: "d", Region: "quito", Roles: []brwire.Role{brwire.RoleEntry}},
	}}
	for pool, want := range map[string][2][]string{
		"m@gauteng": {{"c", "a"}, {"a"}},
		"m@quito":   {{"b"}, {"d"}},
		"m@cape":    {nil, {}},
	} {
		got := candidates(v, pool)
		if want[0] == nil { // no scheduler of its own: those of other regions serve it
			if len(got) != 3 {
				t.Errorf("%s: candidates %v", pool, got)
			}
		} else if diff := cmp.Diff(want[0], got); diff != "" {
			t.Errorf("%s: candidates %s", pool, diff)
		}
		if diff := cmp.Diff(want[1], entriesOf(v, pool)); diff != "" {
			t.Errorf("%s: entries %s", pool, diff)
		}
	}
}
