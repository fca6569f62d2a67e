package brfair

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// sharedPart is the part of what all customers receive that is divided into shares. When
	// all slots of a service are in use, callers wait long before anything is refused, so that
	// a customer that takes more than the others has to leave some room already then.
	sharedPart = 0.8
	// shareMargin is the factor by which a customer must exceed its share to be beyond it. It
	// is more than 1/sharedPart, so that nobody is where all receive alike, and covers how much
	// averages over a few seconds of requests of unlike sizes vary.
	shareMargin = 1.5
)

// Usage is what one customer asks for and receives, over the whole fleet.
type Usage struct {
	Demand   float64 // units per second that it asks for
	Received float64 // units per second that it is served
	Weight   float64 // its part in relation to the others; positive
}

// asked returns what the customer asks for. What it receives may be measured a little later.
func (u Usage) asked() float64 { return max(u.Demand, u.Received) }

// Level returns the fair level of the given customers: each one's share is the level times its
// weight, or what it asks for if that is less, and the shares add up to sharedPart of what all
// receive. It is infinite if nothing is asked for.
func Level(usages map[string]Usage) float64 {
	left, weights := 0.0, 0.0
	for _, u := range usages {
		left += sharedPart * u.Received
		weights += u.Weight
	}
	// The customers that ask for the least in relation to their weights get all of it.
	order := slices.SortedFunc(maps.Values(usages), func(a, b Usage) int {
		return cmp.Compare(a.asked()/a.Weight, b.asked()/b.Weight)
	})
	for _, u := range order {
		level := left / weights
		if u.asked() > level*u.Weight {
			return level
		}
		left -= u.asked()
		weights -= u.Weight
	}
	return math.Inf(1)
}

// Beyond returns the customers that receive more than shareMargin times their share, each with
// the part of its requests that would take it back to that.
func Beyond(usages map[string]Usage) map[string]float64 {
	level := Level(usages)
	beyond := map[string]float64{}
	for name, u := range usages {
		if allowed := shareMargin * level * u.Weight; u.Received > allowed {
			beyond[name] = allowed / u.asked()
		}
	}
	return beyond
}
