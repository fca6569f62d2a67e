package brlimit

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxHolders limits the number of holders of an endpoint. Sixteen have requests enough
// for any rate at which a limit matters.
const maxHolders = 16

// Share is the part of a limit that one member may use.
type Share struct {
	Rate  float64 // requests per second
	Burst float64 // requests that may be sent at once
}

// Shares returns the shares that the given member has of the limits of endpoints, by
// endpoint, leaving out those of which it has none. The rates are those that the
// endpoints state, in requests per second. All members get the same division if they
// know the same rates and the same sorted members.
//
// The holders of an endpoint are the first members in an order by a hash of both. A
// member is passed over that already holds its part of the fleet's holdings, so that
// none is left without if there are enough for all.
func Shares(rates map[string]float64, members []string, member string) map[string]Share {
	shares := map[string]Share{}
	self, found := slices.BinarySearch(members, member)
	if !found {
		return shares
	}
	d := newDivision(rates, members)
	for _, endpoint := range slices.Sorted(maps.Keys(rates)) {
		holders := d.holders(endpoint, rates[endpoint])
		if slices.Contains(holders, self) {
			shares[endpoint] = shareOf(rates[endpoint], len(holders))
		}
	}
	return shares
}

// Whole returns the share of a single sender of a rate in requests per second.
func Whole(rate float64) Share { return shareOf(rate, 1) }

// shareOf returns the share of each of the holders of a rate. A single holder saves up
// two requests: at less than one a second, requests often come too far apart to use
// each one when it is due.
func shareOf(rate float64, holders int) Share {
	s := Share{Rate: max(MinRate, rate) / float64(holders), Burst: 1}
	if holders == 1 {
		s.Burst = 2
	}
	return s
}

// holderCount returns the number of members that share a rate: one for each request per
// second. Their bursts together stay below what the endpoint takes in a second or two.
func holderCount(rate float64, members int) int {
	return int(min(max(1, math.Ceil(rate)), float64(members), maxHolders))
}

// division assigns holders to one endpoint after the other.
type division struct {
	hashes []uint64 // of the members
	held   []int    // number of endpoints that each member holds
	most   int      // number that each member holds before it is passed over
}

func newDivision(rates map[string]float64, members []string) *division {
	total := 0
	for _, rate := range rates {
		total += holderCount(rate, len(members))
	}
	d := &division{held: make([]int, len(members)), most: (total + len(members) - 1) / len(members)}
	for _, m := range members {
		d.hashes = append(d.hashes, xxhash.Sum64String(m))
	}
	return d
}

// holders returns the indices of the members that hold an endpoint with the given rate.
func (d *division) holders(endpoint string, rate float64) []int {
	h := xxhash.Sum64String(endpoint)
	var chosen []int
	for range holderCount(rate, len(d.hashes)) {
		chosen = append(chosen, d.next(h, chosen))
	}
	for _, member := range chosen {
		d.held[member]++
	}
	return chosen
}

// next returns the first member that isn't chosen, in the order of endpoint h. Those that
// hold enough come last.
func (d *division) next(h uint64, chosen []int) int {
	best, bestFull, bestHash := -1, true, uint64(0)
	for i, m := range d.hashes {
		if slices.Contains(chosen, i) {
			continue
		}
		full, hash := d.held[i] >= d.most, mix(m^h)
		if best < 0 || full != bestFull && !full || full == bestFull && hash < bestHash {
			best, bestFull, bestHash = i, full, hash
		}
	}
	return best
}

// mix spreads the bits of x, so that members have unlike orders for unlike endpoints.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
