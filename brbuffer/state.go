package brbuffer

import "time"

const (
	// stallTime is the time without a byte after which a holder makes no progress. Pauses on
	// the way from a sound caller are shorter.
	stallTime = 500 * time.Millisecond
	// slowTime is the time after which a holder that isn't complete is slow: a byte now and
	// then is no reason to keep its memory while others wait.
	slowTime = 2 * time.Second
	// smallBytes is the size of usual requests, to which 1/smallPart of the limit is
	// reserved, so that they are served beside large ones.
	smallBytes = 16 << 10
	smallPart  = 8
)

// Verdict is the decision on a reservation.
type Verdict int

const (
	Granted Verdict = iota // reserved
	Pending                // to be tried again when an evicted holder has released its memory
	Refused                // there is no room, and no other holder gives way
	Gone                   // the holder itself was evicted
)

// holding is what one holder has reserved.
type holding struct {
	bytes    int
	since    time.Time // first reservation
	progress time.Time // latest reservation or byte
	complete bool      // the request has arrived completely
	evicted  bool
}

// ID identifies a holder.
type ID uint64

// State is the memory that all holders have reserved. It does no I/O, and isn't safe for
// concurrent use.
type State struct {
	limit   int // in bytes
	used    int
	ending  int // part of used that evicted holders have yet to release
	holders map[ID]*holding
}

// NewState returns a State without holders. The limit is in bytes.
func NewState(limit int) *State { return &State{limit: limit, holders: map[ID]*holding{}} }

// Used returns the number of reserved bytes.
func (s *State) Used() int { return s.used }

// Reserve reserves n bytes more for a holder and returns the holders that are evicted for it,
// which must release their memory soon.
func (s *State) Reserve(now time.Time, id ID, n int) (v Verdict, evicted []ID) {
	h := s.holders[id]
	if h == nil {
		h = &holding{since: now}
		s.holders[id] = h
	}
	if h.evicted {
		return Gone, nil
	}
	limit := s.limit
	if h.bytes+n > smallBytes {
		limit -= limit / smallPart
	}
	for s.used-s.ending+n > limit {
		victim, ok := s.victim(now, id)
		if !ok {
			return Refused, evicted
		}
		s.evict(victim)
		evicted = append(evicted, victim)
	}
	if s.used+n > limit {
		return Pending, evicted
	}
	h.bytes += n
	h.progress = now
	s.used += n
	return Granted, evicted
}

// victim returns the holder that gives way to a reservation of the holder id, and false if
// none does.
func (s *State) victim(now time.Time, id ID) (ID, bool) {
	var stalled, slow ID
	var stalledBytes, slowBytes int
	for other, h := range s.holders {
		if h.complete || h.evicted {
			continue
		}
		if other != id && now.Sub(h.progress) >= stallTime && h.bytes > stalledBytes {
			stalled, stalledBytes = other, h.bytes
		}
		if now.Sub(h.since) >= slowTime && h.bytes > slowBytes {
			slow, slowBytes = other, h.bytes
		}
	}
	switch {
	case stalledBytes > 0:
		return stalled, true
	case slowBytes > 0:
		return slow, slow != id
	default:
		return 0, false
	}
}

func (s *State) evict(id ID) {
	h := s.holders[id]
	h.evicted = true
	s.ending += h.bytes
}

// Progress records that bytes of a holder have arrived.
func (s *State) Progress(now time.Time, id ID) {
	if h := s.holders[id]; h != nil {
		h.progress = now
	}
}

// Complete records that a request has arrived completely. It returns false if its holder was
// evicted before.
func (s *State) Complete(id ID) bool {
	h := s.holders[id]
	if h == nil {
		return true
	}
	h.complete = !h.evicted
	return h.complete
}

// Release removes a holder with all that it has reserved.
func (s *State) Release(id ID) {
	h := s.holders[id]
	if h == nil {
		return
	}
	delete(s.holders, id)
	s.used -= h.bytes
	if h.evicted {
		s.ending -= h.bytes
	}
}
