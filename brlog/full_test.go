package brlog

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	fullSeed  = flag.Uint64("full-seed", 1, "seed of the first schedule of full disks")
	fullCount = flag.Uint64("full-count", 120, "number of schedules of full disks")
)

const (
	fullRestartDelay  = 500 * time.Millisecond  // of a replica whose disk failed, as in brcore
	fullSilentTimeout = 2500 * time.Millisecond // after which a spare voter is removed, as in brcore
)

// newFullSim returns a simulation of 3, 4, 6 or 8 replicas on reliable links, with the
// supervision of brcore: a replica whose disk fails is started again, one that was
// removed empties its disk and joins again.
func newFullSim(seed uint64) *sim {
	s := newSimOf([]int{3, 4, 6, 8}[seed%4], seed, mutation{})
	s.dropRate, s.faultsEnded, s.byAddress = 0, true, true
	s.onHalt = func(n *node) { s.rejoin(n) }
	s.scheduleWork()
	s.scheduleSupervision()
	return s
}

// stop ends the process of n after a failed write, of which a part is on the disk, and
// starts it again once its disk has room.
func (s *sim) stop(n *node) {
	s.kill(n)
	var retry func()
	retry = func() {
		if n.full || n.poweredOff {
			s.after(fullRestartDelay, retry)
			return
		}
		s.restart(n)
	}
	s.after(fullRestartDelay, retry)
}

// rejoin gives a removed replica an empty disk and a new ID.
func (s *sim) rejoin(n *node) {
	n.up, n.queue = false, nil
	n.stored, n.diskLosses, n.replaces = StoredState{}, n.diskLosses+1, ""
	n.formerIDs = append(n.formerIDs, n.id)
	n.id = ID(fmt.Sprintf("r%d.%d", n.slot, n.diskLosses))
	s.after(fullRestartDelay, func() { s.restart(n) })
}

// scheduleSupervision proposes an entry each 0.1 to 0.5 s and removes voters that are
// silent, as long as enough remain to tolerate the loss of one quarter.
func (s *sim) scheduleSupervision() {
	s.after(s.ms(100, 500), func() {
		for _, n := range s.nodes {
			if n.id != s.leaderID() {
				continue
			}
			s.propose(n)
			st := n.state.Status()
			for id, silent := range st.SinceLastReply {
				if silent >= fullSilentTimeout && st.Membership.IsVoter(id) && st.Membership.Voters() > 2*max(1, len(s.nodes)/4)+1 {
					s.step(n, ChangeMember{Remove: id})
					break
				}
			}
		}
		s.scheduleSupervision()
	})
}

// runFullDisks fills the disks one after another, never two at once. In some schedules
// one replica is without power meanwhile, and the others lose their disks.
func runFullDisks(seed uint64) (err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case violation:
			err = fmt.Errorf("seed %d: %s", seed, string(r))
		case string: // panic of an assertion in the package
			err = fmt.Errorf("seed %d: %s", seed, r)
		default:
			panic(r)
		}
	}()
	s := newFullSim(seed)
	s.runUntil(5*time.Second, func() bool { return s.leaderID() != "" })
	order := s.rng.Perm(len(s.nodes))
	var off *node
	if len(s.nodes) > 3 && s.rng.IntN(4) == 0 {
		off, order = s.nodes[order[0]], order[1:]
		off.poweredOff = true
		s.stop(off)
		s.runUntil(s.now+10*time.Second, func() bool { return s.isRemoved(off.id) })
	}
	for _, i := range order {
		n := s.nodes[i]
		if off != nil {
			s.replace(n)
			continue
		}
		if s.rng.IntN(4) == 0 && s.allReturned() {
			s.emptyDisk(n) // its new disk is full while it catches up as a learner
		}
		s.fillDisk(n)
		if n.diskLosses > 0 && s.rng.IntN(2) == 0 {
			s.runFor(s.ms(400, 1000))
			s.fillDisk(n)
		}
	}
	if off != nil {
		off.poweredOff = false
	}
	return s.checkRecovery()
}

