package brlog

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// sim simulates replicas with an in-memory network and in-memory disks. All faults
// derive from one seed. Rule violations panic with a violation.
type sim struct {
	rng          *rand.Rand
	mutate       mutation
	now          time.Duration
	events       eventHeap
	eventCount   int
	nodes        []*node
	blockedLinks map[[2]int]bool
	dropRate     float64
	faultsEnded  bool
	idleUntil    time.Duration
	// byAddress delivers messages for the former ID of a replica to its successor at
	// the same address. onHalt, if not nil, is called when a replica halts.
	byAddress bool
	onHalt    func(*node)
	configure func(*Config) // changes the configuration of replicas that start later; may be nil

	leaders      map[uint64]ID
	committed    map[uint64]uint64 // hash of all entries up to an index, by index
	firstApplied []firstApplied    // in order of time and index
	proposed     uint64
}

type firstApplied struct {
	at    time.Duration
	index uint64
}

type violation string

type node struct {
	slot, diskLosses         int
	id, replaces             ID
	formerIDs                []ID
	full, poweredOff         bool // the disk has no room; the process can't be started
	state                    *State
	generation               int // process number; events of earlier processes are ignored
	up                       bool
	frozenUntil              time.Duration
	rate                     float64
	clockOffset, syncLatency time.Duration
	stored                   StoredState
	queue                    []Effect // writes and snapshots that are not durable yet
	writesUntilKill          int
	applied, hash            uint64
}

type timedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *sim) after(d time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.events, timedEvent{s.now + d, s.eventCount, f})
}

func (s *sim) ms(lo, hi int) time.Duration {
	return time.Duration(lo+s.rng.IntN(hi-lo+1)) * time.Millisecond
}

func (s *sim) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)))
}

func newSim(seed uint64, m mutation) *sim {
	n := 3
	if seed%8 == 0 {
		n = 5
	}
	return newSimOf(n, seed, m)
}

func newSimOf(n int, seed uint64, m mutation) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), mutate: m, blockedLinks: map[[2]int]bool{},
		leaders: map[uint64]ID{}, committed: map[uint64]uint64{},
	}
	s.dropRate = []float64{0, 0.02, 0.2}[s.rng.IntN(3)]
	var members []Member
	for i := range n {
		members = append(members, Member{ID: ID(fmt.Sprintf("r%d", i)), Address: fmt.Sprint(i)})
	}
	for i, x := range members {
		nd := &node{slot: i, id: x.ID, rate: 1 + 0.0049*(2*s.rng.Float64()-1), syncLatency: s.ms(0, 8)}
		nd.stored = Bootstrap(x.ID, members)
		s.nodes = append(s.nodes, nd)
		s.start(nd)
	}
	return s
}

func (s *sim) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.now)*n.rate) + n.clockOffset + time.Hour)
}

func (s *sim) start(n *node) {
	n.generation++
	cfg := Config{
		ID: n.id, Stored: n.stored, Joining: n.diskLosses > 0, Now: s.clock(n), Random: s.rng.Uint64,
		SnapshotEvery: 30, TrailingEntries: 5, ChunkBytes: 100, BatchBytes: 300, mutate: s.mutate,
	}
	if s.configure != nil {
		s.configure(&cfg)
	}
	st, err := New(cfg)
	if err != nil {
		s.fail("start of %s failed: %v", n.id, err)
	}
	n.state, n.up, n.queue = st, true, nil
	n.applied, n.hash = 0, 0
	if n.stored.Snapshot.Index > 0 {
		s.restore(n, n.stored.Snapshot)
	}
	s.scheduleTick(n)
}

// guard wraps f so that it runs only if the current process of n is still running,
// and is delayed until the end of a freeze.
func (s *sim) guard(n *node, f func()) func() {
	g := n.generation
	var run func()
	run = func() {
		switch {
		case !n.up || n.generation != g:
		case s.now < n.frozenUntil:
			s.after(n.frozenUntil-s.now, run)
		default:
			f()
		}
	}
	return run
}

func (s *sim) scheduleTick(n *node) {
	s.after(s.ms(10, 40), s.guard(n, func() {
		s.step(n, Tick{})
		s.scheduleTick(n)
	}))
}

// step runs one event on n and returns the Accepted or Refused effect, if any.
func (s *sim) step(n *node, ev Event) (reply Effect) {
	g := n.generation
	for _, e := range n.state.Step(s.clock(n), ev) {
		if !n.up || n.generation != g {
			return nil
		}
		switch e := e.(type) {
		case Write, SaveSnapshot:
			s.enqueue(n, e)
		case TakeSnapshot:
			if e.Index != n.applied {
				s.fail("%s takes a snapshot of entry %d, but has applied %d", n.id, e.Index, n.applied)
			}
			data := binary.BigEndian.AppendUint64(make([]byte, 0, 300), n.hash)[:300]
			s.enqueue(n, SaveSnapshot{Snapshot{Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data}})
		case Send:
			s.transmit(n, e)
		case Apply:
			s.apply(n, e.Entries)
		case Restore:
			s.restore(n, e.Snapshot)
		case Compact:
			for len(n.stored.Entries) > 0 && n.stored.Entries[0].Index < e.Index {
				n.stored.Entries = n.stored.Entries[1:]
			}
		case LeaderChanged:
			if previous, ok := s.leaders[e.Term]; e.Self && ok && previous != n.id {
				s.fail("%s and %s are both leaders of term %d", previous, n.id, e.Term)
			} else if e.Self {
				s.leaders[e.Term] = n.id
			}
		case Halt:
			if s.onHalt != nil && n.state.removed() {
				s.onHalt(n)
				return nil
			}
			if !n.state.membership.IsRemoved(n.id) && s.isMember(n.id) {
				s.fail("%s halted: %s", n.id, e.Reason)
			}
		case Accepted, Refused:
			reply = e
		}
	}
	s.checkLeases(n)
	return reply
}

