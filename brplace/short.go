package brplace

import "time"

const (
	// shortFraction is the largest expected duration of a short request, as a fraction
	// of the mean duration at its service.
	shortFraction = 0.25
	// shortShare is the fraction of a daemon's running requests that may be short ones
	// ahead of their rank.
	shortShare = 0.15

	// meanDurationWeight is the weight of a new value in the moving average of the
	// durations at a service.
	meanDurationWeight = 0.02
)

// isShort reports whether r is expected to occupy a slot for a small part of the time
// that the requests of its service take on average. Under lasting overload requests of
// the last rank would never run. Those that are short are placed like the most urgent
// ones as long as they are at most shortShare of the running requests: an urgent request
// then waits at most shortFraction of the mean duration longer, and shortShare bounds
// the capacity that it loses.
func (v *service) isShort(r *Request) bool {
	if !r.Stream || v.meanDuration == 0 || v.eventInterval == 0 {
		return false
	}
	expected := v.promptTime(r.PromptTokens) + time.Duration(r.ExpectedEvents*float64(v.eventInterval))
	return float64(expected) <= shortFraction*float64(v.meanDuration)
}

// placementRank returns the rank that counts for the reserve of slots. It is 0 for the
// most urgent rank that the service has requests of.
func (v *service) placementRank(r *Request) int {
	if r.short && float64(v.shortRunning) < max(1, shortShare*float64(v.running)) {
		return 0
	}
	return r.Rank - v.urgentRank
}

// queueRank returns the rank that counts for the order of the queue.
func (r *Request) queueRank() int {
	if r.short {
		return 0
	}
	return r.Rank
}

// countRunning adds n to the number of running requests of this daemon.
func (v *service) countRunning(r *Request, n int) {
	v.running += n
	if r.short {
		v.shortRunning += n
	}
}
