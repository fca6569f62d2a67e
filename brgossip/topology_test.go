package brgossip

import (
	"fmt"
	"testing"
)

// testFleet returns size daemons in four failure domains. The first ones, as many
// as replicas, have a replica.
func testFleet(size, replicas int) []Daemon {
	all := make([]Daemon, size)
	for i := range all {
		all[i] = Daemon{
			ID: fmt.Sprint("d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, 100+i%200),
			FailureDomain: fmt.Sprint("zone-", i%4), Replica: i < replicas,
		}
	}
	return all
}

// adjacency returns the links of a fleet as lists of neighbors, without links from
// or to daemons that are down.
func adjacency(all []Daemon, down map[string]bool) map[string][]string {
	links := map[string][]string{}
	for _, d := range all {
		if down[d.Address] {
			continue
		}
		t := topology{self: d, daemons: all}
		open := func(address string) bool { return !down[address] }
		for address := range t.desiredLinks(nil, open) {
			if !down[address] {
				links[d.Address] = append(links[d.Address], address)
				links[address] = append(links[address], d.Address)
			}
		}
	}
	return links
}

func countReachable(links map[string][]string, from string) int {
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range links[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen)
}

// TestTopology guards against a number of links that grows with the square of the
// fleet, and against a fleet that is partitioned when daemons fail.
func TestTopology(t *testing.T) {
	tests := []struct {
		name           string
		size, replicas int
		down           int // number of daemons down, starting from the first; replicas come first
		maxLinks       int // maximum for a daemon without a replica
	}{
		{"small fleet", 11, 5, 0, 20},
		{"large fleet", 67, 8, 0, 12},
		{"large fleet, three replicas down", 67, 8, 3, 14},
		{"large fleet, all replicas down", 67, 8, 8, 8},
		{"large fleet, all replicas and a quarter of the others down", 67, 8, 20, 8},
		{"target", 400, 24, 0, 12},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			all := testFleet(c.size, c.replicas)
			down := map[string]bool{}
			for _, d := range all[:c.down] {
				down[d.Address] = true
			}
			links := adjacency(all, down)
			last := all[c.size-1]
			if got, want := countReachable(links, last.Address), c.size-c.down; got != want && c.down <= c.replicas {
				t.Errorf("%d daemons are connected, want %d", got, want)
			}
			for _, d := range all {
				if n := len(links[d.Address]); !d.Replica && n > c.maxLinks {
					t.Errorf("%s has %d links, want at most %d", d.ID, n, c.maxLinks)
				}
			}
		})
	}
}

// TestRelaysAreSpread guards against relays that are preferred by too many daemons,
// or by daemons of another failure domain.
func TestRelaysAreSpread(t *testing.T) {
	all := testFleet(67, 8)
	chosen := map[string]int{}
	for _, d := range all[8:] {
		first := topology{self: d, daemons: all}.relays()[0]
		if first.FailureDomain != d.FailureDomain {
			t.Errorf("%s in %s prefers a relay in %s, want its own failure domain", d.ID, d.FailureDomain, first.FailureDomain)
		}
		chosen[first.ID]++
	}
	for id, n := range chosen {
		if n > 14 {
			t.Errorf("%s is the preferred relay of %d daemons, want at most 14", id, n)
		}
	}
}

// TestSeedsAreTriedWithoutReplica guards against a daemon that has no link to a
// replica and never dials the seeds.
func TestSeedsAreTriedWithoutReplica(t *testing.T) {
	all := testFleet(67, 8)
	seeds := []string{"10.9.9.9:7000"}
	top := topology{self: all[40], daemons: all}
	none := func(string) bool { return false }
	if !top.desiredLinks(seeds, none)[seeds[0]] {
		t.Error("daemon without a link to a replica doesn't dial the seeds")
	}
	every := func(string) bool { return true }
	if top.desiredLinks(seeds, every)[seeds[0]] {
		t.Error("daemon with links to replicas dials the seeds")
	}
}

// TestRelaysThatAreDownAreReplaced guards against a daemon that keeps only links to
// relays that are down while other relays run.
func TestRelaysThatAreDownAreReplaced(t *testing.T) {
	all := testFleet(67, 8)
	top := topology{self: all[40], daemons: all}
	down := map[string]bool{}
	for _, d := range top.relays()[:relayLinks] {
		down[d.Address] = true
	}
	open := 0
	for address := range top.desiredLinks(nil, func(address string) bool { return !down[address] }) {
		if top.isReplica(address) && !down[address] {
			open++
		}
	}
	if open != minOpenRelays {
		t.Errorf("%d links to running relays, want %d", open, minOpenRelays)
	}
}

// TestOpenRelays guards against a daemon of a large fleet that has links to too few replicas to
// confirm a record at as many as the fleet may lose, and one more, while that many are lost.
func TestOpenRelays(t *testing.T) {
	for tolerance := 1; tolerance <= 4; tolerance++ {
		all := testFleet(200, 2*tolerance+2)
		down := map[string]bool{}
		for _, d := range all[:tolerance] {
			down[d.Address] = true
		}
		for _, d := range all[2*tolerance+2:] {
			top := topology{self: d, daemons: all, openRelays: tolerance + 1}
			open := 0
			for address := range top.desiredLinks(nil, func(address string) bool { return !down[address] }) {
				if top.isReplica(address) && !down[address] {
					open++
				}
			}
			if open < tolerance+1 {
				t.Fatalf("%s has links to %d replicas, want at least %d", d.Address, open, tolerance+1)
			}
		}
	}
}