func (s *sim) isMember(id ID) bool {
	for _, n := range s.nodes {
		if n.up && n.state.role == leader {
			_, ok := n.state.membership.Find(id)
			return ok
		}
	}
	return false
}

func (s *sim) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			s.fail("%s applies entry %d after entry %d", n.id, e.Index, n.applied)
		}
		h := fnv.New64a()
		fmt.Fprint(h, n.hash, e.Term, e.Kind, e.Data)
		n.applied, n.hash = e.Index, h.Sum64()
		if expected, ok := s.committed[e.Index]; !ok {
			s.committed[e.Index] = n.hash
			s.firstApplied = append(s.firstApplied, firstApplied{s.now, e.Index})
		} else if expected != n.hash {
			s.fail("%s applies entry %d with a different hash than the first replica that applied it", n.id, e.Index)
		}
	}
}

func (s *sim) restore(n *node, snap Snapshot) {
	n.applied, n.hash = snap.Index, binary.BigEndian.Uint64(snap.Data)
	if s.committed[snap.Index] != n.hash {
		s.fail("%s restores a snapshot at entry %d that differs from the committed state", n.id, snap.Index)
	}
}

// checkLeases checks that at most one lease is valid, and that the confirmation of
// n covers all entries committed before the confirmed time.
func (s *sim) checkLeases(n *node) {
	holders := 0
	for _, x := range s.nodes {
		if x.up && x.state.LeaseValid(s.clock(x)) {
			holders++
		}
	}
	if holders > 1 {
		s.fail("%d replicas hold a valid lease, want at most one", holders)
	}
	if commit, age, ok := n.state.ConfirmedCommit(s.clock(n)); ok {
		i := sort.Search(len(s.firstApplied), func(i int) bool { return s.firstApplied[i].at >= s.now-age })
		if i > 0 && s.firstApplied[i-1].index > commit {
			s.fail("%s confirms index %d with age %v, but entry %d was committed before", n.id, commit, age, s.firstApplied[i-1].index)
		}
	}
}

func (s *sim) transmit(n *node, e Send) {
	if err := e.Message.Check(); err != nil {
		s.fail("%s sends a message that others drop: %v", n.id, err)
	}
	for _, x := range s.nodes {
		former := s.byAddress && slices.Contains(x.formerIDs, e.Message.To)
		if x.id != e.Message.To && !former || s.blockedLinks[[2]int{n.slot, x.slot}] {
			continue
		}
		copies := 1
		if !s.faultsEnded && s.rng.Float64() < s.dropRate {
			copies = s.rng.IntN(3) // zero, one or two
		}
		for range copies {
			d := s.ms(1, 4)
			if !s.faultsEnded && s.rng.IntN(40) == 0 {
				d = s.ms(10, 1500)
			}
			s.after(d, s.guard(x, func() { s.step(x, Receive{e.Message}) }))
		}
	}
}

func (s *sim) enqueue(n *node, e Effect) {
	n.queue = append(n.queue, e)
	if n.writesUntilKill--; n.writesUntilKill == 0 {
		s.kill(n)
		return
	}
	if len(n.queue) == 1 {
		s.scheduleSync(n)
	}
}

// scheduleSync makes all queued writes and snapshots durable with one sync and
// reports their completion.
func (s *sim) scheduleSync(n *node) {
	s.after(n.syncLatency+time.Microsecond, s.guard(n, func() {
		if n.full {
			s.stop(n)
			return
		}
		done := n.queue
		n.queue = nil
		for _, e := range done {
			n.persist(e, -1)
		}
		for _, e := range done {
			if !n.up {
				return
			}
			switch e := e.(type) {
			case Write:
				s.step(n, Synced{e.Seq})
			case SaveSnapshot:
				s.step(n, SnapshotSaved(e))
			}
		}
	}))
}

// persist stores the content of e. If limit is not negative, at most limit entries
// are stored.
func (n *node) persist(e Effect, limit int) {
	if snap, ok := e.(SaveSnapshot); ok {
		if snap.Snapshot.Index > n.stored.Snapshot.Index {
			n.stored.Snapshot = snap.Snapshot
		}
		return
	}
	w := e.(Write)
	n.stored.HardState = w.HardState
	if w.Reset != 0 {
		n.stored.Entries = nil
	}
	if limit >= 0 {
		w.Entries = w.Entries[:min(limit, len(w.Entries))]
	}
	if len(w.Entries) == 0 {
		return
	}
	old := n.stored.Entries
	if len(old) > 0 {
		old = old[:w.Entries[0].Index-old[0].Index]
	}
	n.stored.Entries = append(old[:len(old):len(old)], w.Entries...)
}

// kill ends the process of n. A random prefix of the pending writes is persisted.
func (s *sim) kill(n *node) {
	if !n.up {
		return
	}
	n.up, n.frozenUntil, n.writesUntilKill = false, 0, 0
	keep := s.rng.IntN(len(n.queue) + 1)
	for _, e := range n.queue[:keep] {
		n.persist(e, -1)
	}
	if keep < len(n.queue) {
		if _, ok := n.queue[keep].(Write); ok && s.rng.IntN(2) == 0 {
			n.persist(n.queue[keep], s.rng.IntN(3))
		}
	}
	n.queue = nil
	if !s.faultsEnded {
		s.after(s.ms(0, 1500), func() { s.restart(n) })
	}
}

func (s *sim) restart(n *node) {
	if !n.up {
		s.start(n)
	}
}
