package brroute

import (
	"fmt"
	"math"
	"time"
)

const (
	// evidenceThreshold is -ln(1.4e-7). A version is stopped when the observed
	// failures are less probable than 1.4e-7 at the old version's rate. With 1e-6
	// and a floor of 1%, one of 120 good versions was stopped.
	evidenceThreshold = 15.8
	// failureFloor and slowFloor are the smallest rates assumed for the old
	// version. At a failure floor of 0.5%, three consecutive failures are enough
	// evidence, or four when the old version fails at 1%.
	failureFloor = 0.005
	slowFloor    = 0.05
	// priorRequests is the number of requests at the floor rate that are added to
	// the old version's counts.
	priorRequests = 100
	// minFailures and minSlow are the smallest counts that stop a version.
	minFailures = 3
	minSlow     = 5
	// breakerHalfLife is the half-life of the request counts, so that both versions
	// are compared over about the last minute.
	breakerHalfLife = 30 * time.Second
	// breakerPeriod is the time over which the old version's present rate is taken.
	// periodPriorRequests at its rate of the last minute are added to its counts of
	// a period.
	breakerPeriod       = 5 * time.Second
	periodPriorRequests = 20
	// dominantRouteFraction is the fraction of the failed and slow requests above
	// which a single route is considered the cause.
	dominantRouteFraction = 0.7
	// maxBreakerRoutes limits the routes with counts of their own.
	maxBreakerRoutes = 256
)

// Breaker compares a new version with the old one and decides when the new
// version must be stopped. The zero value is ready to use.
//
// The rule applies to each route and to all routes together. Let p be the old
// version's rate, at least 0.5% for failures and 5% for slow requests. It is the rate
// over about the last minute, or over the times of the new version's requests if that
// is larger: after the new version's share was raised, most of its requests are recent
// and most of the old version's are not, so that a machine that becomes busy and slows
// down both raises the new version's rate of the last minute more. The new
// version is stopped after m >= 3 consecutive failures with p^m <= 1.4e-7, or
// after k >= 3 failures (5 slow requests) of n requests with
// exp(-n KL(k/n, p)) <= 1.4e-7, the Chernoff bound of the binomial tail. For
// independent failures at rate p the false positive rate is therefore at most
// 1.4e-7 per request for consecutive failures and 1.4e-7 per evaluation for
// counts. If the faults are spread over several routes, all routes are stopped.
type Breaker struct {
	total       versionStats
	routes      map[string]*versionStats
	lastHalved  time.Time
	periodSince time.Time
}

// Sample is the observation of one completed or stalled request.
type Sample struct {
	Route  string
	New    bool // whether the new version served the request
	Failed bool
	Slow   bool
}

// versionStats holds the counts of both versions on one route or on all routes.
type versionStats struct {
	old, new         counts
	expected         counts // of new, before the current period, at the old version's rates of the same periods
	periodOld        counts // of the current period
	periodNew        counts // of the current period
	streak           int    // consecutive failures of the new version
	streakRoute      string // route of the first failure of the streak
	streakMultiRoute bool   // whether the streak includes failures on several routes
}

type counts struct{ requests, failed, slow float64 }

// Verdict is the decision to stop a version. Route is empty for all routes.
type Verdict struct {
	Route  string
	Reason string
}

// Observe counts a sample at time now. It returns a verdict and true when the
// new version must be stopped.
func (b *Breaker) Observe(now time.Time, s Sample) (Verdict, bool) {
	b.decay(now)
	b.total.count(s)
	r := b.routes[s.Route]
	if r == nil && len(b.routes) < maxBreakerRoutes {
		if b.routes == nil {
			b.routes = make(map[string]*versionStats)
		}
		r = &versionStats{}
		b.routes[s.Route] = r
	}
	if r != nil {
		r.count(s)
	}
	if !s.New || !s.Failed && !s.Slow {
		return Verdict{}, false
	}
	if reason := b.total.stopReason(); reason != "" && b.affectsSeveralRoutes() {
		return Verdict{Reason: reason}, true
	}
	if r == nil {
		return Verdict{}, false
	}
	reason := r.stopReason()
	if reason == "" {
		return Verdict{}, false
	}
	// The route is stopped, so its faults no longer count against the other routes.
	b.total.subtractNew(r)
	r.new, r.expected, r.periodNew, r.streak = counts{}, counts{}, counts{}, 0
	return Verdict{Route: s.Route, Reason: reason}, true
}

// affectsSeveralRoutes reports whether less than dominantRouteFraction of the
// new version's failed and slow requests are on one route, or the current
// streak of failures spans several routes.
func (b *Breaker) affectsSeveralRoutes() bool {
	if b.total.streak >= minFailures && b.total.streakMultiRoute {
		return true
	}
	worst := 0.0
	for _, r := range b.routes {
		worst = max(worst, r.new.failed+r.new.slow)
	}
	return worst < dominantRouteFraction*(b.total.new.failed+b.total.new.slow)
}

