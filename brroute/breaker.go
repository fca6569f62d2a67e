package brroute

import (
	"fmt"
	"math"
	"time"
)

const (
	// breakerEvidence is -ln(1.4e-7): a version is stopped when what was seen
	// has a lower probability at the old version's rate. With 1e-6 and a floor of
	// 1%, a trial with 120 good versions stopped one.
	breakerEvidence = 15.8
	// failureFloor and slowFloor are the rates that a good version may always
	// have. At a floor of 0.5% three failures in a row are enough evidence, and
	// four when the old version fails at 1%.
	failureFloor = 0.005
	slowFloor    = 0.05
	// priorRequests is the weight of the floor against the old version's counts.
	priorRequests = 100
	// minFailures and minSlow are the least counts that stop a version.
	minFailures = 3
	minSlow     = 5
	// breakerHalfLife is the time after which earlier requests count half, so
	// that both versions are compared over the same recent minute.
	breakerHalfLife = 30 * time.Second
	// spreadPart is the part of the bad requests above which one route is taken
	// as the cause.
	spreadPart = 0.7
	// breakerRoutes bounds the routes that are judged on their own.
	breakerRoutes = 256
)

// Breaker compares a new version with the old one and tells when the new one
// must be stopped at once. Its zero value has seen nothing.
//
// The rule, per route and over all routes, with p the old version's rate and at
// least 0.5% (slowness: 5%): stop after m >= 3 failures in a row with
// p^m <= 1.4e-7, or after k >= 3 failures (5 slow requests) of n with
// exp(-n KL(k/n, p)) <= 1.4e-7, the Chernoff bound of the binomial tail. For
// independent failures at rate p the false positive rate is therefore at most
// 1.4e-7 per request for runs and per look for counts. When the faults are spread over routes, all
// routes are stopped.
type Breaker struct {
	total  judged
	routes map[string]*judged
	halved time.Time
}

// Sample is one ended or stalled request.
type Sample struct {
	Route  string
	New    bool // of the new version
	Failed bool
	Slow   bool
}

type judged struct {
	old, new  counts
	run       int    // failures of the new version in a row
	runRoute  string // of the run's first failure
	runSpread bool   // the run has failures of several routes
}

type counts struct{ requests, failed, slow float64 }

// Verdict says what a Breaker stops. Route is empty for all routes.
type Verdict struct {
	Route  string
	Reason string
}

// Observe counts a sample and returns a verdict when the new version must be
// stopped.
func (b *Breaker) Observe(now time.Time, s Sample) (Verdict, bool) {
	b.decay(now)
	b.total.count(s)
	r := b.routes[s.Route]
	if r == nil && len(b.routes) < breakerRoutes {
		if b.routes == nil {
			b.routes = make(map[string]*judged)
		}
		r = &judged{}
		b.routes[s.Route] = r
	}
	if r != nil {
		r.count(s)
	}
	if !s.New || !s.Failed && !s.Slow {
		return Verdict{}, false
	}
	if reason := b.total.judge(); reason != "" && b.spread() {
		return Verdict{Reason: reason}, true
	}
	if r == nil {
		return Verdict{}, false
	}
	reason := r.judge()
	if reason == "" {
		return Verdict{}, false
	}
	// The route is stopped, so its faults no longer speak against the others.
	b.total.remove(r)
	r.new, r.run = counts{}, 0
	return Verdict{Route: s.Route, Reason: reason}, true
}

// spread reports whether less than spreadPart of the bad requests are of one
// route, or the run of failures is of several.
func (b *Breaker) spread() bool {
	if b.total.run >= minFailures && b.total.runSpread {
		return true
	}
	worst := 0.0
	for _, r := range b.routes {
		worst = max(worst, r.new.failed+r.new.slow)
	}
	return worst < spreadPart*(b.total.new.failed+b.total.new.slow)
}

func (b *Breaker) decay(now time.Time) {
	if b.halved.IsZero() {
		b.halved = now
	}
	for ; now.Sub(b.halved) >= breakerHalfLife; b.halved = b.halved.Add(breakerHalfLife) {
		b.total.halve()
		for _, r := range b.routes {
			r.halve()
		}
	}
}

func (j *judged) halve() {
	for _, c := range [...]*counts{&j.old, &j.new} {
		c.requests, c.failed, c.slow = c.requests/2, c.failed/2, c.slow/2
	}
}

func (j *judged) count(s Sample) {
	c := &j.old
	if s.New {
		c = &j.new
		j.follow(s)
	}
	c.requests++
	if s.Failed {
		c.failed++
	}
	if s.Slow {
		c.slow++
	}
}

// follow keeps the run of failures.
func (j *judged) follow(s Sample) {
	if !s.Failed {
		j.run, j.runSpread = 0, false
		return
	}
	if j.run == 0 {
		j.runRoute = s.Route
	}
	j.run++
	j.runSpread = j.runSpread || s.Route != j.runRoute
}

func (j *judged) remove(r *judged) {
	j.run, j.runSpread = 0, false
	j.new.requests = max(0, j.new.requests-r.new.requests)
	j.new.failed = max(0, j.new.failed-r.new.failed)
	j.new.slow = max(0, j.new.slow-r.new.slow)
}

// judge returns why the new version must be stopped, or "".
func (j *judged) judge() string {
	p := j.old.rate(j.old.failed, failureFloor)
	if j.run >= minFailures && float64(j.run)*-math.Log(p) >= breakerEvidence {
		return fmt.Sprintf("%d failures in a row", j.run)
	}
	if j.new.failed >= minFailures && j.new.evidence(j.new.failed, p) >= breakerEvidence {
		return fmt.Sprintf("%.0f failures of %.0f, the old version's rate is %.3f", j.new.failed, j.new.requests, p)
	}
	p = j.old.rate(j.old.slow, slowFloor)
	if j.new.slow >= minSlow && j.new.evidence(j.new.slow, p) >= breakerEvidence {
		return fmt.Sprintf("%.0f slow of %.0f, the old version's rate is %.3f", j.new.slow, j.new.requests, p)
	}
	return ""
}

// rate returns k of the requests as a rate, pulled towards floor while there are
// few and never below it.
func (c counts) rate(k, floor float64) float64 {
	return min(0.99, max(floor, (k+floor*priorRequests)/(c.requests+priorRequests)))
}

// evidence returns n KL(k/n, p), the negative logarithm of the Chernoff bound of
// seeing k or more of n requests at rate p; 0 when k/n is at most p.
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
