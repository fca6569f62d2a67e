package brplace

import (
	"time"

	"bramleyroute/brconcurrency"
)

// learned is what an endpoint takes well, as estimated at the last tick. The zero value is
// nothing learned.
type learned struct {
	limit int           // number of requests at once
	unit  time.Duration // time for a call, or between two events of a stream
}

// window returns the number of requests that all daemons together send to e at once: its slots,
// or fewer if it has turned out to slow down before they are full.
func (e *endpoint) window() int {
	if e.learned.limit > 0 {
		return min(e.learned.limit, e.Slots)
	}
	return e.Slots
}

// expectedCall returns the expected time of a call at e beyond that at the fastest endpoint of
// its service, which the choice of the endpoint can save. It is 0 if nothing is learned.
func (v *service) expectedCall(e *endpoint) time.Duration {
	return max(0, e.learned.unit-v.fastestUnit)
}

// observeConcurrency counts the complete response to f.
func (s *State) observeConcurrency(f *inflightRequest, interval time.Duration) {
	if s.estimator == nil {
		return
	}
	unit := interval
	if !f.request.Stream {
		unit = s.now.Sub(f.dispatchedAt)
	}
	s.estimator.Observe(s.now, f.endpoint.ID, f.endpoint.Slots, f.active, unit)
}

// addEstimate adds a start of an endpoint to the estimator.
func (s *State) addEstimate(e *endpoint) {
	if s.estimator != nil {
		s.estimator.SetEndpoint(e.ID, e.Born)
	}
}

// removeEstimate removes an endpoint from the estimator.
func (s *State) removeEstimate(id string) {
	if s.estimator != nil {
		s.estimator.Remove(id)
	}
}

// applyConcurrency applies what another daemon has counted.
func (s *State) applyConcurrency(ev ConcurrencyReported) {
	switch {
	case s.estimator == nil:
	case ev.Report == nil:
		s.estimator.PeerLost(ev.Daemon)
	default:
		s.estimator.PeerReported(s.now, ev.Daemon, ev.Report)
	}
}

// updateLearned updates what is learned of the endpoints of v. Where the counts of the other
// daemons' requests are older than the requests last, the load level of a response isn't known,
// and neither is a limit.
func (s *State) updateLearned(v *service) {
	if s.estimator == nil {
		return
	}
	v.fastestUnit = 0
	for _, e := range v.endpoints {
		limit, unit := e.Slots, s.estimator.Unit(s.now, e.ID)
		if !v.rates.decide {
			limit = s.estimator.Limit(s.now, e.ID, e.Slots)
		}
		if limit != e.window() {
			s.effects = append(s.effects, ConcurrencyLimited{Endpoint: e.ID, Limit: limit, Slots: e.Slots, Unit: unit})
		}
		e.learned = learned{limit: limit, unit: unit}
		if unit > 0 && (v.fastestUnit == 0 || unit < v.fastestUnit) {
			v.fastestUnit = unit
		}
	}
}

// Limited returns the number of endpoints that get fewer requests at once than they have slots.
func (s *State) Limited() int {
	n := 0
	for _, e := range s.endpoints {
		if e.window() < e.Slots {
			n++
		}
	}
	return n
}

// ConcurrencyReport returns what this daemon has counted of the endpoints that have completed a
// request of it within the given retention; nil without Config.LearnConcurrency.
func (s *State) ConcurrencyReport(now time.Time, retention time.Duration) brconcurrency.Report {
	if s.estimator == nil {
		return nil
	}
	return s.estimator.Report(now, retention)
}
