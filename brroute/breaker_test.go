package brroute

import (
	"math/rand/v2"
	"testing"
	"time"
)

// runBreaker sends requests through a breaker. One in 20 goes to the new version,
// except on stopped routes. It returns the number of requests to the new version
// and the stop reason by route; the route is "" for all routes.
func runBreaker(rng *rand.Rand, requests int, classify func(s Sample) Sample) (seen int, stopped map[string]string) {
	var b Breaker
	stopped = map[string]string{}
	for i := range requests {
		s := Sample{Route: []string{"drafting", "booking"}[rng.IntN(2)]}
		_, all := stopped[""]
		if _, one := stopped[s.Route]; i%20 == 0 && !all && !one {
			s.New = true
			seen++
		}
		if v, ok := b.Observe(start.Add(time.Duration(i)*10*time.Millisecond), classify(s)); ok {
			stopped[v.Route] = v.Reason
		}
	}
	return seen, stopped
}

// Guards against a breaker that doesn't stop a bad version, or that stops all
// routes because of a fault on one route.
func TestBreakerStopsBadVersions(t *testing.T) {
	noise := func(rng *rand.Rand, p float64) bool { return rng.Float64() < p }
	for _, c := range []struct {
		name     string
		classify func(rng *rand.Rand, s Sample) Sample
		within   int    // largest number of requests to the new version
		route    string // the only route that is stopped; empty for all routes
	}{
		{"fails at once", func(_ *rand.Rand, s Sample) Sample { s.Failed = s.New; return s }, 6, ""},
		{"fails on one route", func(r *rand.Rand, s Sample) Sample {
			s.Failed = noise(r, 0.001) || s.New && s.Route == "booking"
			return s
		}, 0, "booking"},
		{"fails one in three", func(r *rand.Rand, s Sample) Sample { s.Failed = noise(r, 0.002) || s.New && noise(r, 0.33); return s }, 100, ""},
		{"slow", func(r *rand.Rand, s Sample) Sample { s.Slow = noise(r, 0.04) || s.New; return s }, 20, ""},
		{"slow on a busy machine", func(r *rand.Rand, s Sample) Sample { s.Slow = noise(r, 0.25) || s.New; return s }, 30, ""},
	} {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 1))
			seen, stopped := runBreaker(rng, 10_000, func(s Sample) Sample { return c.classify(rng, s) })
			_, all := stopped[""]
			if c.route == "" && (seen > c.within || !all && len(stopped) < 2) || c.route != "" && (len(stopped) != 1 || stopped[c.route] == "") {
				t.Errorf("%s, seed %d: stopped routes %v after %d requests to the new version", c.name, seed, stopped, seen)
			}
		}
	}
}

// Guards against a breaker that stops good versions. Of 420 good versions, 400
// have 1% failures and 5% slow requests, each over 5,000 requests. The other 20
// run during an overload in which half of both versions' requests are slow.
func TestBreakerKeepsGoodVersions(t *testing.T) {
	for seed := range uint64(420) {
		rng := rand.New(rand.NewPCG(seed, 2))
		slow := 0.05
		if seed >= 400 {
			slow = 0.5
		}
		seen, stopped := runBreaker(rng, 100_000, func(s Sample) Sample {
			s.Failed, s.Slow = rng.Float64() < 0.01, rng.Float64() < slow
			return s
		})
		if len(stopped) > 0 {
			t.Errorf("seed %d: good version stopped on routes %v after %d requests", seed, stopped, seen)
		}
	}
}

// Guards against a breaker that stops a good version because the machine is busy: the
// new version's share rises from 28 to 250 per mille, and right after that the same
// fraction of both versions' requests is slow for some seconds. Most of the old
// version's requests of the last minute are from before, most of the new one's are not.
func TestBreakerKeepsGoodVersionsWhenBothSlowDown(t *testing.T) {
	for _, c := range []struct {
		slow float64
		busy time.Duration
	}{{0.25, 5 * time.Second}, {0.5, time.Second}, {0.5, 3 * time.Second}, {0.8, 10 * time.Second}} {
		stopped := 0
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 3))
			var b Breaker
			credit := 0
			for now := time.Duration(0); now < 30*time.Second; now += 25 * time.Millisecond { // 40 requests/s
				share, slow := 28, 0.01
				if now >= 15*time.Second {
					share = 250
				}
				if 15*time.Second <= now && now < 15*time.Second+c.busy {
					slow = c.slow
				}
				s := Sample{Route: []string{"question", "draft", "review"}[rng.IntN(3)], Slow: rng.Float64() < slow}
				if credit += share; credit >= 1000 {
					credit, s.New = credit-1000, true
				}
				if _, bad := b.Observe(start.Add(now), s); bad {
					stopped++
					break
				}
			}
		}
		if stopped > 0 {
			t.Errorf("%.2f of the requests slow for %v: %d of 100 good versions stopped, want 0", c.slow, c.busy, stopped)
		}
	}
}
