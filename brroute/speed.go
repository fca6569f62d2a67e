package brroute

import "time"

const (
	// speedDecay is the factor by which the weight of earlier observations is
	// multiplied at each new one. It gives a half-life of 14 requests.
	speedDecay = 0.95
	// speedSamples is the weight of observations needed to use an endpoint's own
	// speed instead of the pool's.
	speedSamples = 3
	// The speed assumed without observations: a short delay, 8,000 prompt tokens
	// per second and 25 ms between tokens, in the middle of the range of the
	// engines in use.
	assumedDelay   = 0.020
	assumedPrefill = 1.0 / 8000
	assumedToken   = 0.025
)

// speed is learned from completed requests. The time to the first token is a
// linear function of the prompt tokens to prefill, fitted by least squares with
// exponentially decaying weights. The time between tokens is an exponentially
// decaying mean, normalized to an idle endpoint.
type speed struct {
	n, x, y, xx, xy         float64
	delay, prefillTime      float64 // of the fitted line, in s and s per token
	tokenSamples, tokenTime float64 // weight of the observations; mean time between tokens in s
}

// observeFirst records a time to the first token. The argument tokens is the
// prefill up to and including the request's own, in tokens.
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
		// The lengths vary too little or the times too much for a line: use the ratio.
		s.delay, s.prefillTime = 0, my/max(1, mx)
		return
	}
	s.delay, s.prefillTime = my-slope*mx, slope
}

// observeToken records a mean time between tokens. The argument load is a
// fraction of the endpoint's capacity.
func (s *speed) observeToken(mean time.Duration, load float64) {
	if mean <= 0 {
		return
	}
	weight := 1 / (s.tokenSamples*speedDecay + 1)
	s.tokenSamples = s.tokenSamples*speedDecay + 1
	s.tokenTime += (mean.Seconds()/(1+load) - s.tokenTime) * weight
}

// timeToFirstToken returns the expected time to the first token in seconds.
func (s *speed) timeToFirstToken(tokens int) float64 { return s.delay + s.prefillTime*float64(tokens) }

// speedOf returns the speed of e. Without enough observations of e it uses the
// pool's speed, and without enough of those the assumed values.
func (t *Table) speedOf(e *endpoint) speed {
	s := e.speed
	if s.n < speedSamples {
		s.delay, s.prefillTime = t.speed.delay, t.speed.prefillTime
		if t.speed.n < speedSamples {
			s.delay, s.prefillTime = assumedDelay, assumedPrefill
		}
	}
	if s.tokenSamples < speedSamples {
		s.tokenTime = t.speed.tokenTime
		if t.speed.tokenSamples < speedSamples {
			s.tokenTime = assumedToken
		}
	}
	return s
}

// MinTimeToFirstToken returns the shortest time to the first token that a usable
// endpoint without load is expected to need for a prompt of uncached tokens. It
// returns 0 when there are too few observations.
func (t *Table) MinTimeToFirstToken(uncached int) time.Duration {
	if t.idleSpeed.n < speedSamples {
		return 0
	}
	return seconds(t.idleSpeed.timeToFirstToken(uncached))
}

// updateIdleSpeed finds the smallest delay and prefill time of the usable
// endpoints.
func (t *Table) updateIdleSpeed() {
	t.idleSpeed = speed{}
	for _, e := range t.list {
		if !e.usable() || e.speed.n < speedSamples {
			continue
		}
		if t.idleSpeed.n == 0 {
			t.idleSpeed = e.speed
		}
		t.idleSpeed.delay = min(t.idleSpeed.delay, e.speed.delay)
		t.idleSpeed.prefillTime = min(t.idleSpeed.prefillTime, e.speed.prefillTime)
	}
}
