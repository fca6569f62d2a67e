package brlimit

import (
	"fmt"
	"testing"
)

// TestSpaced guards against members that together send more than a rate in one second, or
// little of it, and against holders that differ by more than the members that two daemons
// know, or by the endpoints that they know.
func TestSpaced(t *testing.T) {
	const missing = 3 // members that another daemon doesn't know
	for _, n := range []int{1, 5, 11, 64, 84, 200} {
		for _, rate := range []float64{0, 0.4, 1, 9.3, 40} {
			var members []string
			for i := range n {
				members = append(members, fmt.Sprintf("d%03d", i))
			}
			short := members[:max(1, n-missing)]
			most, used, alone, union := 0, 0.0, 0, 0
			for _, m := range members {
				s := Spaced(map[string]float64{"e": rate, "other": 5}, members, m)["e"]
				if s.Rate > 0 {
					most += int(s.Rate) + 1 // the burst of one, and whole requests in the second after it
					used += s.Rate
				}
				if s != Spaced(map[string]float64{"e": rate}, members, m)["e"] {
					alone++
				}
				if s.Rate > 0 || Spaced(map[string]float64{"e": rate}, short, m)["e"].Rate > 0 {
					union++
				}
			}
			whole := max(1, int(rate))
			if most > whole || used < 0.9*min(max(MinRate, rate), float64(whole)) {
				t.Errorf("%d members, rate %v: at most %d requests in a second, %.2f on average; want %d and nearly all", n, rate, most, used, whole)
			}
			if alone > 0 || n > missing && union > min(whole, n)+missing {
				t.Errorf("%d members, rate %v: %d holders change with the endpoints, %d with the members; want none and at most %d", n, rate, alone, union, min(whole, n)+missing)
			}
		}
	}
}
