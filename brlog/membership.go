package brlog

// updateMembership sets the membership from the latest membership entry, whether
// committed or not, or from the snapshot if the log has none.
func (s *State) updateMembership() {
	s.membership, s.membershipIndex = s.membershipAt(s.log.last())
}

// membershipAt returns the membership in effect after entry i and the index of the
// entry or snapshot that set it.
func (s *State) membershipAt(i uint64) (Membership, uint64) {
	for ; i > s.log.base && i > s.snapshot.Index; i-- {
		if e := s.log.entries[i-s.log.base-1]; e.Kind == EntryMembership {
			return decodeMembership(e), i
		}
	}
	return s.snapshot.Membership, s.snapshot.Index
}

// changeMember appends one membership change. The previous change and an entry of
// the current term must be committed first (Ongaro, "bug in single-server
// membership changes", raft-dev, 10 July 2015).
func (s *State) changeMember(e ChangeMember) {
	if s.role != leader {
		s.emitRefused(NotLeader)
		return
	}
	if !s.canChangeMembership() {
		s.emitRefused(Busy)
		return
	}
	if e.Add.ID != "" {
		s.addLearner(e.Add)
		return
	}
	s.removeMember(e.Remove)
}

func (s *State) canChangeMembership() bool {
	return s.transferTarget == "" && s.membershipIndex <= s.commit && s.termStart <= s.commit
}

func (s *State) addLearner(m Member) {
	if s.membership.IsRemoved(m.ID) || m.Replaces == m.ID {
		s.emitRefused(Invalid)
		return
	}
	if _, ok := s.membership.Find(m.ID); ok {
		s.emitRefused(ChangeAlreadyMade)
		return
	}
	m.Learner = true
	s.appendMembership(s.withLearner(m))
	s.emitAccepted(1)
}

// withLearner returns the membership with the learner m. If the disk at its address was
// lost again before an earlier learner became a voter, m takes the place of that one
// too; it can't vote, so both changes are made at once.
func (s *State) withLearner(m Member) Membership {
	next := s.membership
	for _, x := range s.membership.Members {
		switch {
		case x.Address != m.Address || m.Address == "" || x.ID == s.id:
		case x.Learner:
			next = next.Without(x.ID)
		default:
			m.Replaces = x.ID
		}
	}
	return next.With(m)
}

func (s *State) removeMember(id ID) {
	m, ok := s.membership.Find(id)
	if !ok {
		s.emitRefused(ChangeAlreadyMade)
		return
	}
	next := s.membership.Without(id)
	switch {
	case next.Voters() == 0:
		s.emitRefused(Invalid)
	case !m.Learner && !s.quorumActive(next, s.cfg.ElectionTimeout):
		s.emitRefused(NoMajority)
	default:
		s.appendMembership(next)
		s.emitAccepted(1)
	}
}

// promoteLearner promotes a learner that has caught up to a voter. The member that
// it replaces is removed first, so that the replacement does not increase the
// quorum size.
func (s *State) promoteLearner() {
	if s.role != leader || !s.canChangeMembership() {
		return
	}
	for _, m := range s.membership.Members {
		p := s.progress[m.ID]
		if !m.Learner || p == nil || p.probing || p.match < s.commit || s.now-p.lastReplyAt > s.cfg.ElectionTimeout {
			continue
		}
		next := s.membership
		if _, ok := next.Find(m.Replaces); ok && m.Replaces != s.id {
			next = next.Without(m.Replaces)
		} else {
			m.Learner, m.Replaces = false, ""
			next = next.With(m)
		}
		if s.quorumActive(next, s.cfg.ElectionTimeout) {
			s.appendMembership(next)
			return
		}
	}
}

func (s *State) appendMembership(m Membership) {
	s.appendEntries([]Entry{{Kind: EntryMembership, Data: encodeMembership(m)}})
}
