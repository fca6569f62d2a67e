package brmemory

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new request in the moving averages.
	meanWeight = 0.02
	// largestMemory is the time constant with which the largest size fades: longer than most
	// requests last, so that the next one of this size still finds room for it.
	largestMemory = 10 * time.Second
	// maxMarginFraction is the largest part of the memory of an endpoint that is left for a
	// request of which no report tells yet. More would leave the endpoint to one request at a
	// time.
	maxMarginFraction = 0.5
)

// Sizes are the usual sizes of the requests of a service in tokens. The zero value is nothing
// known.
type Sizes struct {
	prompt, output float64 // moving averages
	largest        float64 // prompt and output, as of seenAt
	seenAt         time.Time
}

// Add returns the sizes after a request with the given numbers of prompt tokens and expected
// output tokens.
func (z Sizes) Add(now time.Time, prompt, output int) Sizes {
	if z.seenAt.IsZero() {
		z.prompt, z.output = float64(prompt), float64(output)
	}
	z.prompt += meanWeight * (float64(prompt) - z.prompt)
	z.output += meanWeight * (float64(output) - z.output)
	z.largest = max(z.largestAt(now), float64(prompt+output))
	z.seenAt = now
	return z
}

// MeanPrompt returns the mean number of prompt tokens.
func (z Sizes) MeanPrompt() int { return int(z.prompt) }

// MeanOutput returns the mean number of expected output tokens.
func (z Sizes) MeanOutput() int { return int(z.output) }

// Margin returns the tokens that are to stay free at an endpoint of the given capacity for
// requests of other daemons that no report has shown yet.
func (z Sizes) Margin(now time.Time, capacity int) int {
	return int(min(z.largestAt(now), maxMarginFraction*float64(capacity)))
}

func (z Sizes) largestAt(now time.Time) float64 {
	return z.largest * math.Exp(-float64(now.Sub(z.seenAt))/float64(largestMemory))
}

// Fits reports whether a request of the given tokens may be added to those held at an endpoint
// with a capacity in tokens, of which margin is to stay free. If nothing is held, the margin
// doesn't count: a request that fits alone finds an endpoint.
func Fits(capacity, held, margin, tokens int) bool {
	if held == 0 {
		return tokens <= capacity
	}
	return held+margin+tokens <= capacity
}
