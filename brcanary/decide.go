package brcanary

import "time"

// Tally counts the responses of one version on one route.
type Tally struct {
	Responses float64 `cbor:"a"`
	Failed    float64 `cbor:"f"`
	// LatencyRatios is the sum of the times to the first byte, each divided by the
	// expected time of its request.
	LatencyRatios float64 `cbor:"s"`
}

// Add returns the sum of two tallies.
func (t Tally) Add(u Tally) Tally {
	return Tally{t.Responses + u.Responses, t.Failed + u.Failed, t.LatencyRatios + u.LatencyRatios}
}

// Sub returns the difference of two tallies.
func (t Tally) Sub(u Tally) Tally {
	return Tally{t.Responses - u.Responses, t.Failed - u.Failed, t.LatencyRatios - u.LatencyRatios}
}

// MeanLatencyRatio returns the mean of the latency ratios, and 0 without responses.
func (t Tally) MeanLatencyRatio() float64 { return ratio(t.LatencyRatios, t.Responses) }

// Comparison holds the responses of both versions on one route.
type Comparison struct{ Old, New Tally }

// Outcome is the decision on a rollout.
type Outcome uint8

// Outcomes of Decide.
const (
	Continue Outcome = iota
	Finish
	RollBack
)

const (
	// maxFailureIncrease is the largest allowed increase of the failure rate over
	// the old version's. minFailures is the smallest number of failures for which
	// the rates are compared.
	maxFailureIncrease = 0.12
	minFailures        = 5
	// maxSlowdown is the largest allowed quotient of the new version's mean latency
	// ratio and the old version's. minResponses is the smallest number of responses of
	// each version for which the quotient is evaluated.
	maxSlowdown  = 2.2
	minResponses = 15
	// minNewResponses is the smallest number of responses of the new version with
	// which a rollout is finished.
	minNewResponses = 30
)

// stage is a share of the traffic that applies from a fraction of the duration on.
type stage struct{ startFraction, share float64 }

// stages limit the new version to less than a twentieth of the rollout's traffic
// in the first half of the duration. The last stage leaves time for the old
// version's requests to complete.
var stages = []stage{{0, 0.06}, {0.5, 0.2}, {0.6, 0.5}, {0.7, 1}}

// finishFraction is the fraction of the duration after which a good rollout is
// finished.
const finishFraction = 0.93

// Decide returns the new version's share of the traffic and the outcome after
// elapsed of the duration. The argument routes holds the responses by route. Decide
// panics if the duration isn't positive.
func Decide(elapsed, duration time.Duration, routes map[string]Comparison) (share float64, o Outcome) {
	if duration <= 0 {
		panic("brcanary: duration must be positive")
	}
	var total Comparison
	for _, c := range routes {
		if c.newIsWorse() {
			return 0, RollBack
		}
		total.Old, total.New = total.Old.Add(c.Old), total.New.Add(c.New)
	}
	if total.newIsWorse() {
		return 0, RollBack
	}
	fraction := float64(elapsed) / float64(duration)
	for _, s := range stages {
		if fraction >= s.startFraction {
			share = s.share
		}
	}
	switch {
	case fraction < finishFraction:
		return share, Continue
	case total.New.Responses < minNewResponses:
		return 0, RollBack // too few responses to finish
	}
	return 1, Finish
}

// newIsWorse reports whether the new version is worse than the old one.
func (c Comparison) newIsWorse() bool {
	if c.New.Failed >= minFailures && ratio(c.New.Failed, c.New.Responses) > ratio(c.Old.Failed, c.Old.Responses)+maxFailureIncrease {
		return true
	}
	return c.New.Responses >= minResponses && c.Old.Responses >= minResponses &&
		c.New.MeanLatencyRatio() > maxSlowdown*c.Old.MeanLatencyRatio()
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
