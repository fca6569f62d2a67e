package brdaemon

import (
	"cmp"
	"hash/fnv"
	"slices"

	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// candidates returns the IDs of the daemons that may own a pool, in order of
// preference. They are the schedulers of the pool's region, because a grant
// costs a round trip, or all schedulers if the region has none. Daemons without
// the role of entry come first: when an owner is lost together with an entry,
// IDs that callers sent just before may have been dispatched by that entry and
// are refused for a while. Otherwise the order is that of rendezvous hashing
// (Thaler and Ravishankar 1998), which spreads the pools and lets each
// candidate compute its rank without a message.
func candidates(v brstate.View, pool string) []string {
	list := withRole(v, brwire.RoleScheduler, regionOf(pool))
	if len(list) == 0 {
		list = withRole(v, brwire.RoleScheduler, "")
	}
	slices.SortFunc(list, func(a, b brwire.Daemon) int {
		entryA, entryB := slices.Contains(a.Roles, brwire.RoleEntry), slices.Contains(b.Roles, brwire.RoleEntry)
		if entryA != entryB {
			if entryA {
				return 1
			}
			return -1
		}
		return cmp.Compare(rendezvous(pool, b.ID), rendezvous(pool, a.ID))
	})
	return idsOf(list)
}

// entriesOf returns the IDs of the entries that may hold requests of a pool:
// those of its region, since an entry uses only the pools of its own region.
func entriesOf(v brstate.View, pool string) []string {
	return idsOf(withRole(v, brwire.RoleEntry, regionOf(pool)))
}

// withRole returns the daemons with a role in a region, or in all regions if
// region is empty.
func withRole(v brstate.View, role brwire.Role, region string) []brwire.Daemon {
	var list []brwire.Daemon
	for _, d := range v.Daemons {
		if slices.Contains(d.Roles, role) && (region == "" || d.Region == region) {
			list = append(list, d)
		}
	}
	return list
}

func idsOf(list []brwire.Daemon) []string {
	ids := make([]string, len(list))
	for i, d := range list {
		ids[i] = d.ID
	}
	return ids
}

func rendezvous(pool, daemon string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(pool))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(daemon))
	return h.Sum64()
}
