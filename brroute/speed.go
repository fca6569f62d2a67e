package brroute

import "time"

const (
	// speedDecay is the weight that older observations keep at each new one:
	// half of it is gone after 14 requests.
	speedDecay = 0.95
	// speedSamples is the weight of observations before an endpoint's own
	// speed replaces the pool's.
	speedSamples = 3
	// Assumed before anything was observed: a short delay, 8,000 prompt tokens
	// per second and 25 ms between tokens, the middle of the engines in use.
	assumedDelay   = 0.020
	assumedPrefill = 1.0 / 8000
	assumedToken   = 0.025
)

// speed is learned from finished requests. The time to the first token is a line
// over the prompt tokens to be prefilled, fitted by least squares over decayed
// sums; the time between tokens is a decayed mean, normalised to an idle
// endpoint.
type speed struct {
	n, x, y, xx, xy float64
	delay, prefill  float64 // s, s per token: the fitted line
	tokens, token   float64 // observations of token, s
}

// observeFirst records the seconds until the first token behind and including
// tokens of prefill.
func (s *speed) observeFirst(tokens int, elapsed time.Duration) {
	x, y := float64(tokens), elapsed.Seconds()
	if y <= 0 {
		return
	}
	s.n = s.n*speedDecay + 1
	s.x = s.x*speedDecay + x
	s.y = s.y*speedDecay + y
	s.xx = s.xx*speedDecay + x*x
	s.xy = s.xy*speedDecay + x*y
	s.fit()
}

func (s *speed) fit() {
	mx, my := s.x/s.n, s.y/s.n
	variance := s.xx/s.n - mx*mx
	slope := 0.0
	if variance > 0.01*mx*mx {
		slope = (s.xy/s.n - mx*my) / variance
	}
	if slope <= 0 || slope*mx > my {
		// The lengths are too alike or too noisy for a line: take the ratio.
		s.delay, s.prefill = 0, my/max(1, mx)
		return
	}
	s.delay, s.prefill = my-slope*mx, slope
}

// observeToken records the mean seconds between tokens at a load of load times
// the capacity.
func (s *speed) observeToken(mean time.Duration, load float64) {
	if mean <= 0 {
		return
	}
	weight := 1 / (s.tokens*speedDecay + 1)
	s.tokens = s.tokens*speedDecay + 1
	s.token += (mean.Seconds()/(1+load) - s.token) * weight
}

// first returns the expected seconds until the first token.
func (s *speed) first(tokens int) float64 { return s.delay + s.prefill*float64(tokens) }

// speedOf returns the speed of e, filled up from the pool's and then from the
// assumed values where too little was observed.
func (t *Table) speedOf(e *endpoint) speed {
	s := e.speed
	if s.n < speedSamples {
		s.delay, s.prefill = t.speed.delay, t.speed.prefill
		if t.speed.n < speedSamples {
			s.delay, s.prefill = assumedDelay, assumedPrefill
		}
	}
	if s.tokens < speedSamples {
		s.token = t.speed.token
		if t.speed.tokens < speedSamples {
			s.token = assumedToken
		}
	}
	return s
}

// Idle returns the least time in which a usable endpoint without load would give
// the first token of a prompt of uncached tokens, from what was learned. It
// returns 0 when too little was learned to tell.
func (t *Table) Idle(uncached int) time.Duration {
	if t.idle.n < speedSamples {
		return 0
	}
	return seconds(t.idle.first(uncached))
}

// measureIdle finds the smallest delay and prefill time of the usable endpoints.
func (t *Table) measureIdle() {
	t.idle = speed{}
	for _, e := range t.list {
		if !e.usable() || e.speed.n < speedSamples {
			continue
		}
		if t.idle.n == 0 {
			t.idle = e.speed
		}
		t.idle.delay = min(t.idle.delay, e.speed.delay)
		t.idle.prefill = min(t.idle.prefill, e.speed.prefill)
	}
}
