package brplace

// losePath applies PathLost. What this daemon has seen of the endpoints lately may be the
// fault of its path: suspensions end, outcomes are forgotten, and the running requests say
// nothing about their endpoints if they fail.
func (s *State) losePath() {
	for _, e := range s.endpoints {
		s.forgetOutcomes(e)
		if s.now.Before(e.suspendedUntil) {
			e.suspendedUntil, e.lastSuspension = s.now, 0
		}
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

// attributed returns the result of f with regard to the health of its endpoint, given that
// of its connection.
func (f *inflightRequest) attributed(r Result) Result {
	if f.pathLost && (r == Failed || r == WrongAddress) {
		return Inconclusive
	}
	return r
}
