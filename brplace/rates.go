package brplace

import (
	"slices"
	"time"
)

// The decisions of this file answer the following load: many daemons send calls that last
// tens of milliseconds to a few endpoints with few slots, and the reports of the other
// daemons' usage are older than that. They count requests that have ended. Daemons that
// wait until slots count as free leave endpoints idle, and those that choose the least
// used endpoint all choose the same one until the next reports.
//
// What the reports say about rates holds for longer than a call. The requests at an
// endpoint and those that end there in a second yield the time that it takes for one
// (Little's law) and thus its capacity. Each daemon spreads its calls by the capacities and
// by what the endpoints have to do already, and lets them wait there, in order of arrival.
// When the fleet sends more than the endpoints complete in time, each daemon rejects the
// same part of its calls at once.
const (
	// minFlowRequests is the number of completed requests within flowMemory from which on
	// the work of a service is known.
	minFlowRequests = 20
	// minWork is the least work of a service. Requests that last less are hardly ever seen
	// running.
	minWork = time.Millisecond

	// callDurationWeight is the weight of a new value in the moving average of durations.
	callDurationWeight = 0.05

	// countsAgeWeight is the weight of a new value in the moving average of the age of the
	// reports, which is updated at each tick.
	countsAgeWeight = 0.1
	// ratesHysteresis is the work, relative to the age of the counts, above which a service
	// is decided by counts again.
	ratesHysteresis = 1.5

	// minCorrectionTime is the shortest time in which unlike queues of the endpoints are to
	// become alike, and correctionAges the same in ages of the reports. A correction is seen
	// after about one age; one that is made faster overshoots.
	minCorrectionTime = 100 * time.Millisecond
	correctionAges    = 3

	// workMargin times the mean work at an endpoint must fit into the time until a call is
	// due. Calls often take twice the mean.
	workMargin = 2

	// probeFraction is the part of the calls that are spread over all endpoints alike, so
	// that the capacity of one that gets no others stays known.
	probeFraction = 0.02
)

// rates is what a daemon knows of the flow of requests through a service.
type rates struct {
	decide    bool          // calls are placed by rates instead of counts
	work      time.Duration // mean time in a slot; 0 if unknown
	duration  time.Duration // moving average of the durations of this daemon's calls; 0 if unknown
	admission admission
	rejected  uint64 // calls of this daemon that weren't admitted, since its start
}

// RateStatus describes how the calls to a service are placed.
type RateStatus struct {
	ByRates  bool    // by rates instead of counts
	Admitted float64 // part of the calls that is admitted
	Rejected uint64  // calls that weren't admitted, since the start of the daemon
}

// RateStatuses returns how the calls are placed, by service.
func (s *State) RateStatuses() map[string]RateStatus {
	statuses := map[string]RateStatus{}
	for name, v := range s.services {
		status := RateStatus{ByRates: v.rates.decide, Admitted: 1, Rejected: v.rates.rejected}
		if a := &v.rates.admission; status.ByRates && a.fraction > 0 {
			status.Admitted = a.fraction
		}
		statuses[name] = status
	}
	return statuses
}

// recordDuration adds the duration of a call of this daemon. Calls wait at the endpoints, so
// that it bounds their work, also while the flows aren't complete: the requests of a daemon
// are known before their ends are.
func (q *rates) recordDuration(d time.Duration) {
	q.duration = movingAverage(q.duration, d, callDurationWeight)
}

// recordAge updates the age of the counts at the time now: the median time since the last
// report of a daemon. The median doesn't depend on the few daemons that have just failed.
func (s *State) recordAge() {
	if !s.large() || len(s.reportedAt) == 0 {
		return
	}
	ages := make([]time.Duration, 0, len(s.reportedAt))
	for _, t := range s.reportedAt {
		ages = append(ages, s.now.Sub(t))
	}
	slices.Sort(ages)
	s.countsAge = movingAverage(s.countsAge, ages[len(ages)/2], countsAgeWeight)
}

