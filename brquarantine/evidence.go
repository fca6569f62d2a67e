package brquarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evidence is what the daemons know of one subject. It is immutable. Both sets
// only grow, so that daemons that merge the same evidence agree.
type Evidence struct {
	// Lost holds the starts of endpoints that were lost under a request with the
	// subject before it made progress, sorted.
	Lost []string `cbor:"lost"`
	// Cleared holds those of them that a success with the subject has cleared, sorted.
	Cleared []string `cbor:"cleared,omitempty"`
}

// maxStarts limits the number of starts of endpoints in each set of an Evidence.
const maxStarts = 64

// WithLost returns e with another lost start of an endpoint.
func (e Evidence) WithLost(start string) Evidence {
	return e.WithMerged(Evidence{Lost: []string{start}})
}

// WithCleared returns e with all its lost starts cleared.
func (e Evidence) WithCleared() Evidence {
	return Evidence{Lost: e.Lost, Cleared: e.Lost}
}

// WithRetracted returns e with one lost start cleared, which turned out not to be lost.
func (e Evidence) WithRetracted(start string) Evidence {
	return e.WithMerged(Evidence{Lost: []string{start}, Cleared: []string{start}})
}

// WithMerged returns the union of e and o.
func (e Evidence) WithMerged(o Evidence) Evidence {
	return Evidence{Lost: union(e.Lost, o.Lost), Cleared: union(e.Cleared, o.Cleared)}
}

// Equal reports whether e and o are the same.
func (e Evidence) Equal(o Evidence) bool {
	return slices.Equal(e.Lost, o.Lost) && slices.Equal(e.Cleared, o.Cleared)
}

// Open returns the number of lost starts that aren't cleared.
func (e Evidence) Open() int {
	return e.openExcept(func(string) bool { return false })
}

// openExcept returns the number of lost starts that aren't cleared and for which explained
// returns false.
func (e Evidence) openExcept(explained func(start string) bool) int {
	n := 0
	for _, start := range e.Lost {
		if _, cleared := slices.BinarySearch(e.Cleared, start); !cleared && !explained(start) {
			n++
		}
	}
	return n
}

// lost reports whether a start is among the lost ones.
func (e Evidence) lost(start string) bool {
	_, found := slices.BinarySearch(e.Lost, start)
	return found
}

// Size returns the number of facts in e. The union of two different evidences has more
// than either.
func (e Evidence) Size() uint64 { return uint64(len(e.Lost) + len(e.Cleared)) }

// Hash returns a hash of e, by which daemons that hold different evidence of the same
// size agree on one to merge with.
func (e Evidence) Hash() uint64 {
	d := xxhash.New()
	for _, set := range [][]string{e.Lost, e.Cleared} {
		for _, start := range set {
			_, _ = d.WriteString(start) // a Digest returns no error
			_, _ = d.WriteString(",")
		}
		_, _ = d.WriteString(";")
	}
	return d.Sum64()
}

// union returns the sorted union of two sets. If it has more than maxStarts elements,
// the last ones are left out: a subject in so many crashes is long quarantined or cleared.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Clip(all[:min(len(all), maxStarts)])
}