// decay ends the current period if it is complete and halves the counts that are due.
func (b *Breaker) decay(now time.Time) {
	if b.lastHalved.IsZero() {
		b.lastHalved, b.periodSince = now, now
	}
	if now.Sub(b.periodSince) < breakerPeriod && now.Sub(b.lastHalved) < breakerHalfLife {
		return
	}
	b.periodSince = now
	b.total.endPeriod()
	for _, r := range b.routes {
		r.endPeriod()
	}
	for ; now.Sub(b.lastHalved) >= breakerHalfLife; b.lastHalved = b.lastHalved.Add(breakerHalfLife) {
		b.total.halve()
		for _, r := range b.routes {
			r.halve()
		}
	}
}

func (v *versionStats) halve() {
	for _, c := range [...]*counts{&v.old, &v.new, &v.expected} {
		c.requests, c.failed, c.slow = c.requests/2, c.failed/2, c.slow/2
	}
}

// endPeriod adds the expected counts of the current period and starts the next one.
func (v *versionStats) endPeriod() {
	failed, slow := v.expectedInPeriod()
	v.expected.failed, v.expected.slow = v.expected.failed+failed, v.expected.slow+slow
	v.periodOld, v.periodNew = counts{}, counts{}
}

// expectedInPeriod returns the numbers of failed and slow requests that are expected
// of the new version's requests of the current period at the old version's rates.
func (v *versionStats) expectedInPeriod() (failed, slow float64) {
	rate := func(k, p float64) float64 {
		return (k + p*periodPriorRequests) / (v.periodOld.requests + periodPriorRequests)
	}
	n := v.periodNew.requests
	return n * rate(v.periodOld.failed, v.old.rate(v.old.failed, failureFloor)), n * rate(v.periodOld.slow, v.old.rate(v.old.slow, slowFloor))
}

// oldRates returns the old version's rates of failed and slow requests to compare the
// new version with.
func (v *versionStats) oldRates() (failed, slow float64) {
	failed, slow = v.old.rate(v.old.failed, failureFloor), v.old.rate(v.old.slow, slowFloor)
	if v.new.requests == 0 {
		return failed, slow
	}
	f, s := v.expectedInPeriod()
	f, s = (v.expected.failed+f)/v.new.requests, (v.expected.slow+s)/v.new.requests
	return min(0.99, max(failed, f)), min(0.99, max(slow, s))
}

func (v *versionStats) count(s Sample) {
	if s.New {
		v.updateStreak(s)
		v.new.add(s)
		v.periodNew.add(s)
		return
	}
	v.old.add(s)
	v.periodOld.add(s)
}

func (c *counts) add(s Sample) {
	c.requests++
	if s.Failed {
		c.failed++
	}
	if s.Slow {
		c.slow++
	}
}

func (c *counts) subtract(o counts) {
	c.requests = max(0, c.requests-o.requests)
	c.failed, c.slow = max(0, c.failed-o.failed), max(0, c.slow-o.slow)
}

// updateStreak updates the streak of consecutive failures with s.
func (v *versionStats) updateStreak(s Sample) {
	if !s.Failed {
		v.streak, v.streakMultiRoute = 0, false
		return
	}
	if v.streak == 0 {
		v.streakRoute = s.Route
	}
	v.streak++
	v.streakMultiRoute = v.streakMultiRoute || s.Route != v.streakRoute
}

func (v *versionStats) subtractNew(r *versionStats) {
	v.streak, v.streakMultiRoute = 0, false
	v.new.subtract(r.new)
	v.expected.subtract(r.expected)
	v.periodNew.subtract(r.periodNew)
}

// stopReason returns the reason to stop the new version, or "" if there is none.
func (v *versionStats) stopReason() string {
	p, slowRate := v.oldRates()
	if v.streak >= minFailures && float64(v.streak)*-math.Log(p) >= evidenceThreshold {
		return fmt.Sprintf("%d failures in a row", v.streak)
	}
	if v.new.failed >= minFailures && v.new.evidence(v.new.failed, p) >= evidenceThreshold {
		return fmt.Sprintf("%.0f failures in %.0f requests, old version's failure rate %.3f", v.new.failed, v.new.requests, p)
	}
	if v.new.slow >= minSlow && v.new.evidence(v.new.slow, slowRate) >= evidenceThreshold {
		return fmt.Sprintf("%.0f slow requests of %.0f, old version's rate %.3f", v.new.slow, v.new.requests, slowRate)
	}
	return ""
}

// rate returns k divided by the number of requests, smoothed towards floor by
// priorRequests. The result is within floor and 0.99.
func (c counts) rate(k, floor float64) float64 {
	return min(0.99, max(floor, (k+floor*priorRequests)/(c.requests+priorRequests)))
}

// evidence returns n KL(k/n, p), the negative logarithm of the Chernoff bound on
// the probability of k or more of n requests at rate p. It returns 0 when k/n is
// at most p.
func (c counts) evidence(k, p float64) float64 {
	q := k / c.requests
	if q <= p {
		return 0
	}
	kl := q * math.Log(q/p)
	if q < 1 {
		kl += (1 - q) * math.Log((1-q)/(1-p))
	}
	return c.requests * kl
}
