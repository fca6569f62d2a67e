package brcontrol

import (
	"context"
	"testing"
	"time"

	"bramleyroute/brerror"
)

// TestYieldVote guards against a group of three that a planned replacement leaves with a
// replica that is gone among its voters, so that the next loss takes the majority. Here both
// happen at the same moment.
func TestYieldVote(t *testing.T) {
	g := newGroup(t, 3, 1000)
	for _, n := range g.nodes {
		g.stop(n)
		n.cfg.MaxVoters, n.cfg.VoterTimeout = 3, time.Minute
		g.start(n, nil)
	}
	yield := func(n *node) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return n.YieldVote(ctx)
	}
	old := g.leader()
	if err := yield(old); !brerror.Is(err, brerror.InvalidRequest) {
		t.Errorf("yield without another replica returned %v, want an error of kind InvalidRequest", err)
	}
	if st := old.Status(); !st.Membership.IsVoter(st.ID) {
		t.Error("replica has lost its vote although no other one could take it")
	}
	successor := g.add("d")
	g.wait("successor is a learner", func() bool {
		_, ok := g.leader().Status().Membership.Find(successor.Status().ID)
		return ok
	})
	for _, n := range g.nodes {
		if n != old && n != successor {
			g.stop(n) // the loss that the group tolerates
			break
		}
	}
	if err := yield(old); err != nil {
		t.Fatalf("yield: %v", err)
	}
	g.stop(old)
	g.propose(successor, "after the loss")
	st := g.leader().Status()
	if st.Membership.Voters() != 3 || !st.Membership.IsVoter(successor.Status().ID) {
		t.Errorf("membership is %+v, want three voters with the successor", st.Membership)
	}
	g.start(old, nil)
	g.wait("old replica is back as a learner", func() bool {
		s := old.Status()
		m, ok := s.Membership.Find(s.ID)
		return ok && m.Learner && s.Applied >= st.Applied
	})
}

// TestLeavingReplicaGetsNoVote guards against a replica that gets the vote of a lost one while
// its own process drains, so that its end is a second loss.
func TestLeavingReplicaGetsNoVote(t *testing.T) {
	const voterTimeout = time.Second
	g := newGroup(t, 3, 1000)
	for _, n := range g.nodes {
		g.stop(n)
		n.cfg.MaxVoters, n.cfg.VoterTimeout = 3, voterTimeout
		g.start(n, nil)
	}
	leader := g.leader()
	g.propose(leader, "before the learner")
	leaving := g.add("d")
	g.wait("replica is a learner", func() bool {
		_, ok := leader.Status().Membership.Find(leaving.Status().ID)
		return ok
	})
	if err := leaving.YieldVote(t.Context()); err != nil {
		t.Fatalf("yield: %v", err)
	}
	for _, n := range g.nodes {
		if n != leader && n != leaving {
			lost := n.Status().ID
			g.stop(n)
			g.wait("replica is silent", func() bool { return leader.Status().SinceLastReply[lost] > 2*voterTimeout })
			break
		}
	}
	if st := leader.Status(); st.Membership.IsVoter(leaving.Status().ID) {
		t.Errorf("membership is %+v, want %s to stay a learner", st.Membership, leaving.Status().ID)
	}
}
