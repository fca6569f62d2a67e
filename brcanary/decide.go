package brcanary

import (
	"slices"
	"time"
)

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
	// minRecentResponses is the same for the responses since the start of a stage. It is
	// larger, since they are compared for each stage.
	minRecentResponses = 25
	// minNewResponses is the smallest number of responses of the new version with
	// which a rollout is finished.
	minNewResponses = 30
)

// stage is a share of the traffic that applies from a fraction of the duration on.
type stage struct{ startFraction, share float64 }

// stages limit the new version to a twelfth of the traffic until the last one begins. A
// fault that shows at half of the traffic shows in the responses of that stage, which are
// awaited at a small share: at the full one each second of waiting costs as much of the
// traffic as all stages before. The last stage leaves time for the old version's requests to
// complete.
var stages = []stage{{0, 0.06}, {0.45, 0.2}, {0.55, 0.5}, {0.61, 0.06}, {0.72, 1}}

// finishFraction is the fraction of the duration after which a good rollout is
// finished.
const finishFraction = 0.93

// Progress is the progress of a rollout. It is immutable; the zero value is that of a rollout
// that begins, or of one that another leader has evaluated before.
type Progress struct {
	stage  int
	starts []map[string]Comparison // responses by route at the start of each stage
}

// Decide returns the progress, the new version's share of the traffic and the outcome after
// elapsed of the duration. The argument routes holds the responses by route, and isn't
// modified later by the caller. Decide panics if the duration isn't positive.
func (p Progress) Decide(elapsed, duration time.Duration, routes map[string]Comparison) (next Progress, share float64, o Outcome) {
	if duration <= 0 {
		panic("brcanary: duration must be positive")
	}
	fraction := float64(elapsed) / float64(duration)
	p = p.advance(fraction, routes)
	if p.newIsWorse(routes) {
		return p, 0, RollBack
	}
	switch {
	case fraction < finishFraction:
		return p, stages[p.stage].share, Continue
	case sum(routes).New.Responses < minNewResponses:
		return p, 0, RollBack // too few responses to finish
	}
	return p, 1, Finish
}

// advance returns p at the given fraction of the duration.
func (p Progress) advance(fraction float64, routes map[string]Comparison) Progress {
	started := p.stage
	for p.stage+1 < len(stages) && fraction >= stages[p.stage+1].startFraction {
		p.stage++
	}
	if p.stage > started {
		p.starts = append(slices.Clone(p.starts), routes)
	}
	return p
}

// newIsWorse reports whether the new version is worse in all responses, or in those since the
// start of a stage: good responses before a fault would hide it.
func (p Progress) newIsWorse(routes map[string]Comparison) bool {
	if anyIsWorse(routes, minResponses) {
		return true
	}
	for _, start := range p.starts {
		recent := map[string]Comparison{}
		for route, c := range routes {
			recent[route] = c.since(start[route])
		}
		if anyIsWorse(recent, minRecentResponses) {
			return true
		}
	}
	return false
}

// anyIsWorse reports whether the new version is worse on a route or on all together.
func anyIsWorse(routes map[string]Comparison, responses float64) bool {
	for _, c := range routes {
		if c.newIsWorse(responses) {
			return true
		}
	}
	return sum(routes).newIsWorse(responses)
}

func sum(routes map[string]Comparison) (total Comparison) {
	for _, c := range routes {
		total.Old, total.New = total.Old.Add(c.Old), total.New.Add(c.New)
	}
	return total
}

// since returns the responses of c that are not in start. Those of the old version are all of
// c while it has few new ones, as at the full share.
func (c Comparison) since(start Comparison) Comparison {
	recent := Comparison{c.Old.Sub(start.Old), c.New.Sub(start.New)}
	if recent.Old.Responses < minRecentResponses {
		recent.Old = c.Old
	}
	return recent
}

// newIsWorse reports whether the new version is worse than the old one. Latencies are compared
// from the given number of responses of each version on.
func (c Comparison) newIsWorse(responses float64) bool {
	if c.New.Failed >= minFailures && ratio(c.New.Failed, c.New.Responses) > ratio(c.Old.Failed, c.Old.Responses)+maxFailureIncrease {
		return true
	}
	return c.New.Responses >= responses && c.Old.Responses >= responses &&
		c.New.MeanLatencyRatio() > maxSlowdown*c.Old.MeanLatencyRatio()
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
