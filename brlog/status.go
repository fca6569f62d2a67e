package brlog

import (
	"slices"
	"time"
)

// Status is the status of a replica.
type Status struct {
	ID            ID         `json:"id"`
	Term          uint64     `json:"term"`
	Role          string     `json:"role"` // "follower", "candidate", "leader" or "learner"
	Leader        ID         `json:"leader"`
	LeaderAddress string     `json:"leader_address"`
	Commit        uint64     `json:"commit"`
	Applied       uint64     `json:"applied"`
	Synced        uint64     `json:"synced"`
	Last          uint64     `json:"last"`
	SnapshotIndex uint64     `json:"snapshot_index"`
	Membership    Membership `json:"membership"`
	Halted        bool       `json:"halted"`
	Removed       bool       `json:"removed"` // permanently removed from the group
	// Match maps the other members to the index of their last synced entry. It is
	// nil unless the replica is the leader.
	Match map[ID]uint64 `json:"match,omitempty"`
	// SinceLastReply maps the other members to the time since their last reply. It is
	// nil unless the replica is the leader.
	SinceLastReply map[ID]time.Duration `json:"silent,omitempty"`
}

// Status returns the current status of the replica.
func (s *State) Status() Status {
	st := Status{
		ID: s.id, Term: s.hardState.Term, Role: "follower", Leader: s.leader,
		LeaderAddress: s.address(s.leader), Commit: s.commit, Applied: s.applied,
		Synced: s.synced, Last: s.log.last(), SnapshotIndex: s.snapshot.Index,
		Membership: s.membership, Halted: s.halted, Removed: s.removed(),
	}
	switch {
	case s.role == leader:
		st.Role = "leader"
		st.Match = map[ID]uint64{}
		st.SinceLastReply = map[ID]time.Duration{}
		for id, p := range s.progress {
			st.Match[id] = p.match
			st.SinceLastReply[id] = s.now - p.lastReplyAt
		}
	case s.role == candidate || s.role == preCandidate:
		st.Role = "candidate"
	case !s.membership.IsVoter(s.id):
		st.Role = "learner"
	}
	return st
}

// removed reports whether this replica was removed from the group, either by a
// committed membership entry or by notification from another replica.
func (s *State) removed() bool {
	return s.removalReported || slices.Contains(s.RemovedIDs(), s.id)
}

// RemovedIDs returns the IDs that were permanently removed from the group. It returns
// nil while a change of the membership isn't committed.
func (s *State) RemovedIDs() []ID {
	if s.membershipIndex > s.commit {
		return nil
	}
	return s.membership.Removed
}

// Leader returns the ID and the address of the current leader and reports whether
// this replica is the leader. The ID is empty if the leader is unknown.
func (s *State) Leader() (id ID, address string, self bool) {
	return s.leader, s.address(s.leader), s.role == leader
}

// elapsed returns the internal time of the replica at now. It returns false if the
// clock went backwards or the time since the last step exceeds maxStepInterval.
func (s *State) elapsed(now time.Time) (time.Duration, bool) {
	d := now.Sub(s.lastStep)
	return s.now + d, d >= 0 && d <= s.maxStepInterval()
}

// LeaseValid reports whether this replica is the leader and holds a valid lease at
// now. At most one replica holds a valid lease at any time.
func (s *State) LeaseValid(now time.Time) bool {
	t, ok := s.elapsed(now)
	return ok && !s.halted && s.role == leader && t < s.leaseEnd()
}

// ReadIndex returns the index of the last entry that must be applied before a
// linearizable read at now. It returns false unless this replica is the leader,
// holds a valid lease and has committed an entry of its term.
func (s *State) ReadIndex(now time.Time) (uint64, bool) {
	return s.commit, s.LeaseValid(now) && s.commit >= s.termStart
}

// ConfirmedCommit returns an upper bound on the index of old entries: every entry
// that was committed by any leader more than age before now has an index of at most
// commit. The age is measured on the clock of this replica from the send time of
// the latest message to which the leader replied while it held its lease, and is
// extended by MaxClockDrift. ConfirmedCommit returns false if there is no such reply.
func (s *State) ConfirmedCommit(now time.Time) (commit uint64, age time.Duration, ok bool) {
	if c, ok := s.ReadIndex(now); ok {
		return c, 0, true
	}
	t, ok := s.elapsed(now)
	if !ok || !s.confirmed || s.halted {
		return 0, 0, false
	}
	age = time.Duration(float64(t-s.confirmedAt)*(1+MaxClockDrift)) + 1
	return s.confirmedCommit, age, true
}
