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
	faultTime = 7 * time.Second  // virtual time with faults
	quietTime = 20 * time.Second // for the group to recover afterwards
)

var onlySeed = flag.Uint64("seed", 0, "play only the schedule of this seed")

// run plays the schedule of one seed and returns the first broken rule.
func run(seed uint64, m mutation) (err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case violation:
			err = fmt.Errorf("seed %d: %s", seed, string(r))
		case string: // an assertion of the package
			err = fmt.Errorf("seed %d: %s", seed, r)
		default:
			panic(r)
		}
	}()
	s := newSim(seed, m)
	s.faultLater()
	s.workLater()
	s.runUntil(faultTime, func() bool { return false })
	s.heal()
	for _, n := range s.nodes {
		n.latency = min(n.latency, s.ms(0, 120))
	}
	s.healed = true
	var want uint64 // an entry proposed lately; an older one may be lost with its leader
	var proposeAt time.Duration
	s.runUntil(faultTime+quietTime, func() bool {
		for _, n := range s.nodes {
			s.revive(n)
			if s.now >= proposeAt && s.leaderID() == n.id {
				if a, ok := s.propose(n).(Accepted); ok {
					want, proposeAt = a.First, s.now+2*time.Second
				}
			}
		}
		return s.settled(want)
	})
	if !s.settled(want) {
		s.fail("the group did not recover: %v", s.summary())
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

func (s *sim) settled(want uint64) bool {
	for _, n := range s.nodes {
		if want == 0 || !n.up || n.applied < want || n.applied < uint64(len(s.committed)) || !n.state.membership.IsVoter(n.id) {
			return false
		}
	}
	return true
}

func (s *sim) summary() (all []Status) {
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

// workLater proposes entries and repairs lost replicas from time to time.
func (s *sim) workLater() {
	s.after(s.ms(5, 40), func() {
		for _, n := range s.nodes {
			if !n.up || s.now < n.frozenUntil || n.state.role != leader {
				continue
			}
			if !s.healed && s.now >= s.idleUntil {
				s.propose(n)
			}
			for _, x := range s.nodes {
				if _, ok := n.state.membership.Find(x.id); !ok && n.up {
					s.step(n, ChangeMember{Add: Member{ID: x.id, Address: fmt.Sprint(x.slot), Replaces: x.replaces}})
				}
			}
		}
		s.workLater()
	})
}

func (s *sim) faultLater() {
	s.after(s.ms(50, 700), func() {
		if !s.healed {
			s.fault()
			s.faultLater()
		}
	})
}

func (s *sim) fault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for _, x := range s.nodes { // a leader is worth more faults than others
		if x.up && x.state.role == leader && s.rng.IntN(2) == 0 {
			n = x
		}
	}
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(14) {
	case 0, 1:
		s.kill(n)
	case 2, 3:
		n.killAtWrite = 1 + s.rng.IntN(4)
	case 4:
		n.frozenUntil = s.now + s.ms(50, 2500)
	case 5:
		s.cut[[2]int{n.slot, other.slot}] = true
	case 6: // both ways to all, without a word
		for i := range s.nodes {
			s.cut[[2]int{n.slot, i}], s.cut[[2]int{i, n.slot}] = true, true
		}
		s.after(s.ms(300, 2500), s.heal)
	case 7:
		s.heal()
	case 8:
		s.loseDisk(n)
	case 9: // a step back that a freeze hides can't be seen, so none is made
		if n.up && s.now >= n.frozenUntil {
			n.jump += time.Duration(1-2*s.rng.IntN(2)) * s.ms(400, 2000)
			s.step(n, Tick{})
		}
	case 10: // the majority
		for i := range len(s.nodes)/2 + 1 {
			s.kill(s.nodes[(n.slot+i)%len(s.nodes)])
		}
	case 11:
		if n.up && s.now >= n.frozenUntil {
			s.step(n, Transfer{})
		}
		n.latency = s.ms(0, 120)
		if s.rng.IntN(4) == 0 {
			n.latency = s.ms(500, 3000)
		}
	case 12, 13: // the leader loses one replica, then all, and the others restart within its lease
		s.idleUntil = s.now + 3*time.Second // so that logs are equal and any of them can win
		s.cut[[2]int{n.slot, other.slot}] = true
		s.after(s.ms(500, 1500), func() {
			for i, x := range s.nodes {
				s.cut[[2]int{n.slot, i}], s.cut[[2]int{i, n.slot}] = true, true
				if x != n && x != other && !s.healed {
					s.kill(x)
					s.revive(x)
				}
			}
		})
		s.after(s.ms(1600, 3000), s.heal)
	}
}

func (s *sim) heal() { clear(s.cut) }

// loseDisk empties n's disk, unless another replica still lacks its repair. The
// replica comes back under a new id.
func (s *sim) loseDisk(n *node) {
	for _, x := range s.nodes {
		if !x.up || x.id != s.leaderID() {
			continue
		}
		for _, y := range s.nodes {
			if !x.state.membership.IsVoter(y.id) || x.state.memberAt > x.state.commit {
				return
			}
		}
		s.kill(n)
		n.stored, n.losses, n.replaces = Stored{}, n.losses+1, n.id
		if s.mutate.oldIdentity {
			return
		}
		n.id = ID(fmt.Sprintf("r%d.%d", n.slot, n.losses))
		return
	}
}

// leaderID returns the replica that holds the lease, or "".
func (s *sim) leaderID() ID {
	for _, n := range s.nodes {
		if n.up && n.state.readable() && n.state.LeaseValid(s.clock(n)) {
			return n.id
		}
	}
	return ""
}

// search plays seeds from first on until one breaks a rule.
func search(first, count uint64, m mutation) (played uint64, err error) {
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
				if e := run(first+i-1, m); e != nil {
					once.Do(func() { err = e; played = i })
					next.Store(count)
					return
				}
			}
		})
	}
	wg.Wait()
	if err == nil {
		played = count
	}
	return played, err
}

// Guards against two leaders in a term, two leases at once, a stale
// confirmation, a committed entry that changes or is lost, and a group that
// doesn't recover, over the faults of schedules 1 to 2000.
func TestSchedules(t *testing.T) {
	if *onlySeed != 0 {
		if err := run(*onlySeed, mutation{}); err != nil {
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

// Guards against a leader that keeps its place with a disk that has stalled.
func TestStalledDisk(t *testing.T) {
	s := newSim(3, mutation{})
	s.drop = 0
	s.workLater()
	s.runUntil(5*time.Second, func() bool { return s.leaderID() != "" })
	old := s.leaderID()
	for _, n := range s.nodes {
		if n.id == old {
			n.latency = time.Hour
		}
	}
	s.runUntil(12*time.Second, func() bool { return s.leaderID() != "" && s.leaderID() != old })
	if got := s.leaderID(); got == "" || got == old {
		t.Errorf("%s leads 7 s after the disk of %s stalled: %v", got, old, s.summary())
	}
}

// Guards against checks that see nothing: each rule that is switched off must
// be noticed within a bounded number of schedules.
func TestMutationsAreNoticed(t *testing.T) {
	const limit = 3000 // schedules
	for name, m := range map[string]mutation{
		"skip sync":                {skipSync: true},
		"forget vote":              {forgetVote: true},
		"lease from receipt":       {leaseFromReceipt: true},
		"old identity":             {oldIdentity: true},
		"no promise after restart": {noPromiseOnStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			played, err := search(1, limit, m)
			if err == nil {
				t.Fatalf("not noticed in %d schedules", played)
			}
			t.Logf("noticed by schedule %d: %v", played, err)
		})
	}
}
