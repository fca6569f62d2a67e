package brlog

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	faultDuration    = 7 * time.Second  // virtual time during which faults are injected
	recoveryDuration = 20 * time.Second // virtual time allowed for recovery afterwards
)

var seedFlag = flag.Uint64("seed", 0, "run only the schedule with this seed")

// runSchedule runs the schedule of one seed and returns the first rule violation as
// an error.
func runSchedule(seed uint64, m mutation) (err error) {
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
	s := newSim(seed, m)
	s.scheduleFault()
	s.scheduleWork()
	s.runUntil(faultDuration, func() bool { return false })
	s.healNetwork()
	for _, n := range s.nodes {
		n.syncLatency = min(n.syncLatency, s.ms(0, 120))
	}
	s.faultsEnded = true
	var want uint64 // index of a recent proposal; older ones may be lost with their leader
	var proposeAt time.Duration
	s.runUntil(faultDuration+recoveryDuration, func() bool {
		for _, n := range s.nodes {
			s.restart(n)
			if s.now >= proposeAt && s.leaderID() == n.id {
				if a, ok := s.propose(n).(Accepted); ok {
					want, proposeAt = a.First, s.now+2*time.Second
				}
			}
		}
		return s.recovered(want)
	})
	if !s.recovered(want) {
		s.fail("group did not recover; status: %v", s.statuses())
	}
	return nil
}

func (s *sim) runUntil(end time.Duration, done func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !done() {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.run()
	}
}

func (s *sim) recovered(want uint64) bool {
	for _, n := range s.nodes {
		if want == 0 || !n.up || n.applied < want || n.applied < uint64(len(s.committed)) || !n.state.membership.IsVoter(n.id) {
			return false
		}
	}
	return true
}

func (s *sim) statuses() (all []Status) {
	for _, n := range s.nodes {
		all = append(all, n.state.Status())
	}
	return all
}

func (s *sim) propose(n *node) Effect {
	if !n.up || s.now < n.frozenUntil {
		return nil
	}
	s.proposed++
	return s.step(n, Propose{[][]byte{binary.BigEndian.AppendUint64(nil, s.proposed)}})
}

// scheduleWork proposes entries and replaces lost replicas at random intervals.
func (s *sim) scheduleWork() {
	s.after(s.ms(5, 40), func() {
		for _, n := range s.nodes {
			if !n.up || s.now < n.frozenUntil || n.state.role != leader {
				continue
			}
			if !s.faultsEnded && s.now >= s.idleUntil {
				s.propose(n)
			}
			for _, x := range s.nodes {
				if _, ok := n.state.membership.Find(x.id); !ok && n.up {
					s.step(n, ChangeMember{Add: Member{ID: x.id, Address: fmt.Sprint(x.slot), Replaces: x.replaces}})
				}
			}
		}
		s.scheduleWork()
	})
}

func (s *sim) scheduleFault() {
	s.after(s.ms(50, 700), func() {
		if !s.faultsEnded {
			s.injectFault()
			s.scheduleFault()
		}
	})
}

func (s *sim) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for _, x := range s.nodes { // prefer the leader for faults
		if x.up && x.state.role == leader && s.rng.IntN(2) == 0 {
			n = x
		}
	}
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(14) {
	case 0, 1:
		s.kill(n)
	case 2, 3:
		n.writesUntilKill = 1 + s.rng.IntN(4)
	case 4:
		n.frozenUntil = s.now + s.ms(50, 2500)
	case 5:
		s.blockedLinks[[2]int{n.slot, other.slot}] = true
	case 6: // block both directions to all nodes; messages are dropped silently
		for i := range s.nodes {
			s.blockedLinks[[2]int{n.slot, i}], s.blockedLinks[[2]int{i, n.slot}] = true, true
		}
		s.after(s.ms(300, 2500), s.healNetwork)
	case 7:
		s.healNetwork()
	case 8:
		s.loseDisk(n)
	case 9: // not during a freeze, since it would hide a clock that goes backwards
		if n.up && s.now >= n.frozenUntil {
			n.clockOffset += time.Duration(1-2*s.rng.IntN(2)) * s.ms(400, 2000)
			s.step(n, Tick{})
		}
	case 10: // kill a majority
		for i := range len(s.nodes)/2 + 1 {
			s.kill(s.nodes[(n.slot+i)%len(s.nodes)])
		}
	case 11:
		if n.up && s.now >= n.frozenUntil {
			s.step(n, Transfer{})
		}
		n.syncLatency = s.ms(0, 120)
		if s.rng.IntN(4) == 0 {
			n.syncLatency = s.ms(500, 3000)
		}
	case 12, 13: // the leader loses its link to one node, then to all; the other nodes restart within its lease
		s.idleUntil = s.now + 3*time.Second // so that all logs are equal and any node can be elected
		s.blockedLinks[[2]int{n.slot, other.slot}] = true
		s.after(s.ms(500, 1500), func() {
			for i, x := range s.nodes {
				s.blockedLinks[[2]int{n.slot, i}], s.blockedLinks[[2]int{i, n.slot}] = true, true
				if x != n && x != other && !s.faultsEnded {
					s.kill(x)
					s.restart(x)
				}
			}
		})
		s.after(s.ms(1600, 3000), s.healNetwork)
	}
}

