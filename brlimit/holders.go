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
	total := 0
	for _, rate := range rates {
		total += holderCount(rate, len(members))
	}
	d := newDivision(total, members)
	for _, endpoint := range slices.Sorted(maps.Keys(rates)) {
		count := holderCount(rates[endpoint], len(members))
		if d.divide(endpoint, count, count)[self] > 0 {
			shares[endpoint] = shareOf(rates[endpoint], count)
		}
	}
	return shares
}

// Slots returns the slots that the given member may use of those of endpoints, by
// endpoint, leaving out those of which it has none. The slots of an endpoint are divided
// among as many holders as possible, in the same way as the limits of Shares, so that the
// requests of all members together don't exceed them.
func Slots(slots map[string]int, members []string, member string) map[string]int {
	parts := map[string]int{}
	self, found := slices.BinarySearch(members, member)
	if !found {
		return parts
	}
	total := 0
	for _, n := range slots {
		total += n
	}
	d := newDivision(total, members)
	for _, endpoint := range slices.Sorted(maps.Keys(slots)) {
		n := slots[endpoint]
		if part := d.divide(endpoint, n, min(n, len(members)))[self]; part > 0 {
			parts[endpoint] = part
		}
	}
	return parts
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
	held   []int    // number of parts that each member holds
	// least and most are a member's part of all, rounded down and up.
	least, most int
}

// newDivision returns a division of the given number of parts of all endpoints.
func newDivision(parts int, members []string) *division {
	n := len(members)
	d := &division{held: make([]int, n), least: parts / n, most: (parts + n - 1) / n}
	for _, m := range members {
		d.hashes = append(d.hashes, xxhash.Sum64String(m))
	}
	return d
}

// divide divides the parts of an endpoint among the given number of holders, evenly but
// for one, and returns how many each holder has, by the index of the member.
func (d *division) divide(endpoint string, parts, holders int) map[int]int {
	h := xxhash.Sum64String(endpoint)
	var chosen []int
	for range holders {
		chosen = append(chosen, d.next(h, chosen))
	}
	divided := map[int]int{}
	for i, member := range chosen {
		divided[member] = (parts + holders - 1 - i) / holders
		d.held[member] += divided[member]
	}
	return divided
}

// next returns the first member that isn't chosen, in the order of endpoint h. Those that
// hold their part of all come later, and those that hold more come last.
func (d *division) next(h uint64, chosen []int) int {
	best, bestExcess, bestHash := -1, 0, uint64(0)
	for i, m := range d.hashes {
		if slices.Contains(chosen, i) {
			continue
		}
		excess := d.excess(i)
		if best >= 0 && excess > bestExcess {
			continue
		}
		if hash := mix(m ^ h); best < 0 || excess < bestExcess || hash < bestHash {
			best, bestExcess, bestHash = i, excess, hash
		}
	}
	return best
}

// excess returns 0 if a member holds less than its part of all, rounded down, 1 if it
// holds less than that rounded up, and 2 otherwise.
func (d *division) excess(member int) int {
	switch held := d.held[member]; {
	case held < d.least:
		return 0
	case held < d.most:
		return 1
	}
	return 2
}

// mix spreads the bits of x, so that members have unlike orders for unlike endpoints.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
