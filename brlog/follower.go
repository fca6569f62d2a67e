package brlog

import "fmt"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	snapshot Snapshot
	total    uint64
	saving   bool
}

func (s *State) onHeartbeat(m Message) {
	if m.Confirmed && m.Session == s.session {
		s.confirmed = true
		if at := durationOf(m.PeerTime); at >= s.confirmedAt {
			s.confirmedAt = at
			s.confirmedCommit = max(s.confirmedCommit, m.Commit)
		}
	}
	// matchIndex is not persisted. After a restart it is restored from the
	// heartbeats of the leader.
	s.matchIndex = max(s.matchIndex, min(m.Index, s.log.last()))
	s.advanceCommit(m.Commit)
	s.send(Message{
		Kind: MessageHeartbeatReply, To: m.From, Term: s.hardState.Term, Index: s.log.last(),
		LeaderTime: m.LeaderTime, PeerTime: int64(s.now), Session: s.session,
	})
}

func (s *State) onAppend(m Message) {
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if prev <= s.commit { // committed entries match those of the leader
		skip := min(s.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev = s.commit
		prevTerm, _ = s.log.term(prev)
	}
	if t, ok := s.log.term(prev); !ok || t != prevTerm {
		s.send(Message{
			Kind: MessageAppendReply, To: m.From, Term: s.hardState.Term,
			Reject: true, Index: s.matchHint(prev), LeaderTime: m.LeaderTime,
		})
		return
	}
	match := prev + uint64(len(entries))
	s.storeEntries(entries)
	s.matchIndex = max(s.matchIndex, match)
	s.advanceCommit(m.Commit)
	s.sendDurable(Message{Kind: MessageAppendReply, To: m.From, Term: s.hardState.Term, Index: match})
}

// matchHint returns the index of the latest entry up to prev that may match the
// leader's log: the last entry of this log, or the last entry before the
// conflicting term.
func (s *State) matchHint(prev uint64) uint64 {
	if prev > s.log.last() {
		return s.log.last()
	}
	conflictTerm, _ := s.log.term(prev)
	for prev > s.commit {
		if t, ok := s.log.term(prev); !ok || t != conflictTerm {
			break
		}
		prev--
	}
	return prev
}

// storeEntries appends the leader's entries, replacing conflicting entries.
func (s *State) storeEntries(entries []Entry) {
	for i, e := range entries {
		t, ok := s.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if e.Index <= s.commit {
			panic(fmt.Sprintf("brlog: committed entry %d conflicts with the leader's log", e.Index))
		}
		s.log.truncateAndAppend(entries[i:])
		s.markEntriesDirty(e.Index)
		s.updateMembership()
		return
	}
}

// advanceCommit advances the commit index to i, limited to the entries known to
// match the leader's log.
func (s *State) advanceCommit(i uint64) { s.commit = max(s.commit, min(i, s.matchIndex)) }

func (s *State) onSnapshotChunk(m Message) {
	if m.Index <= s.commit {
		s.sendDurable(Message{Kind: MessageAppendReply, To: m.From, Term: s.hardState.Term, Index: s.commit})
		return
	}
	c, r := m.Chunk, s.incoming
	if r == nil || r.snapshot.Index != m.Index || r.snapshot.Term != m.LogTerm || r.total != c.Total {
		if r != nil && r.saving {
			return
		}
		r = &incomingSnapshot{
			snapshot: Snapshot{Index: m.Index, Term: m.LogTerm, Membership: c.Membership},
			total:    c.Total,
		}
		s.incoming = r
	}
	if c.Offset == uint64(len(r.snapshot.Data)) && !r.saving {
		r.snapshot.Data = append(r.snapshot.Data, c.Data...)
		if uint64(len(r.snapshot.Data)) == r.total {
			r.saving = true
			s.emit(SaveSnapshot{Snapshot: r.snapshot})
		}
	}
	s.send(Message{
		Kind: MessageSnapshotReply, To: m.From, Term: s.hardState.Term, Index: m.Index,
		Chunk: &Chunk{Offset: uint64(len(r.snapshot.Data)), Total: r.total},
	})
}

func (s *State) onSnapshotSaved(n Snapshot) {
	if s.incoming != nil && s.incoming.saving && s.incoming.snapshot.Index == n.Index {
		s.incoming = nil
	} else {
		s.takingSnapshot = false
	}
	if n.Index <= s.snapshot.Index {
		return
	}
	s.snapshot = n
	if n.Index > s.applied {
		s.installSnapshot(n)
	}
	if to := s.log.compactionIndex(n.Index, s.cfg.TrailingEntries, trailingBytes); to > s.log.base {
		s.log.compact(to)
		s.emit(Compact{Index: to})
	}
}

// installSnapshot replaces the state of this replica by a received snapshot.
func (s *State) installSnapshot(n Snapshot) {
	if t, ok := s.log.term(n.Index); !ok || t != n.Term {
		s.log.reset(n.Index, n.Term)
		s.disk.clearPendingEntries()
		s.disk.reset = n.Index
		s.synced = n.Index
	}
	s.synced = max(s.synced, n.Index)
	s.commit = max(s.commit, n.Index)
	s.matchIndex = max(s.matchIndex, s.commit)
	s.applied = n.Index
	s.updateMembership()
	s.emit(Restore{Snapshot: n})
	if s.leader != "" && s.role == follower {
		s.sendDurable(Message{Kind: MessageAppendReply, To: s.leader, Term: s.hardState.Term, Index: n.Index})
	}
}
