package brcanary

import (
	"maps"
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
	var progress Progress
	for at := time.Duration(0); at < duration; at += step {
		next, share, o := progress.Decide(at, duration, maps.Clone(routes))
		progress = next
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

// delayedRollout is a rollout whose responses are counted some time after their requests.
type delayedRollout struct {
	duration, step time.Duration
	perStep        int           // requests
	responseTime   time.Duration // mean, until a response is counted
	shareDelay     time.Duration // until all daemons use a share
	fault          fault
	portion        float64 // of the responses while the fault shows
}

// run returns the outcome, its time and the requests to the new version, and of both.
func (r delayedRollout) run(seed uint64) (o Outcome, end time.Duration, newRequests, all int) {
	random := rand.New(rand.NewPCG(seed, 2))
	var progress Progress
	counted := map[time.Duration][]Comparison{}
	total := map[string]Comparison{"a": {}}
	var shares []float64
	lag := int(r.shareDelay / r.step)
	for at := time.Duration(0); at < r.duration; at += r.step {
		for _, c := range counted[at] {
			total["a"] = Comparison{total["a"].Old.Add(c.Old), total["a"].New.Add(c.New)}
		}
		share := 0.0
		if o == Continue {
			progress, share, o = progress.Decide(at, r.duration, maps.Clone(total))
			end = at
		}
		shares = append(shares, share)
		share = shares[max(0, len(shares)-1-lag)]
		for range r.perStep {
			all++
			ratio, took := 0.5+random.Float64(), r.responseTime/2+time.Duration(random.Int64N(int64(r.responseTime)))
			var c Comparison
			if random.Float64() >= share {
				c.Old = Tally{Responses: 1, LatencyRatios: ratio}
			} else {
				newRequests++
				if at >= r.fault.startsAfter && share >= r.fault.minTrafficShare && random.Float64() < r.portion {
					ratio *= r.fault.slowFactor
					took += time.Duration(r.fault.slowFactor-1) * r.responseTime / 4
				}
				c.New = Tally{Responses: 1, LatencyRatios: ratio}
			}
			due := (at + took).Round(r.step)
			counted[due] = append(counted[due], c)
		}
	}
	return o, end, newRequests, all
}

// TestFaultsThatShowLate guards against a bad version that gets more than the platform allows
// because its good responses at a small share outweigh the bad ones at a larger share, or
// because the share grows before the responses at the former share have come. The rates are
// those of a rollout in which that was seen.
func TestFaultsThatShowLate(t *testing.T) {
	const allowedShare, allowedSlack, seeds = 0.1, 50, 100
	base := delayedRollout{duration: 15 * time.Second, step: 50 * time.Millisecond, perStep: 5, responseTime: 600 * time.Millisecond, shareDelay: 200 * time.Millisecond}
	for _, c := range []struct {
		name    string
		fault   fault
		portion float64
	}{
		{"good", fault{slowFactor: 1}, 0},
		{"slow at a fifth", fault{slowFactor: 5, minTrafficShare: 0.2}, 0.6},
		{"slow at a half", fault{slowFactor: 5, minTrafficShare: 0.5}, 0.6},
		{"slow after a third", fault{slowFactor: 5, startsAfter: 5 * time.Second}, 0.6},
		{"slow after a half", fault{slowFactor: 5, startsAfter: 7500 * time.Millisecond}, 0.6},
	} {
		r := base
		r.fault, r.portion = c.fault, c.portion
		wrong, most := 0, 0
		var latest time.Duration
		for seed := range uint64(seeds) {
			o, end, n, all := r.run(seed)
			if c.portion == 0 {
				if o != Finish {
					t.Errorf("%s, seed %d: outcome %d at %v, want the rollout finished", c.name, seed, o, end)
				}
				continue
			}
			most, latest = max(most, n), max(latest, end)
			if limit := int(allowedShare*float64(all)) + allowedSlack; o != RollBack || n > limit {
				wrong++
			}
		}
		if wrong > 0 {
			t.Errorf("%s: %d of %d rollouts not rolled back within what is allowed; at most %d requests, rolled back at %v at the latest", c.name, wrong, seeds, most, latest)
		}
	}
}
