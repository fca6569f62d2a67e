package brrollout

import "math"

// addEvidence adds the evidence of a complete block. It modifies j.Evidence in place,
// so the caller must have cloned it.
func (j *Judge) addEvidence(b Block) {
	i := j.route(b.Route)
	for len(j.Evidence) <= i {
		j.Evidence = append(j.Evidence, RouteEvidence{})
	}
	e := &j.Evidence[i]
	add := func(into *[metricCount]Evidence) {
		switch {
		case b.New.Requests == 0:
		case float64(b.Old.Requests) < minOldFraction*float64(b.Old.Requests+b.New.Requests):
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
