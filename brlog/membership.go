package brlog

import "time"

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

// balanceVoters makes one membership change towards Config.MaxVoters: it promotes a learner
// that has caught up while there are fewer voters, or makes a surplus voter a learner.
func (s *State) balanceVoters() {
	if s.role != leader || !s.canChangeMembership() {
		return
	}
	for _, m := range s.membership.Members {
		if !s.canTakeVote(m) {
			continue
		}
		next := s.membership
		if _, ok := next.Find(m.Replaces); ok && m.Replaces != s.id {
			// The replaced member is removed first, so that the replacement doesn't
			// increase the quorum size.
			next = next.Without(m.Replaces)
		} else if s.needsVoter() {
			next = next.With(m.voter())
		} else {
			continue
		}
		if s.quorumActive(next, s.cfg.ElectionTimeout) {
			s.appendMembership(next)
			return
		}
	}
	if m, ok := s.surplusVoter(); ok {
		if next := s.membership.With(m.learner()); s.quorumActive(next, s.cfg.ElectionTimeout) {
			s.appendMembership(next)
		}
	}
}

// canTakeVote reports whether m is a learner that is active, has all committed entries and
// isn't about to stop.
func (s *State) canTakeVote(m Member) bool {
	p := s.progress[m.ID]
	return m.Learner && p != nil && !s.yielding(m.ID) && !p.probing && p.match >= s.commit && s.active(m.ID, s.cfg.ElectionTimeout)
}

// active reports whether id replied within the last d. This replica is always active.
func (s *State) active(id ID, d time.Duration) bool {
	p := s.progress[id]
	return id == s.id || p != nil && s.now-p.lastReplyAt < d
}

// needsVoter reports whether a learner should become a voter. Voters that are silent for
// Config.VoterTimeout or yield their vote don't count.
func (s *State) needsVoter() bool {
	if s.cfg.MaxVoters == 0 {
		return true
	}
	n := 0
	for _, m := range s.membership.Members {
		if !m.Learner && s.active(m.ID, s.cfg.VoterTimeout) && !s.yielding(m.ID) {
			n++
		}
	}
	return n < s.cfg.MaxVoters
}

// yielding reports whether id has asked within Config.VoterTimeout to become a learner.
func (s *State) yielding(id ID) bool {
	p := s.progress[id]
	return p != nil && s.now < p.yieldingUntil
}

// surplusVoter returns a voter beyond Config.MaxVoters, preferably one that yields its vote or
// is silent for Config.VoterTimeout. It returns no other one while a voter is silent for a
// shorter time, since that one may be lost.
func (s *State) surplusVoter() (surplus Member, ok bool) {
	if s.cfg.MaxVoters == 0 || s.membership.Voters() <= s.cfg.MaxVoters {
		return Member{}, false
	}
	silent := false
	for _, m := range s.membership.Members {
		switch {
		case m.Learner || m.ID == s.id:
		case s.yielding(m.ID) || !s.active(m.ID, s.cfg.VoterTimeout):
			return m, true
		case !s.active(m.ID, s.cfg.ElectionTimeout):
			silent = true
		default:
			surplus = m
		}
	}
	return surplus, !silent && surplus.ID != ""
}

// yieldVote records that id yields its vote, for balanceVoters. For a learner this prevents
// that it gets a vote again.
func (s *State) yieldVote(id ID) {
	if s.role != leader {
		s.emitRefused(NotLeader)
		return
	}
	p := s.progress[id]
	switch {
	case !s.membership.IsVoter(id):
		if p != nil {
			p.yieldingUntil = s.now + s.cfg.VoterTimeout
		}
		s.emitRefused(ChangeAlreadyMade)
	case p == nil || s.cfg.MaxVoters == 0 || s.membership.Voters() <= s.cfg.MaxVoters && !s.hasActiveLearner():
		s.emitRefused(Invalid)
	default:
		p.yieldingUntil = s.now + s.cfg.VoterTimeout
		s.emitRefused(Busy)
	}
}

// hasActiveLearner reports whether a learner that isn't about to stop replies. It may not have
// caught up yet.
func (s *State) hasActiveLearner() bool {
	for _, m := range s.membership.Members {
		if m.Learner && !s.yielding(m.ID) && s.active(m.ID, s.cfg.ElectionTimeout) {
			return true
		}
	}
	return false
}

func (s *State) appendMembership(m Membership) {
	s.appendEntries([]Entry{{Kind: EntryMembership, Data: encodeMembership(m)}})
}
