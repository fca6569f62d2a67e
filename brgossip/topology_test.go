package brgossip

import (
	"fmt"
	"testing"
)

// testFleet returns daemons in four failure domains, the first replicas of them
// with a replica.
func testFleet(size, replicas int) []Daemon {
	all := make([]Daemon, size)
	for i := range all {
		all[i] = Daemon{
			ID: fmt.Sprint("d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, 100+i%200),
			Zone: fmt.Sprint("zone-", i%4), Replica: i < replicas,
		}
	}
	return all
}

// linksOf returns the links of a fleet as neighbour lists, without those to or
// from the daemons that are down.
func linksOf(all []Daemon, down map[string]bool) map[string][]string {
	links := map[string][]string{}
	for _, d := range all {
		if down[d.Address] {
			continue
		}
		t := topology{self: d, daemons: all}
		open := func(address string) bool { return !down[address] }
		for address := range t.wanted(nil, open) {
			if !down[address] {
				links[d.Address] = append(links[d.Address], address)
				links[address] = append(links[address], d.Address)
			}
		}
	}
	return links
}

func reachable(links map[string][]string, from string) int {
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

// Guards against links that grow with the square of the fleet, and against a
// fleet that falls into parts when daemons fail.
func TestTopology(t *testing.T) {
	tests := []struct {
		name           string
		size, replicas int
		down           int // the first daemons; the replicas come first
		mostLinks      int // of a daemon without a replica
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
			links := linksOf(all, down)
			last := all[c.size-1]
			if got, want := reachable(links, last.Address), c.size-c.down; got != want && c.down <= c.replicas {
				t.Errorf("%d of %d daemons are connected", got, want)
			}
			for _, d := range all {
				if n := len(links[d.Address]); !d.Replica && n > c.mostLinks {
					t.Errorf("%s has %d links, want at most %d", d.ID, n, c.mostLinks)
				}
			}
		})
	}
}

// Guards against relays that take the work of others of their failure domain.
func TestRelaysAreSpread(t *testing.T) {
	all := testFleet(67, 8)
	chosen := map[string]int{}
	for _, d := range all[8:] {
		first := topology{self: d, daemons: all}.relays()[0]
		if first.Zone != d.Zone {
			t.Errorf("%s in %s prefers a relay in %s", d.ID, d.Zone, first.Zone)
		}
		chosen[first.ID]++
	}
	for id, n := range chosen {
		if n > 14 {
			t.Errorf("%s is the relay of %d daemons", id, n)
		}
	}
}

// Guards against a daemon that knows no replica and never tries the seeds.
func TestSeedsAreTriedWithoutReplica(t *testing.T) {
	all := testFleet(67, 8)
	seeds := []string{"10.9.9.9:7000"}
	top := topology{self: all[40], daemons: all}
	none := func(string) bool { return false }
	if !top.wanted(seeds, none)[seeds[0]] {
		t.Error("a daemon without a link to a replica doesn't dial the seeds")
	}
	every := func(string) bool { return true }
	if top.wanted(seeds, every)[seeds[0]] {
		t.Error("a daemon with links to replicas dials the seeds too")
	}
}

// Guards against a daemon that keeps to relays which are down while others run.
func TestRelaysThatAreDownAreReplaced(t *testing.T) {
	all := testFleet(67, 8)
	top := topology{self: all[40], daemons: all}
	down := map[string]bool{}
	for _, d := range top.relays()[:relayLinks] {
		down[d.Address] = true
	}
	open := 0
	for address := range top.wanted(nil, func(address string) bool { return !down[address] }) {
		if top.replica(address) && !down[address] {
			open++
		}
	}
	if open != openRelays {
		t.Errorf("%d links to relays that run, want %d", open, openRelays)
	}
}
