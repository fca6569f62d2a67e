package brtunnel

import (
	"cmp"
	"time"
)

// idleChecks is the number of checks for idle tunnels in an idle timeout, which lasts
// up to one interval longer than set.
const idleChecks = 35

func (s *Server) idleTimeout() time.Duration { return cmp.Or(s.IdleTimeout, defaultIdleTimeout) }

// runIdle periodically ends the tunnels whose idle timeout has passed.
func (s *Server) runIdle() {
	timeout := s.idleTimeout()
	since := map[*tunnel]time.Time{} // when a tunnel was last seen active
	for {
		select {
		case <-s.closeCtx.Done():
			return
		case <-s.clock().After(timeout / idleChecks):
		}
		since = s.checkIdle(since, timeout)
	}
}

// checkIdle ends the tunnels that have been inactive for timeout. It returns when the
// others were last seen active.
func (s *Server) checkIdle(since map[*tunnel]time.Time, timeout time.Duration) map[*tunnel]time.Time {
	now := s.clock().Now()
	next := make(map[*tunnel]time.Time, len(since))
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		last, known := since[t]
		if t.active.Swap(false) || !known {
			last = now
		}
		next[t] = last
		if now.Sub(last) >= timeout {
			t.expire()
		}
	}
	return next
}
