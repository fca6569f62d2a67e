package brplace

import (
	"slices"

	"bramleyroute/brlimit"
)

// DomainsEvacuated carries all failure domains whose endpoints are to get no new request.
// Requests that run there go on.
type DomainsEvacuated struct{ Domains []string }

func (DomainsEvacuated) event() {}

// Evacuated is the reason of a rejection if all endpoints that could run the request lie
// in evacuated failure domains. Nobody knows when an evacuation ends, so that the request
// isn't queued.
const Evacuated Reason = "evacuated"

// Evacuated reports whether a failure domain is evacuated.
func (s *State) Evacuated(domain string) bool { return slices.Contains(s.evacuated, domain) }

// evacuate applies DomainsEvacuated.
func (s *State) evacuate(ev DomainsEvacuated) {
	s.evacuated = slices.Clone(ev.Domains)
	for _, e := range s.endpoints {
		s.applyEvacuation(e)
	}
	for _, v := range s.services {
		s.rejectEvacuated(v)
		s.placeWaiting(v, maxPlacements)
	}
}

// applyEvacuation records whether e lies in an evacuated failure domain. If so, its past
// results count no more for the health of its service, and the daemons share the limits
// and slots of the other endpoints only.
func (s *State) applyEvacuation(e *endpoint) {
	evacuated := s.Evacuated(e.Zone)
	if e.evacuated == evacuated {
		return
	}
	e.evacuated = evacuated
	s.forgetOutcomes(e)
	if !evacuated {
		// It may have turned cold shortly before, of which the news may still be on its way.
		s.presumeCold(e, s.now.Add(e.cold.limit.Duration))
	}
	if e.hasShares() {
		// Its former shares may belong to others by now.
		e.bucket, e.slotUse.share = brlimit.Bucket{}, 0
		s.service(e.Service).sharesStale = true
	}
}

// closed reports whether e is to get no new request, by its own word or an operator's.
func (e *endpoint) closed() bool { return e.Leaving || e.evacuated }

// onlyEvacuated reports whether r could run at an endpoint in an evacuated failure domain,
// and at no other one.
func (s *State) onlyEvacuated(v *service, r *Request) bool {
	return !s.hasCandidate(v, r) &&
		slices.ContainsFunc(v.endpoints, func(e *endpoint) bool { return e.evacuated && !e.Leaving && eligible(e, r) })
}

// rejectEvacuated rejects the waiting requests that only evacuated endpoints could run:
// after an order, and after the other endpoints have gone.
func (s *State) rejectEvacuated(v *service) {
	if len(s.evacuated) == 0 {
		return
	}
	v.queue = slices.DeleteFunc(v.queue, func(r *Request) bool {
		if !s.onlyEvacuated(v, r) {
			return false
		}
		s.reject(r, Evacuated, s.retryDelay())
		return true
	})
}
