package brdaemon

import (
	"testing"

	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/google/go-cmp/cmp"
)

// Guards against a pool that is owned in another region while its own has
// schedulers, an owner with the role of entry while another candidate doesn't
// have it, and a takeover that waits for entries that can't hold the pool's
// requests.
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
		if want[0] == nil { // without a scheduler in the region, all schedulers are candidates
			if len(got) != 3 {
				t.Errorf("%s: got candidates %v, want all 3 schedulers", pool, got)
			}
		} else if diff := cmp.Diff(want[0], got); diff != "" {
			t.Errorf("%s: candidates differ (-want +got):\n%s", pool, diff)
		}
		if diff := cmp.Diff(want[1], entriesOf(v, pool)); diff != "" {
			t.Errorf("%s: entries differ (-want +got):\n%s", pool, diff)
		}
	}
}