// fillDisk fills the disk of n for less than an election, for longer, or for longer
// than it takes until n is removed. n may be restarted meanwhile.
func (s *sim) fillDisk(n *node) {
	n.full = true
	if s.rng.IntN(4) == 0 {
		s.after(s.ms(0, 1000), func() { s.stop(n) })
	}
	s.runFor([]time.Duration{s.ms(50, 400), s.ms(500, 2000), s.ms(2600, 5000)}[s.rng.IntN(3)])
	n.full = false
	s.runFor(s.ms(0, 300))
}

func (s *sim) emptyDisk(n *node) {
	old := n.id
	s.kill(n)
	s.rejoin(n)
	n.replaces = old
}

// replace empties the disk of n and waits until n has returned under a new ID.
func (s *sim) replace(n *node) {
	s.emptyDisk(n)
	s.runUntil(s.now+10*time.Second, func() bool { return s.returned(n) })
	if !s.returned(n) {
		s.fail("%s with an empty disk isn't a voter again; status: %+v", n.id, s.statuses())
	}
}

// returned reports whether n is a voter again.
func (s *sim) returned(n *node) bool {
	m, ok := s.committedMembership()
	return ok && n.up && m.IsVoter(n.id)
}

func (s *sim) allReturned() bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return !s.returned(n) })
}

func (s *sim) isRemoved(id ID) bool {
	m, ok := s.committedMembership()
	return ok && m.IsRemoved(id)
}

// committedMembership returns the membership of the leader. It returns false if there
// is no leader, or if a change is not committed yet.
func (s *sim) committedMembership() (Membership, bool) {
	for _, n := range s.nodes {
		if n.id == s.leaderID() {
			return n.state.membership, n.state.membershipIndex <= n.state.commit
		}
	}
	return Membership{}, false
}

func (s *sim) runFor(d time.Duration) { s.runUntil(s.now+d, func() bool { return false }) }

// checkRecovery checks that an entry is committed soon after the last disk has room, and
// that all replicas are voters again and have the same log.
func (s *sim) checkRecovery() error {
	const commitBound, allBound = 3 * time.Second, 12 * time.Second
	end, committed := s.now, len(s.committed)
	s.runUntil(end+commitBound, func() bool { return len(s.committed) > committed+1 })
	if len(s.committed) <= committed+1 {
		s.fail("no entry was committed within %v; status: %+v", commitBound, s.statuses())
	}
	want := uint64(len(s.committed))
	s.runUntil(end+allBound, func() bool { return s.recovered(want) })
	if !s.recovered(want) {
		s.fail("not all replicas are voters again within %v; status: %+v", allBound, s.statuses())
	}
	return nil
}

// TestFullDisks guards against a group that accepts no entries after disks were full one
// after another, and against a replica that stays out of a group in which all others
// have new IDs (seed 2).
func TestFullDisks(t *testing.T) {
	for seed := *fullSeed; seed < *fullSeed+*fullCount; seed++ {
		if err := runFullDisks(seed); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDiskLostTwice guards against a member that remains in the group after the disk of
// its successor was lost as well, before that had become a voter.
func TestDiskLostTwice(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimOf(3, seed, mutation{})
		s.dropRate, s.faultsEnded, s.byAddress = 0, true, true
		s.onHalt = func(n *node) { s.rejoin(n) }
		s.scheduleWork()
		s.runUntil(5*time.Second, func() bool { return s.leaderID() != "" })
		n := s.nodes[0]
		if n.id == s.leaderID() {
			n = s.nodes[1]
		}
		s.emptyDisk(n)
		learner := func() bool {
			m, ok := s.committedMembership()
			_, known := m.Find(n.id)
			return ok && known && !m.IsVoter(n.id)
		}
		s.runFor(fullRestartDelay)
		s.runUntil(s.now+time.Second, learner)
		if !learner() {
			t.Fatalf("seed %d: %s isn't a learner", seed, n.id)
		}
		s.emptyDisk(n)
		s.runFor(5 * time.Second)
		m, _ := s.committedMembership()
		if len(m.Members) != 3 || !m.IsVoter(n.id) {
			t.Fatalf("seed %d: members are %v, want 3 with %s as a voter", seed, m.Members, n.id)
		}
	}
}
