package brserver

import "time"

const (
	// requestDelay is the time in which the first byte of a request follows a new connection.
	requestDelay = closeDelay
	// roomTime limits the wait of a new connection for the place of another one.
	roomTime = 100 * time.Millisecond
	// maxRoomLines is the number of lines on places that are logged in roomLogPeriod.
	maxRoomLines  = 5
	roomLogPeriod = time.Second
)

// Stats are the totals of a Server.
type Stats struct {
	Open    int    // connections
	Pressed uint64 // connections that gave way to new ones
	Refused uint64 // new connections that were closed, as no other one gave way
}

// Stats returns the current totals.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Open = len(s.conns)
	return stats
}

// occupant is what giveWay knows about a connection.
type occupant struct {
	phase    Phase
	since    time.Time // start of the phase
	requests int       // number of requests served
	pressed  bool      // gives way already
}

// givesWayBefore reports whether o gives way to a new connection rather than p. Those on which
// no request was ever complete go first: an open connection costs a caller that sends nothing
// no effort. Among equals it is the one that has been silent for longer.
func (o occupant) givesWayBefore(p occupant) bool {
	if (o.requests == 0) != (p.requests == 0) {
		return o.requests == 0
	}
	return o.since.Before(p.since)
}

// mayGiveWay reports whether o may give way: no request is in progress or about to arrive.
func (o occupant) mayGiveWay(now time.Time) bool {
	return o.phase != InProgress && !o.pressed && now.Sub(o.since) >= requestDelay
}

// giveWay returns the index of the connection that gives way to a new one, or -1.
func giveWay(now time.Time, list []occupant) int {
	found := -1
	for i, o := range list {
		if o.mayGiveWay(now) && (found < 0 || o.givesWayBefore(list[found])) {
			found = i
		}
	}
	return found
}

func (c *conn) occupant() occupant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return occupant{phase: c.state.Phase(), since: c.state.since, requests: c.requests, pressed: c.state.Pressed()}
}

// admit registers a new connection. If all places are taken it makes another one give way,
// and returns false if none does in time.
func (s *Server) admit(c *conn) bool {
	var late <-chan time.Time
	for {
		added, changed := s.add(c)
		switch {
		case added:
			return true
		case late == nil && !s.press():
			s.countRefusal()
			return false
		case late == nil:
			late = s.cfg.Clock.After(roomTime)
		}
		select {
		case <-changed:
		case <-late:
			s.countRefusal()
			return false
		}
	}
}

// add registers a new connection if there is a place. Otherwise it returns a channel that is
// closed when one may be free.
func (s *Server) add(c *conn) (added bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns {
		return false, s.changed
	}
	s.conns[c] = struct{}{}
	if s.closing {
		c.requestClose()
	}
	return true, nil
}

func (s *Server) countRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Refused++
	s.logRoom("connection refused, as no other one gives way")
}

// logRoom logs a decision on places. It is called with s.mu held.
func (s *Server) logRoom(message string) {
	s.roomLog.Warn().Int("open", len(s.conns)).Int("limit", s.cfg.MaxConns).Uint64("gave_way", s.stats.Pressed).
		Uint64("refused", s.stats.Refused).Msg(message)
}

// press makes a connection give way and reports whether there is one.
func (s *Server) press() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	list := make([]occupant, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
		list = append(list, c.occupant())
	}
	i := giveWay(s.cfg.Clock.Now(), list)
	if i < 0 {
		return false
	}
	s.stats.Pressed++
	s.logRoom("connection gives way to a new one")
	conns[i].press()
	return true
}
