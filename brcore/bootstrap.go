package brcore

import (
	"slices"
	"time"

	"bramleyroute/brgossip"
)

// discoveryTime is the time allowed for daemons that start together to discover
// each other if no seed has a replica.
const discoveryTime = 2 * time.Second

// ShouldBootstrap reports whether the daemon with address self bootstraps the
// replication group at the first start of the whole fleet. All daemons then have the
// same seeds, so exactly one daemon bootstraps the group: the first seed with a
// replica, or, if no seed has one, the replica with the smallest address. uptime is
// the time since the start of this daemon.
func ShouldBootstrap(self string, seeds []string, known []brgossip.Daemon, uptime time.Duration) bool {
	for _, s := range seeds {
		i := slices.IndexFunc(known, func(d brgossip.Daemon) bool { return d.Address == s })
		if i < 0 {
			return false
		}
		if known[i].Replica {
			return s == self
		}
	}
	if uptime < discoveryTime {
		return false
	}
	for _, d := range known {
		if d.Replica {
			return d.Address == self // known is sorted by address
		}
	}
	return false
}
