package brcore

import (
	"time"

	"bramleyroute/brlog"
)

const (
	// spareTimeout is the time without a message after which a learner takes the vote of a
	// voter, which is a learner with its log when it is back. It is longer than an election,
	// and as short as possible: with a voter gone for good, the group tolerates one loss less.
	spareTimeout = time.Second
	// voterTimeout is the time without a message after which a voter is removed from the group
	// if enough others are left. It is longer than a restart, since the replica then joins
	// with an empty log.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the same for a learner. It has no vote, so that only the size of the
	// membership depends on it.
	learnerTimeout = 10 * time.Second
)

// removableMember returns the member that the leader should remove, if any: the voter that has
// been silent longest, provided that the group has more voters than needed to survive the loss
// of tolerance replicas, or else a silent learner.
func removableMember(st brlog.Status, tolerance int) (brlog.ID, bool) {
	var voters, learners []brlog.ID
	for _, m := range st.Membership.Members {
		if m.Learner {
			learners = append(learners, m.ID)
		} else {
			voters = append(voters, m.ID)
		}
	}
	if len(voters) > requiredVoters(tolerance) {
		if id := longestSilent(st, voters, voterTimeout); id != "" {
			return id, true
		}
	}
	id := longestSilent(st, learners, learnerTimeout)
	return id, id != ""
}

// longestSilent returns the one of the other replicas ids that has been silent longest, and ""
// if none has for the given time.
func longestSilent(st brlog.Status, ids []brlog.ID, atLeast time.Duration) (longest brlog.ID) {
	for _, id := range ids {
		if silent := st.SinceLastReply[id]; id != st.ID && silent >= atLeast {
			longest, atLeast = id, silent
		}
	}
	return longest
}

// canYield reports whether a voter of m that stops may have its vote taken by another member:
// there is a learner, or a voter more than needed.
func canYield(m brlog.Membership, tolerance int) bool {
	voters := m.Voters()
	return maxVoters(tolerance) > 0 && (voters < len(m.Members) || voters > requiredVoters(tolerance))
}

// requiredVoters returns the number of voters needed to survive the loss of
// tolerance of them.
func requiredVoters(tolerance int) int { return 2*tolerance + 1 }

// maxVoters returns the number of voters above which further replicas stay learners, or 0 for
// no limit. A voter more than required would need a larger majority for the same tolerance:
// with four voters, the loss of a second one before the first is removed takes the majority.
// Without a stated tolerance every replica votes.
func maxVoters(tolerance int) int {
	if tolerance == 0 {
		return 0
	}
	return requiredVoters(tolerance)
}
