package brlimit

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// spacedInterval is the least time between two requests of a part of one request per
// second. The excess over a second is room for requests that are sent late.
const spacedInterval = 1050 * time.Millisecond

// maxParts limits the parts of a rate. No fleet sends as many requests to one endpoint.
const maxParts = 1 << 20

// Spaced returns the shares that the given member has of the rates of endpoints, by
// endpoint, leaving out those of which it has none. The members send at most the whole
// requests of a rate in any one second together, bursts included, but at least one.
//
// The holders of an endpoint are the first members in an order by a hash of both. Unlike
// those of Shares they don't depend on the other endpoints, so that members which know of
// different endpoints have the same holders. If the sorted members that two of them know
// differ by n, they have at least all but n holders of an endpoint in common.
func Spaced(rates map[string]float64, members []string, member string) map[string]Share {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m)
	}
	shares := map[string]Share{}
	for endpoint, rate := range rates {
		parts := int(min(max(1, rate), maxParts))
		holders := min(parts, len(members))
		position := spacedPosition(xxhash.Sum64String(endpoint), hashes, members, member)
		if position < 0 || position >= holders {
			continue
		}
		own := float64((parts + holders - 1 - position) / holders)
		shares[endpoint] = Share{Rate: min(max(MinRate, rate), own) / spacedInterval.Seconds(), Burst: 1}
	}
	return shares
}

// spacedPosition returns the position of a member in the order of the members for an
// endpoint, given the hashes of all, or -1 if it isn't one of them.
func spacedPosition(endpoint uint64, hashes []uint64, members []string, member string) int {
	own := mix(xxhash.Sum64String(member) ^ endpoint)
	position, found := 0, false
	for i, m := range members {
		switch order := cmp.Or(cmp.Compare(mix(hashes[i]^endpoint), own), cmp.Compare(m, member)); {
		case order < 0:
			position++
		case order == 0:
			found = true
		}
	}
	if !found {
		return -1
	}
	return position
}
