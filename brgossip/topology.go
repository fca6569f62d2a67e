package brgossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshLimit is the number of daemons up to which each has a link to all the
	// others. In a larger fleet the daemons without a replica have links to some
	// replicas and to two others of their kind: what a daemon sends then doesn't
	// grow with the square of the fleet.
	meshLimit = 24
	// relayLinks is the number of replicas that a daemon of a large fleet links
	// to, and openRelays how many of those links it wants open.
	relayLinks = 3
	openRelays = 2
	// ringLinks is the number of successors that a daemon without a replica links
	// to. They keep the fleet connected while all replicas are down.
	ringLinks = 2
)

// topology decides which links one daemon has.
type topology struct {
	self    Daemon
	daemons []Daemon // all that are known, sorted by address
}

// sparse reports whether the fleet is too large for links between all daemons.
func (t topology) sparse() bool { return len(t.daemons) > meshLimit }

// wanted returns the addresses that this daemon is to have a link to. open
// reports whether there is one at present.
func (t topology) wanted(seeds []string, open func(address string) bool) map[string]bool {
	wanted := map[string]bool{}
	switch {
	case !t.sparse():
		for _, d := range t.daemons {
			wanted[d.Address] = true
		}
	case t.self.Replica:
		for _, d := range t.daemons {
			if d.Replica {
				wanted[d.Address] = true
			}
		}
	default:
		t.addRelays(wanted, open)
		t.addRing(wanted)
	}
	// A daemon that has a replica, or no link to one, joins what a partition has
	// separated by way of the seeds.
	if !t.sparse() || t.self.Replica || !t.linkedToReplica(open) {
		for _, s := range seeds {
			wanted[s] = true
		}
	}
	delete(wanted, t.self.Address)
	return wanted
}

// addRelays adds the first relayLinks of the relays, and as many more as it takes
// to have openRelays links.
func (t topology) addRelays(wanted map[string]bool, open func(address string) bool) {
	chosen, linked := 0, 0
	for _, d := range t.relays() {
		if chosen >= relayLinks && linked >= openRelays {
			return
		}
		wanted[d.Address] = true
		chosen++
		if open(d.Address) {
			linked++
		}
	}
}

// addRing adds the successors in the order of the addresses' hashes.
func (t topology) addRing(wanted map[string]bool) {
	var ring []Daemon
	for _, d := range t.daemons {
		if !d.Replica {
			ring = append(ring, d)
		}
	}
	slices.SortFunc(ring, func(a, b Daemon) int {
		return cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address))
	})
	at := slices.IndexFunc(ring, func(d Daemon) bool { return d.Address == t.self.Address })
	if at < 0 {
		return
	}
	for i := range min(ringLinks, len(ring)-1) {
		wanted[ring[(at+1+i)%len(ring)].Address] = true
	}
}

// relays returns the daemons with a replica in the order in which this daemon
// prefers them: those of its own failure domain first, then in an order of its
// own, which spreads the daemons over them.
func (t topology) relays() []Daemon {
	var relays []Daemon
	for _, d := range t.daemons {
		if d.Replica && !d.Leaving && d.Address != t.self.Address {
			relays = append(relays, d)
		}
	}
	slices.SortFunc(relays, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(t.distance(a), t.distance(b)),
			cmp.Compare(xxhash.Sum64String(t.self.Address+a.Address), xxhash.Sum64String(t.self.Address+b.Address)),
		)
	})
	return relays
}

func (t topology) distance(d Daemon) int {
	if d.Zone == t.self.Zone {
		return 0
	}
	return 1
}

func (t topology) linkedToReplica(open func(address string) bool) bool {
	return slices.ContainsFunc(t.daemons, func(d Daemon) bool { return d.Replica && open(d.Address) })
}

// mutual reports whether the daemon at address wants a link to this one too, as
// far as is known.
func (t topology) mutual(address string) bool {
	if !t.sparse() {
		return true
	}
	return t.self.Replica && t.replica(address)
}

func (t topology) replica(address string) bool {
	i, ok := slices.BinarySearchFunc(t.daemons, address, func(d Daemon, a string) int { return cmp.Compare(d.Address, a) })
	return ok && t.daemons[i].Replica
}
