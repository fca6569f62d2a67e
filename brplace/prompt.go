package brplace

import "time"

const (
	// defaultTokenTime is the assumed time to process a prompt token at an endpoint of
	// average speed while none has been measured.
	defaultTokenTime = 25 * time.Microsecond

	// minMeasuredPrompt is the prompt length in tokens from which on the time to the
	// first byte is mostly that of the prompt.
	minMeasuredPrompt = 1000

	// shorterTokenTimeWeight and longerTokenTimeWeight are the weights of a new value
	// in the moving average of tokenTime. Prompts of other daemons delay the first byte
	// without being known here, so that longer times say less.
	shorterTokenTimeWeight = 0.1
	longerTokenTimeWeight  = 0.002
)

// promptTime returns the expected time to process a prompt at an endpoint of average
// speed.
func (v *service) promptTime(tokens int) time.Duration {
	if v.tokenTime == 0 {
		return time.Duration(tokens) * defaultTokenTime
	}
	return time.Duration(tokens) * v.tokenTime
}

// recordPrompt learns the time for a prompt token from the first byte of f at the time
// now.
func (v *service) recordPrompt(f *inflightRequest, now time.Time) {
	if !f.unqueued || f.request.PromptTokens < minMeasuredPrompt {
		return
	}
	perToken := now.Sub(f.dispatchedAt) / time.Duration(f.request.PromptTokens)
	perToken = time.Duration(float64(perToken) / v.slowdown(f.endpoint))
	weight := longerTokenTimeWeight
	if perToken < v.tokenTime {
		weight = shorterTokenTimeWeight
	}
	v.tokenTime = movingAverage(v.tokenTime, perToken, weight)
}

// slowdown returns the time that e takes, relative to an endpoint of average speed.
func (v *service) slowdown(e *endpoint) float64 {
	if e.eventInterval == 0 || v.eventInterval == 0 {
		return 1
	}
	return float64(e.eventInterval) / float64(v.eventInterval)
}
