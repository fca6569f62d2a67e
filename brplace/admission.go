package brplace

import (
	"math"
	"time"
)

const (
	// minAdmissionMemory is the least time constant of the moving averages of rates for the
	// admission, and minQueueTime the least time in which a queue that is too long is to
	// shrink to its target. Both are at least admissionAges times the age of the reports,
	// since a correction that is made before it is seen overshoots.
	minAdmissionMemory = 500 * time.Millisecond
	minQueueTime       = 600 * time.Millisecond
	admissionAges      = 2

	// queueFraction is the part of the time that calls may wait at an endpoint and still be
	// in time, which they wait on average when the endpoints are full.
	queueFraction = 0.5

	// rejectedWeight is the weight of a call in the moving average of the part that endpoints
	// reject.
	rejectedWeight = 0.1

	// slackWeight is the weight of a new value in the moving average of the time in which
	// calls are due.
	slackWeight = 0.05

	// minReturnDelay is the least upper bound of the time after which a rejected request may
	// come back, and minReturnPart the shortest time relative to that bound.
	minReturnDelay = 50 * time.Millisecond
	minReturnPart  = 0.3

	// admissionRecovery is the part of what a daemon rejects that it admits again in a
	// second. It makes the parts that the daemons admit alike.
	admissionRecovery = 0.2
)

// admission decides which part of the calls of a service this daemon admits. It answers
// calls that a large fleet sends at a higher rate than the endpoints complete: the calls
// that would wait too long are rejected at once, and all daemons reject the same part.
//
// All daemons see about the same rate of starts and have admitted about the same part of
// their calls, of which the endpoints have rejected about the same part, so that one divided
// by the other is the demand of the fleet, which nobody reports.
type admission struct {
	startRate float64       // starts per second over all daemons, moving average
	active    int           // requests at the endpoints at the last update
	fraction  float64       // part of the calls to admit
	reported  float64       // moving average of fraction that is as old as the reports
	mean      float64       // moving average of reported
	rejected  float64       // moving average of the part of this daemon's calls that endpoints reject as full
	slack     time.Duration // moving average of the time from arrival until a call is due
}

// update sets the part to admit, given what the endpoints have, complete and have
// completed in the time elapsed since the last update.
func (a *admission) update(elapsed time.Duration, usable load, active int, ended uint64, work, age time.Duration) {
	if a.mean == 0 {
		a.reported, a.mean, a.fraction, a.active, a.startRate = 1, 1, 1, active, float64(ended)/elapsed.Seconds()
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(max(minAdmissionMemory, admissionAges*age)))
	started := float64(ended) + float64(active-a.active)
	a.startRate += weight * (started/elapsed.Seconds() - a.startRate)
	a.active = active
	a.reported += (1 - math.Exp(-float64(elapsed)/float64(age))) * (a.fraction - a.reported)
	a.mean += weight * (a.reported - a.mean)
	if a.startRate <= 0 {
		return
	}
	wait := queueFraction * max(0, (a.slack-workMargin*work).Seconds())
	target := float64(usable.window) + wait*usable.capacity
	wanted := usable.capacity + (target-float64(usable.active))/max(minQueueTime, admissionAges*age).Seconds()
	a.fraction = a.mean * (1 - a.rejected) * max(0, wanted) / a.startRate
	a.fraction += admissionRecovery * elapsed.Seconds() * (1 - a.fraction)
	a.fraction = min(1, max(minAdmission, a.fraction))
}

// minAdmission is the least part of the calls that is admitted. From it the starts and thus
// the demand remain known.
const minAdmission = 0.02

// recordAnswer counts a call of this daemon that an endpoint has completed or rejected as full.
func (a *admission) recordAnswer(rejected bool) {
	value := 0.0
	if rejected {
		value = 1
	}
	a.rejected += rejectedWeight * (value - a.rejected)
}

// part returns the part of the calls of a rank to admit: what is admitted of the whole demand
// is given to the most urgent ones first.
func (a *admission) part(d *demand, rank int) float64 {
	all, _ := d.before(math.MaxInt)
	before, _ := d.before(rank)
	if own := d.ranks[rank]; own != nil && own.rate > 0 {
		return (a.fraction*all - before) / own.rate
	}
	return a.fraction
}

// updateAdmission updates the admission of v after the time elapsed since the last update,
// in which the given number of requests have ended.
func (s *State) updateAdmission(v *service, elapsed time.Duration, ended uint64) {
	active := 0
	for _, e := range v.endpoints {
		active += e.active()
	}
	v.rates.admission.update(elapsed, sumLoad(s.endpointsInTime(v, v.rates.admission.slack)), active, ended, v.rates.work, s.countsAge)
}

// admits reports whether r is admitted. It is while less than half of what the endpoints
// take at a time is in use, and if it has been sent before.
func (s *State) admits(v *service, r *Request) bool {
	a := &v.rates.admission
	if !v.byRates(r) || len(r.ExcludedEndpoints) > 0 {
		return true
	}
	a.slack = movingAverage(a.slack, r.FirstByteDue.Sub(s.now), slackWeight)
	part := a.part(&v.demand, r.Rank)
	if a.fraction == 0 || part >= 1 {
		return true
	}
	if usable := sumLoad(s.endpointsInTime(v, a.slack)); 2*usable.active < usable.window || usable.window == 0 {
		return true
	}
	return s.cfg.Random() < part
}

// returnDelay returns a random time, at most half of slack if that isn't too short, after which
// a rejected request may come back. Those that are rejected together don't meet, and can
// still be in time: later they would take the place of others that can.
func (s *State) returnDelay(slack time.Duration) time.Duration {
	longest := max(minReturnDelay, slack/2)
	return time.Duration((minReturnPart + (1-minReturnPart)*s.cfg.Random()) * float64(longest))
}
