package brlog

import "fmt"

// receiving is a snapshot that arrives in chunks.
type receiving struct {
	snapshot Snapshot
	total    uint64
	saving   bool
}

func (s *State) onHeartbeat(m Message) {
	if m.Confirmed && m.Session == s.session {
		s.contact = true
		if at := durationOf(m.PeerTime); at >= s.contactAt {
			s.contactAt = at
			s.contactCommit = max(s.contactCommit, m.Commit)
		}
	}
	// A restart forgets what this replica told the leader to match.
	s.verified = max(s.verified, min(m.Index, s.log.last()))
	s.advanceCommit(m.Commit)
	s.send(Message{
		Kind: MessageHeartbeatReply, To: m.From, Term: s.hard.Term, Index: s.log.last(),
		LeaderTime: m.LeaderTime, PeerTime: int64(s.now), Session: s.session,
	})
}

func (s *State) onAppend(m Message) {
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if prev <= s.commit { // committed entries match the leader's
		skip := min(s.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev = s.commit
		prevTerm, _ = s.log.term(prev)
	}
	if t, ok := s.log.term(prev); !ok || t != prevTerm {
		s.send(Message{
			Kind: MessageAppendReply, To: m.From, Term: s.hard.Term,
			Reject: true, Index: s.retryAt(prev), LeaderTime: m.LeaderTime,
		})
		return
	}
	match := prev + uint64(len(entries))
	s.store(entries)
	s.verified = max(s.verified, match)
	s.advanceCommit(m.Commit)
	s.sendDurable(Message{Kind: MessageAppendReply, To: m.From, Term: s.hard.Term, Index: match})
}

// retryAt returns the entry before prev that may match the leader's log: the
// end of the own log, or the entry before the term that doesn't match.
func (s *State) retryAt(prev uint64) uint64 {
	if prev > s.log.last() {
		return s.log.last()
	}
	bad, _ := s.log.term(prev)
	for prev > s.commit {
		if t, ok := s.log.term(prev); !ok || t != bad {
			break
		}
		prev--
	}
	return prev
}

// store adds the leader's entries, replacing those that conflict.
func (s *State) store(entries []Entry) {
	for i, e := range entries {
		t, ok := s.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if e.Index <= s.commit {
			panic(fmt.Sprintf("brlog: committed entry %d conflicts with the leader's", e.Index))
		}
		s.log.put(entries[i:])
		s.appended(e.Index)
		s.findMembership()
		return
	}
}

// advanceCommit commits up to i as far as the own log is known to match.
func (s *State) advanceCommit(i uint64) { s.commit = max(s.commit, min(i, s.verified)) }

func (s *State) onSnapshotChunk(m Message) {
	if m.Index <= s.commit {
		s.sendDurable(Message{Kind: MessageAppendReply, To: m.From, Term: s.hard.Term, Index: s.commit})
		return
	}
	c, r := m.Chunk, s.receiving
	if r == nil || r.snapshot.Index != m.Index || r.snapshot.Term != m.LogTerm || r.total != c.Total {
		if r != nil && r.saving {
			return
		}
		r = &receiving{
			snapshot: Snapshot{Index: m.Index, Term: m.LogTerm, Membership: c.Membership},
			total:    c.Total,
		}
		s.receiving = r
	}
	if c.Offset == uint64(len(r.snapshot.Data)) && !r.saving {
		r.snapshot.Data = append(r.snapshot.Data, c.Data...)
		if uint64(len(r.snapshot.Data)) == r.total {
			r.saving = true
			s.emit(SaveSnapshot{Snapshot: r.snapshot})
		}
	}
	s.send(Message{
		Kind: MessageSnapshotReply, To: m.From, Term: s.hard.Term, Index: m.Index,
		Chunk: &Chunk{Offset: uint64(len(r.snapshot.Data)), Total: r.total},
	})
}

func (s *State) onSnapshotSaved(n Snapshot) {
	if s.receiving != nil && s.receiving.saving && s.receiving.snapshot.Index == n.Index {
		s.receiving = nil
	} else {
		s.takingSnapshot = false
	}
	if n.Index <= s.snapshot.Index {
		return
	}
	s.snapshot = n
	if n.Index > s.applied {
		s.install(n)
	}
	if to := s.log.tail(n.Index, s.cfg.Trailing, trailingBytes); to > s.log.base {
		s.log.compact(to)
		s.emit(Compact{Index: to})
	}
}

// install makes a received snapshot the state of this replica.
func (s *State) install(n Snapshot) {
	if t, ok := s.log.term(n.Index); !ok || t != n.Term {
		s.log.reset(n.Index, n.Term)
		s.disk.forgetPending()
		s.disk.reset = n.Index
		s.synced = n.Index
	}
	s.synced = max(s.synced, n.Index)
	s.commit = max(s.commit, n.Index)
	s.verified = max(s.verified, s.commit)
	s.applied = n.Index
	s.findMembership()
	s.emit(Restore{Snapshot: n})
	if s.leader != "" && s.role == follower {
		s.sendDurable(Message{Kind: MessageAppendReply, To: s.leader, Term: s.hard.Term, Index: n.Index})
	}
}
