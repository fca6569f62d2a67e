package brplace

import "bramleyroute/brmemory"

// tightFraction is the part of the memory of the endpoints of a service above which each
// daemon sends requests only where it has a part of the memory, and within it. Otherwise the
// daemons would all send what waits to the few endpoints with room, before they know of each
// other's requests.
const tightFraction = 0.4

// memoryUse is what the fleet has outstanding at an endpoint, in tokens.
type memoryUse struct {
	own    int                      // prompts and expected output of this daemon's requests
	others int                      // prompts of the others, the sum over peers
	peers  map[string]brmemory.Held // by daemon
}

// serviceMemory is what a daemon knows of the use of the memory of a service.
type serviceMemory struct {
	sizes brmemory.Sizes     // of this daemon's requests
	parts map[string]float64 // see brmemory.Parts; nil while enough memory is free
}

// MemoryLimitsChanged replaces the memory of an endpoint in tokens, by service. Endpoints of
// the other services have no limit.
type MemoryLimitsChanged struct{ Tokens map[string]int }

func (MemoryLimitsChanged) event() {}

// TooLarge is the reason for a rejection if the request alone exceeds the memory of an endpoint.
const TooLarge Reason = "too_large"

// tokens returns the memory that r occupies at the end of its response.
func (r *Request) tokens() int { return r.PromptTokens + r.OutputTokens }

// tooLarge reports whether no endpoint of its service has the memory for r.
func (s *State) tooLarge(r *Request) bool {
	capacity := s.memoryLimits[r.Service]
	return capacity > 0 && r.tokens() > capacity
}

// hasMemory reports whether e has the memory for r besides what the fleet has outstanding
// there.
func (s *State) hasMemory(v *service, e *endpoint, r *Request) bool {
	capacity := s.memoryLimits[r.Service]
	if capacity == 0 {
		return true
	}
	return s.withinPart(v, e, r, capacity) && brmemory.Fits(capacity, e.heldTokens(v), s.memoryMargin(v, capacity), r.tokens())
}

// withinPart reports whether r stays within this daemon's part of the memory of e, if parts
// are in force. A daemon without requests there may send one of any size. One whose parts are
// all at endpoints that r can't use isn't bound by them.
func (s *State) withinPart(v *service, e *endpoint, r *Request, capacity int) bool {
	if part := v.memory.parts[e.ID]; part > 0 {
		return e.memory.own == 0 || e.memory.own+r.tokens() <= int(part*float64(capacity))
	}
	for id := range v.memory.parts {
		if own := s.endpoints[id]; own != nil && !own.closed() && eligible(own, r) {
			return false
		}
	}
	return true
}

// memoryMargin returns the tokens to leave for requests of other daemons that aren't reported
// yet.
func (s *State) memoryMargin(v *service, capacity int) int {
	if len(s.peers) == 0 && len(s.daemons) < 2 {
		return 0
	}
	return v.memory.sizes.Margin(s.now, capacity)
}

// heldTokens returns the tokens that the fleet has outstanding at e.
func (e *endpoint) heldTokens(v *service) int {
	return e.memory.own + e.memory.others + e.others.active*v.memory.sizes.MeanOutput()
}

// updateMemory decides whether the parts of the memory of the endpoints of v are in force.
func (s *State) updateMemory(v *service) {
	held, total := 0, 0
	for _, e := range v.endpoints {
		held += e.heldTokens(v)
		total += s.memoryLimits[e.Service]
	}
	if total == 0 || float64(held) <= tightFraction*float64(total) {
		v.memory.parts = nil
		return
	}
	if v.memory.parts == nil {
		v.memory.parts = s.memoryParts(v)
	}
}

func (s *State) memoryParts(v *service) map[string]float64 {
	ids := make([]string, len(v.endpoints))
	for i, e := range v.endpoints {
		ids[i] = e.ID
	}
	return brmemory.Parts(ids, s.daemons, s.cfg.Daemon)
}

// recordHeld updates what another daemon has outstanding at e by its usage in a report.
func (s *State) recordHeld(e *endpoint, daemon string, u Usage) {
	if s.memoryLimits[e.Service] == 0 {
		return
	}
	m := &e.memory
	old := m.peers[daemon]
	held := old.After(u.Active, u.PendingPromptTokens, u.Ended, s.service(e.Service).memory.sizes.MeanPrompt())
	m.others += held.Prompt() - old.Prompt()
	if m.peers == nil {
		m.peers = map[string]brmemory.Held{}
	}
	m.peers[daemon] = held
}

// forgetHeld removes what another daemon had outstanding at the endpoint.
func (m *memoryUse) forgetHeld(daemon string) {
	m.others -= m.peers[daemon].Prompt()
	delete(m.peers, daemon)
}

// setMemoryLimits applies MemoryLimitsChanged. What the others hold is known again from their
// next reports.
func (s *State) setMemoryLimits(tokens map[string]int) {
	s.memoryLimits = tokens
	for _, e := range s.endpoints {
		if tokens[e.Service] == 0 {
			e.memory.others, e.memory.peers = 0, nil
		}
	}
	for _, v := range s.services {
		v.memory.parts = nil
	}
}

// MemoryInUse returns the largest part of the memory of an endpoint that is outstanding there,
// as far as known; 0 if no service has a limit.
func (s *State) MemoryInUse() float64 {
	part := 0.0
	for _, e := range s.endpoints {
		if capacity := s.memoryLimits[e.Service]; capacity > 0 {
			part = max(part, float64(e.heldTokens(s.service(e.Service)))/float64(capacity))
		}
	}
	return part
}
