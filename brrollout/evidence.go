package brrollout

import (
	"math"
	"slices"
)

// addEvidence adds the evidence of a complete block. It modifies j.Evidence in place,
// so the caller must have cloned it.
func (j *Judge) addEvidence(b Block) {
	i := j.route(b.Route)
	for len(j.Evidence) <= i {
		j.Evidence = append(j.Evidence, RouteEvidence{})
	}
	e := &j.Evidence[i]
	settling := b.SettlingShare > 0
	add := func(into *[metricCount]Evidence) {
		switch {
		case b.SettlingShare >= 1000*(1-minOldFraction):
			// The share says as little as a comparison below minOldFraction, and the
			// test against earlier rates needs an unbiased sample.
		case b.New.Requests == 0 && !settling:
		case !settling && float64(b.Old.Requests) < minOldFraction*float64(b.Old.Requests+b.New.Requests):
			j.Routes[i].addAfterEvidence(b.New, into)
		default:
			addConcurrentEvidence(b, into)
		}
	}
	add(&e.All)
	if b.Loaded {
		add(&e.Loaded)
	}
}

// addConcurrentEvidence adds the evidence of a block with enough requests of both
// versions.
func addConcurrentEvidence(b Block, into *[metricCount]Evidence) {
	q := float64(b.New.Requests) / float64(b.New.Requests+b.Old.Requests)
	q = max(q, float64(b.SettlingShare)/1000)
	for m := range metricCount {
		x := float64(b.New.Bad[m])
		k := x + float64(b.Old.Bad[m])
		if k == 0 {
			continue
		}
		e := &into[m]
		for i, ratio := range worseRatios {
			e.Worse[i] += min(x*math.Log(ratio)-k*math.Log1p(q*(ratio-1)), blockCap)
		}
		for i, ratio := range betterRatios {
			if b.SettlingShare > 0 {
				break // these need a lower bound of q
			}
			e.Better[i] += min(x*math.Log(ratio)-k*math.Log1p(q*(ratio-1)), blockCap)
		}
	}
}

// addAfterEvidence adds the evidence of a block with few or no requests of the old
// version.
func (r *RouteCounts) addAfterEvidence(c Counts, into *[metricCount]Evidence) {
	for m := range metricCount {
		p := r.referenceRate(m)
		x, n := float64(c.Bad[m]), float64(c.Requests)
		e := &into[m]
		e.AfterBlocks++
		rest := unstartedWeight(e.AfterBlocks)
		for i, f := range afterRatios {
			alt := min(p*f, (1+p)/2)
			logRatio := min(x*math.Log(alt/p)+(n-x)*math.Log((1-alt)/(1-p)), blockCap)
			after := max(e.After[i], math.Log(rest))
			unstarted := rest * math.Exp(-after) // part of the mean that this block doesn't change
			e.After[i] = after + math.Log((1-unstarted)*math.Exp(logRatio)+unstarted)
		}
	}
}

// unstartedWeight returns the weight of the faults that begin after the first n blocks,
// where n is at least 1.
func unstartedWeight(n int) float64 {
	return (1 - firstStartWeight) * math.Pow(1-laterStartWeight, float64(n-1))
}

// referenceRate returns the accepted rate of bad requests of the new version while
// the old one has little or no traffic. It is between 0.01 and 0.8.
func (r *RouteCounts) referenceRate(m Metric) float64 {
	rate := r.Reference[m]
	if rate == 0 {
		// There were fewer requests than a window. One bad request is added, so that
		// the estimated rate isn't zero when no bad request has been observed.
		rate = float64(r.Old.Bad[m]+1) / float64(r.Old.Requests+1)
	}
	return min(1.5*rate+0.01, 0.8)
}

// closeWindow updates the reference rates once the window has enough requests.
func (r *RouteCounts) closeWindow() {
	if r.Window.Requests < referenceWindow {
		return
	}
	for m := range metricCount {
		rate := float64(r.Window.Bad[m]+1) / float64(r.Window.Requests+1)
		r.Reference[m] = max(r.Reference[m], rate)
	}
	r.Window = Counts{}
}

// row returns the i-th row that is tested: all routes together, then each route.
func (j Judge) row(i int) *RouteEvidence {
	if i > 0 {
		return &j.Evidence[i-1]
	}
	all := &RouteEvidence{}
	for r := range j.Evidence {
		for m := range metricCount {
			all.All[m].add(&j.Evidence[r].All[m])
			all.Loaded[m].add(&j.Evidence[r].Loaded[m])
		}
	}
	return all
}

func (e *Evidence) add(o *Evidence) {
	for i := range e.Worse {
		e.Worse[i] += o.Worse[i]
	}
	for i := range e.Better {
		e.Better[i] += o.Better[i]
	}
	for i := range e.After {
		e.After[i] += o.After[i]
	}
}

// logMean returns the logarithm of the mean of the exponentials of logs. If no log
// is positive, it returns the largest one, an upper bound of that.
func logMean(logs []float64) float64 {
	top := slices.Max(logs)
	if top <= 0 {
		return top // an upper bound, below every level
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}