// updateRates updates the flows of v after the time elapsed since the last update and
// decides whether its calls are placed by them.
func (s *State) updateRates(v *service, elapsed time.Duration) {
	var busy, ended float64
	var recent uint64
	shared := false
	for _, e := range v.endpoints {
		recent += e.flow.recent
		e.flow.update(elapsed, min(e.active(), e.window()))
		busy += e.flow.busy
		ended += e.flow.ended
		shared = shared || e.hasShares()
	}
	if ended*flowMemory.Seconds() < minFlowRequests {
		v.rates = rates{duration: v.rates.duration, rejected: v.rates.rejected}
		return
	}
	slotTime := max(minWork, time.Duration(busy/ended*float64(time.Second)))
	v.rates.work = slotTime
	if v.rates.duration > 0 {
		v.rates.work = max(minWork, min(slotTime, v.rates.duration))
	}
	v.rates.decide = !shared && s.large() && s.countsStale(v)
	if !v.rates.decide {
		v.rates.admission = admission{}
		return
	}
	for _, e := range v.endpoints {
		e.flow.estimate(v.rates.work, float64(v.rates.work)/float64(slotTime), e.window())
	}
	s.updateAdmission(v, elapsed, recent)
}

// countsStale reports whether the counts of the other daemons' requests to v are older than
// its requests last.
func (s *State) countsStale(v *service) bool {
	if v.rates.decide {
		return float64(v.rates.work) < ratesHysteresis*float64(s.countsAge)
	}
	return v.rates.work < s.countsAge
}

// byRates reports whether r is placed by rates. A stream isn't: it occupies its slot for
// longer, and its cost depends on what runs beside it.
func (v *service) byRates(r *Request) bool { return v.rates.decide && !r.Stream }

// load is the sum over some endpoints of a service.
type load struct {
	active   int     // requests at the endpoints
	window   int     // requests that they take at a time
	capacity float64 // requests that they complete in a second
}

func sumLoad(endpoints []*endpoint) load {
	var l load
	for _, e := range endpoints {
		l.active += e.active()
		l.window += e.window()
		l.capacity += e.flow.capacity
	}
	return l
}

// endpointsInTime returns the usable endpoints of v that are expected to complete a call
// within slack, or all usable ones if none is.
func (s *State) endpointsInTime(v *service, slack time.Duration) []*endpoint {
	var all, inTime []*endpoint
	for _, e := range v.endpoints {
		if !e.usable(s.now) {
			continue
		}
		all = append(all, e)
		if workMargin*e.flow.work < slack {
			inTime = append(inTime, e)
		}
	}
	if len(inTime) > 0 {
		return inTime
	}
	return all
}

// chooseByRates returns an endpoint for r at random, or nil if none is usable. The
// probabilities are such that the requests which the fleet starts within the correction
// time fill the endpoints to the same expected wait (basic load interpretation).
func (s *State) chooseByRates(v *service, r *Request) *endpoint {
	if s.cfg.Random() < probeFraction {
		if all := s.rateCandidates(v, v.endpoints, r); len(all) > 0 {
			return all[int(s.cfg.Random()*float64(len(all)))]
		}
		return nil
	}
	inTime := s.endpointsInTime(v, r.FirstByteDue.Sub(s.now))
	candidates := s.rateCandidates(v, inTime, r)
	if len(candidates) == 0 {
		candidates = s.rateCandidates(v, v.endpoints, r)
	}
	if len(candidates) == 0 {
		return nil
	}
	total := sumLoad(inTime)
	if total.capacity == 0 { // all have just been announced
		return s.sample(candidates, 1)[0]
	}
	correction := max(minCorrectionTime, correctionAges*s.countsAge).Seconds()
	level := (float64(total.active) + v.rates.admission.startRate*correction) / total.capacity // seconds
	weights := make([]float64, len(candidates))
	sum := 0.0
	for i, e := range candidates {
		weights[i] = max(0, level*e.flow.capacity-float64(e.active()))
		sum += weights[i]
	}
	if sum == 0 {
		return slices.MinFunc(candidates, compareWait)
	}
	x := s.cfg.Random() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return candidates[i]
		}
	}
	return candidates[len(candidates)-1]
}

// compareWait orders endpoints by the expected time that a request waits there.
func compareWait(a, b *endpoint) int {
	wait := func(e *endpoint) float64 { return float64(e.active()) / e.flow.capacity }
	switch d := wait(a) - wait(b); {
	case d < 0:
		return -1
	case d > 0:
		return 1
	}
	return 0
}

// rateCandidates returns the first preferredEndpoints of those that may run r now.
func (s *State) rateCandidates(v *service, endpoints []*endpoint, r *Request) []*endpoint {
	var candidates []*endpoint
	for _, e := range endpoints {
		if len(candidates) < preferredEndpoints && e.usable(s.now) && eligible(e, r) && s.hasMemory(v, e, r) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}
