package brgossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshLimit is the number of daemons up to which each daemon has a link to every
	// other one. In a larger fleet a daemon without a replica has links to some
	// replicas and to two other daemons without one, so that the number of messages
	// doesn't grow with the square of the fleet.
	meshLimit = 24
	// relayLinks is the number of replicas that a daemon of a large fleet links to.
	// It adds more until minOpenRelays of the links are open.
	relayLinks    = 3
	minOpenRelays = 2 // or Config.OpenRelays
	// ringLinks is the number of successors on the ring that a daemon without a
	// replica links to. These links keep the fleet connected while all replicas are
	// down.
	ringLinks = 2
)

// topology determines the links of one daemon.
type topology struct {
	self    Daemon
	daemons []Daemon // all known daemons, sorted by address
	// openRelays is Config.OpenRelays.
	openRelays int
}

// sparse reports whether the fleet is too large for links between all daemons.
func (t topology) sparse() bool { return len(t.daemons) > meshLimit }

// desiredLinks returns the addresses that this daemon should have a link to. open
// reports whether a link to an address is currently open.
func (t topology) desiredLinks(seeds []string, open func(address string) bool) map[string]bool {
	desired := map[string]bool{}
	switch {
	case !t.sparse():
		for _, d := range t.daemons {
			desired[d.Address] = true
		}
	case t.self.Replica:
		for _, d := range t.daemons {
			if d.Replica {
				desired[d.Address] = true
			}
		}
	default:
		t.addRelays(desired, open)
		t.addRing(desired)
	}
	// Links to the seeds reconnect the fleet after a network partition. Daemons with
	// a replica, or without a link to one, keep them.
	if !t.sparse() || t.self.Replica || !t.linkedToReplica(open) {
		for _, s := range seeds {
			desired[s] = true
		}
	}
	delete(desired, t.self.Address)
	return desired
}

// addRelays adds the first relayLinks relays, and as many more as needed for
// minOpenRelays or openRelays open links.
func (t topology) addRelays(desired map[string]bool, open func(address string) bool) {
	chosen, linked, required := 0, 0, max(minOpenRelays, t.openRelays)
	for _, d := range t.relays() {
		if chosen >= relayLinks && linked >= required {
			return
		}
		desired[d.Address] = true
		chosen++
		if open(d.Address) {
			linked++
		}
	}
}

// addRing adds the successors of this daemon on a ring that is ordered by the
// hashes of the addresses.
func (t topology) addRing(desired map[string]bool) {
	var ring []Daemon
	for _, d := range t.daemons {
		if !d.Replica {
			ring = append(ring, d)
		}
	}
	slices.SortFunc(ring, func(a, b Daemon) int {
		return cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address))
	})
	selfIndex := slices.IndexFunc(ring, func(d Daemon) bool { return d.Address == t.self.Address })
	if selfIndex < 0 {
		return
	}
	for i := range min(ringLinks, len(ring)-1) {
		desired[ring[(selfIndex+1+i)%len(ring)].Address] = true
	}
}

// relays returns the daemons with a replica in this daemon's order of preference.
// Those in its own failure domain come first. The rest of the order depends on a
// hash of both addresses, which distributes the daemons over the relays.
func (t topology) relays() []Daemon {
	var relays []Daemon
	for _, d := range t.daemons {
		if d.Replica && !d.Leaving && d.Address != t.self.Address {
			relays = append(relays, d)
		}
	}
	slices.SortFunc(relays, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(t.domainDistance(a), t.domainDistance(b)),
			cmp.Compare(xxhash.Sum64String(t.self.Address+a.Address), xxhash.Sum64String(t.self.Address+b.Address)),
		)
	})
	return relays
}

func (t topology) domainDistance(d Daemon) int {
	if d.FailureDomain == t.self.FailureDomain {
		return 0
	}
	return 1
}

func (t topology) linkedToReplica(open func(address string) bool) bool {
	return slices.ContainsFunc(t.daemons, func(d Daemon) bool { return d.Replica && open(d.Address) })
}

// mutual reports whether, as far as known, the daemon at address also wants a link
// to this one.
func (t topology) mutual(address string) bool {
	if !t.sparse() {
		return true
	}
	return t.self.Replica && t.isReplica(address)
}

func (t topology) isReplica(address string) bool {
	d, _ := t.daemon(address)
	return d.Replica
}

// daemon returns the daemon at address and whether it is known.
func (t topology) daemon(address string) (Daemon, bool) {
	i, ok := slices.BinarySearchFunc(t.daemons, address, func(d Daemon, a string) int { return cmp.Compare(d.Address, a) })
	if !ok {
		return Daemon{}, false
	}
	return t.daemons[i], true
}
