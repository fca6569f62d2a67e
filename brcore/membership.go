package brcore

import (
	"time"

	"bramleyroute/brlog"
)

// voterTimeout is the time without a message after which a voter is removed from
// the group if enough others are left. It is longer than a restart. It is short
// enough that a group of three regains its tolerance before the successor of a
// lost replica counts as caught up.
const voterTimeout = 2500 * time.Millisecond

// removableVoter returns the voter that the leader should remove, if any: the one
// that has been silent longest, provided that the group has more voters than
// needed to survive the loss of tolerance replicas.
func removableVoter(st brlog.Status, tolerance int) (brlog.ID, bool) {
	if st.Membership.Voters() <= requiredVoters(tolerance) {
		return "", false
	}
	var lost brlog.ID
	longest := voterTimeout
	for _, m := range st.Membership.Members {
		if silent := st.SinceLastReply[m.ID]; !m.Learner && m.ID != st.ID && silent >= longest {
			lost, longest = m.ID, silent
		}
	}
	return lost, lost != ""
}

// requiredVoters returns the number of voters needed to survive the loss of
// tolerance of them.
func requiredVoters(tolerance int) int { return 2*tolerance + 1 }