func (s *sim) healNetwork() { clear(s.blockedLinks) }

// loseDisk kills n and empties its disk, unless there is no leader or the
// replacement of another replica is still pending. The replica restarts under a
// new ID.
func (s *sim) loseDisk(n *node) {
	for _, x := range s.nodes {
		if !x.up || x.id != s.leaderID() {
			continue
		}
		for _, y := range s.nodes {
			if !x.state.membership.IsVoter(y.id) || x.state.membershipIndex > x.state.commit {
				return
			}
		}
		s.kill(n)
		n.stored, n.diskLosses, n.replaces = StoredState{}, n.diskLosses+1, n.id
		if s.mutate.reuseLostID {
			return
		}
		n.id = ID(fmt.Sprintf("r%d.%d", n.slot, n.diskLosses))
		return
	}
}

// leaderID returns the ID of the replica that holds the lease, or "" if none does.
func (s *sim) leaderID() ID {
	for _, n := range s.nodes {
		if n.up && n.state.canServeReads() && n.state.LeaseValid(s.clock(n)) {
			return n.id
		}
	}
	return ""
}

// search runs the schedules of count seeds starting at first, until one of them
// violates a rule. It returns the number of schedules tried and the violation.
func search(first, count uint64, m mutation) (tried uint64, err error) {
	var next atomic.Uint64
	var once sync.Once
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > count {
					return
				}
				if e := runSchedule(first+i-1, m); e != nil {
					once.Do(func() { err = e; tried = i })
					next.Store(count)
					return
				}
			}
		})
	}
	wg.Wait()
	if err == nil {
		tried = count
	}
	return tried, err
}

// TestSchedules guards against two leaders in one term, two valid leases at the
// same time, stale confirmations, committed entries that change or are lost, and
// a group that does not recover. It runs the fault schedules of seeds 1 to 2000.
func TestSchedules(t *testing.T) {
	if *seedFlag != 0 {
		if err := runSchedule(*seedFlag, mutation{}); err != nil {
			t.Fatal(err)
		}
		return
	}
	n := uint64(2000)
	if testing.Short() {
		n = 300
	}
	if _, err := search(1, n, mutation{}); err != nil {
		t.Fatal(err)
	}
}

// TestStalledDisk guards against a leader that remains leader although its disk
// has stalled.
func TestStalledDisk(t *testing.T) {
	s := newSim(3, mutation{})
	s.dropRate = 0
	s.scheduleWork()
	s.runUntil(5*time.Second, func() bool { return s.leaderID() != "" })
	old := s.leaderID()
	for _, n := range s.nodes {
		if n.id == old {
			n.syncLatency = time.Hour
		}
	}
	s.runUntil(12*time.Second, func() bool { return s.leaderID() != "" && s.leaderID() != old })
	if got := s.leaderID(); got == "" || got == old {
		t.Errorf("leader is %q 7 s after the disk of %s stalled, want another replica; status: %v", got, old, s.statuses())
	}
}

// TestMutationsAreDetected guards against ineffective checks in the simulation:
// each disabled safety rule must cause a violation within a limited number of
// schedules.
func TestMutationsAreDetected(t *testing.T) {
	const limit = 3000 // schedules
	for name, m := range map[string]mutation{
		"skip sync":                   {skipSync: true},
		"skip vote record":            {skipVoteRecord: true},
		"lease from receipt":          {leaseFromReceipt: true},
		"reuse lost ID":               {reuseLostID: true},
		"no vote delay after restart": {noVoteDelayOnStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			tried, err := search(1, limit, m)
			if err == nil {
				t.Fatalf("mutation was not detected in %d schedules", tried)
			}
			t.Logf("mutation was detected by schedule %d: %v", tried, err)
		})
	}
}
