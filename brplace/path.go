package brplace

import (
	"slices"
	"time"
)

// losePath applies PathLost. What this daemon has seen of the endpoints lately may be the
// fault of its path: suspensions end, outcomes are forgotten, and the running requests say
// nothing about their endpoints if they fail.
func (s *State) losePath() {
	for _, e := range s.endpoints {
		s.forgetOutcomes(e)
		if s.now.Before(e.suspendedUntil) {
			e.suspendedUntil, e.lastSuspension = s.now, 0
		}
		e.cold.presumedAt = time.Time{}
	}
	for _, f := range s.inflight {
		f.pathLost = true
	}
	for _, v := range s.services {
		s.placeWaiting(v, maxPlacements)
	}
}

// setPeerPartitioned applies PeerPartitioned.
func (s *State) setPeerPartitioned(ev PeerPartitioned) {
	if ev.Partitioned {
		s.partitionedPeers[ev.Daemon] = true
	} else {
		delete(s.partitionedPeers, ev.Daemon)
	}
}

// Unanswered returns the addresses of the endpoints that have requests of this daemon
// without a first byte that are older than age, each once.
func (s *State) Unanswered(now time.Time, age time.Duration) []string {
	var addresses []string
	for _, f := range s.inflight {
		a := f.endpoint.Address
		if !f.gotFirstByte && !f.pathLost && now.Sub(f.dispatchedAt) > age && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// attributed returns the result of f with regard to the health of its endpoint, given that
// of its connection.
func (f *inflightRequest) attributed(r Result) Result {
	if f.pathLost && (r == Failed || r == WrongAddress) {
		return Inconclusive
	}
	return r
}
