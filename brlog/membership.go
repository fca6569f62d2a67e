package brlog

// findMembership sets the membership from the newest entry that changes it,
// committed or not, or from the snapshot.
func (s *State) findMembership() {
	s.membership, s.memberAt = s.membershipAt(s.log.last())
}

// membershipAt returns the membership that entry i leaves and the index of the
// entry that set it.
func (s *State) membershipAt(i uint64) (Membership, uint64) {
	for ; i > s.log.base && i > s.snapshot.Index; i-- {
		if e := s.log.entries[i-s.log.base-1]; e.Kind == EntryMembership {
			return decodeMembership(e), i
		}
	}
	return s.snapshot.Membership, s.snapshot.Index
}

// changeMember appends one membership change. The change before it must be
// committed, and so must an entry of the own term (Ongaro, "bug in
// single-server membership changes", raft-dev, 10 July 2015).
func (s *State) changeMember(e ChangeMember) {
	if s.role != leader {
		s.refuse(NotLeader)
		return
	}
	if !s.canChange() {
		s.refuse(Busy)
		return
	}
	if e.Add.ID != "" {
		s.addLearner(e.Add)
		return
	}
	s.removeMember(e.Remove)
}

func (s *State) canChange() bool {
	return s.transfer == "" && s.memberAt <= s.commit && s.termStart <= s.commit
}

func (s *State) addLearner(m Member) {
	if s.membership.IsRemoved(m.ID) || m.Replaces == m.ID {
		s.refuse(Invalid)
		return
	}
	if _, ok := s.membership.Find(m.ID); ok {
		s.refuse(AlreadyThere)
		return
	}
	m.Learner = true
	s.appendMembership(s.membership.With(m))
	s.accept(1)
}

func (s *State) removeMember(id ID) {
	m, ok := s.membership.Find(id)
	if !ok {
		s.refuse(AlreadyThere)
		return
	}
	next := s.membership.Without(id)
	switch {
	case next.Voters() == 0:
		s.refuse(Invalid)
	case !m.Learner && !s.quorumHeard(next, s.cfg.Election):
		s.refuse(NoMajority)
	default:
		s.appendMembership(next)
		s.accept(1)
	}
}

// promoteLearner gives a learner that has caught up its vote. The replica that
// it replaces is removed first, so that a repair doesn't raise the majority.
func (s *State) promoteLearner() {
	if s.role != leader || !s.canChange() {
		return
	}
	for _, m := range s.membership.Members {
		p := s.progress[m.ID]
		if !m.Learner || p == nil || p.probing || p.match < s.commit || s.now-p.heard > s.cfg.Election {
			continue
		}
		next := s.membership
		if _, ok := next.Find(m.Replaces); ok && m.Replaces != s.id {
			next = next.Without(m.Replaces)
		} else {
			m.Learner, m.Replaces = false, ""
			next = next.With(m)
		}
		if s.quorumHeard(next, s.cfg.Election) {
			s.appendMembership(next)
			return
		}
	}
}

func (s *State) appendMembership(m Membership) {
	s.appendOwn([]Entry{{Kind: EntryMembership, Data: encodeMembership(m)}})
}
