package brcanary

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fault is a fault of a new version.
type fault struct {
	name            string
	startsAfter     time.Duration // time since the start of the rollout
	failureShare    float64       // of the responses
	slowFactor      float64       // factor of the response time
	minTrafficShare float64       // smallest share of the traffic at which the fault appears
	route           int           // index of the affected route; -1 for all
}

// simulateRollout runs a rollout of 12 s at 100 requests per second over four
// routes. It returns the outcome, its time, and the new version's fraction of all
// requests.
func simulateRollout(f fault, seed uint64) (o Outcome, end time.Duration, exposed float64) {
	const (
		duration = 12 * time.Second
		step     = 100 * time.Millisecond
		arrivals = 10 // per step
	)
	random := rand.New(rand.NewPCG(seed, 1))
	routes := map[string]Comparison{}
	names := []string{"a", "b", "c", "d"}
	total, newRequests := 0.0, 0.0
	for at := time.Duration(0); at < duration; at += step {
		share, o := Decide(at, duration, routes)
		if o != Continue {
			return o, at, newRequests / (total + arrivals*float64((duration-at)/step))
		}
		for range arrivals {
			total++
			i := random.IntN(len(names))
			c := routes[names[i]]
			t := Tally{Responses: 1, LatencyRatios: 0.5 + random.Float64()}
			if random.Float64() >= share {
				c.Old = c.Old.Add(t)
			} else {
				newRequests++
				if at >= f.startsAfter && share >= f.minTrafficShare && (f.route < 0 || f.route == i) {
					t.LatencyRatios *= max(1, f.slowFactor)
					if random.Float64() < f.failureShare {
						t.Failed = 1
					}
				}
				c.New = c.New.Add(t)
			}
			routes[names[i]] = c
		}
	}
	return Continue, duration, newRequests / total
}

// TestRollouts guards against finishing the rollout of a bad version, against a
// bad version that gets more than 10% of the requests plus 50, and against a good
// version that isn't finished in time.
func TestRollouts(t *testing.T) {
	const total, slack = 1200.0, 50.0
	limit := (0.1*total + slack) / total
	for _, f := range []fault{
		{name: "good", route: -1},
		{name: "fails at once", failureShare: 0.5, route: -1},
		{name: "fails later", failureShare: 0.5, startsAfter: 7 * time.Second, route: -1},
		{name: "fails on one route", failureShare: 0.8, route: 2},
		{name: "fails under load", failureShare: 0.6, minTrafficShare: 0.5, route: -1},
		{name: "slow at once", slowFactor: 4, route: -1},
		{name: "slow later", slowFactor: 4, startsAfter: 7 * time.Second, route: -1},
	} {
		for seed := range uint64(200) {
			o, end, exposed := simulateRollout(f, seed)
			if f.name == "good" {
				if o != Finish {
					t.Errorf("%s, seed %d: outcome %d at %v, want the rollout finished", f.name, seed, o, end)
				}
				continue
			}
			if o != RollBack || exposed > limit {
				t.Errorf("%s, seed %d: outcome %d at %v with %.3f of the traffic, want the rollout rolled back with at most %.3f", f.name, seed, o, end, exposed, limit)
			}
		}
	}
}
