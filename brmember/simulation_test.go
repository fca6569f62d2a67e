package brmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
	"pgregory.net/rapid"
)

const (
	pool = "pool"
	step = 10 * time.Millisecond
)

// simulation runs daemons 0 to n-1 against one control node, number n, over links
// that delay messages and can be blocked. Each clock runs at its own rate.
type simulation struct {
	n               int
	now             time.Duration
	clockRate       []int // clock rate by node, per mille
	daemons         []*Daemon
	queue           []delivery
	blocked         map[[2]int]bool
	delay           func() time.Duration
	sessions        Sessions
	leader          *Leader
	table           *brlease.Table
	timers          *brlease.Timers
	committed       uint64
	membersRevision uint64              // revision of the last change of the set of registered daemons
	registeredAt    map[uint64][]string // registered daemons by revision
	acceptedAt      map[uint64]time.Duration
	nextLeaseAction []time.Duration // time of the next renewal or acquisition, by daemon
	lastReport      time.Duration
	grants          int
	stopped         map[int]bool
}

type delivery struct {
	due      time.Duration
	from, to int
	deliver  func()
}

func name(i int) string { return fmt.Sprint("d", i) }

func index(name string) (i int) {
	_, _ = fmt.Sscanf(name, "d%d", &i)
	return i
}

func (s *simulation) clock(i int) time.Time {
	return time.Unix(1000, 0).Add(s.now * time.Duration(s.clockRate[i]) / 1000)
}

func newSimulation(n int, delay func() time.Duration) *simulation {
	s := &simulation{n: n, clockRate: make([]int, n+1), daemons: make([]*Daemon, n), blocked: map[[2]int]bool{}, delay: delay, committed: 1, membersRevision: 1, registeredAt: map[uint64][]string{},
		table: brlease.NewTable(nil), acceptedAt: map[uint64]time.Duration{}, nextLeaseAction: make([]time.Duration, n), stopped: map[int]bool{}}
	for i := range s.clockRate {
		s.clockRate[i] = 1000
	}
	s.elect()
	for i := range n {
		s.registeredAt[1] = append(s.registeredAt[1], name(i))
		s.restart(i)
	}
	return s
}

func (s *simulation) elect() {
	s.leader, s.timers = NewLeader(s.clock(s.n)), brlease.NewTimers(s.clock(s.n), s.table.List())
}

func (s *simulation) registered() []string { return s.registeredAt[s.committed] }

func (s *simulation) restart(i int) { s.daemons[i] = NewDaemon(s.clock(i), name(i)) }

func (s *simulation) apply(i int, revision uint64) {
	if revision > s.daemons[i].revision {
		s.step(i, Registered{s.registeredAt[revision]})
		s.step(i, Applied{revision})
	}
}

func (s *simulation) send(from, to int, run func()) {
	if !s.blocked[[2]int{from, to}] {
		s.queue = append(s.queue, delivery{s.now + s.delay(), from, to, run})
	}
}

func (s *simulation) isolate(i int, peers []int, blocked bool) {
	for _, j := range peers {
		s.blocked[[2]int{i, j}], s.blocked[[2]int{j, i}] = blocked, blocked
	}
}

func (s *simulation) step(i int, ev Event) (reply brwire.ConfirmedReply) {
	for _, ef := range s.daemons[i].Step(s.clock(i), ev) {
		switch e := ef.(type) {
		case SendHeartbeat:
			s.send(i, s.n, func() { s.heartbeat(i, e) })
		case SendAck:
			s.send(i, s.n, func() { s.sessions.Step(s.clock(s.n), AckReceived(e)) })
		case QueryPeers:
			for _, id := range e.To {
				j := index(id)
				s.send(i, j, func() {
					r := s.step(j, QueryReceived{name(i)})
					s.send(j, i, func() { s.step(i, QueryReplyReceived{e.Round, id, r}) })
				})
			}
		case SendQueryReply:
			reply = e.Reply
		case NewerRevisionFound:
			if j := index(e.From); e.From != "" {
				s.send(i, j, func() { r := s.daemons[j].revision; s.send(j, i, func() { s.apply(i, r) }) })
			} else {
				s.send(i, s.n, func() { r := s.committed; s.send(s.n, i, func() { s.apply(i, r) }) })
			}
		}
	}
	return reply
}

func (s *simulation) heartbeat(i int, h SendHeartbeat) {
	now := s.clock(s.n)
	s.sessions.Step(now, HeartbeatReceived{brwire.Heartbeat{Daemon: brwire.Daemon{ID: name(i)}, Revision: h.Revision, Sequence: h.Sequence}})
	s.sessions.Step(now, ReplySent{name(i), h.Sequence})
	r := brwire.HeartbeatReply{Sequence: h.Sequence, Confirmed: true, Revision: s.committed}
	s.send(s.n, i, func() { s.step(i, ReplyReceived{r}) })
}

// lease renews the lease of the pool for daemon i or tries to acquire it.
func (s *simulation) lease(i int) {
	d, sent := s.daemons[i], s.clock(i)
	s.nextLeaseAction[i] = s.now + time.Second
	if epoch, ok := d.Holds(sent, pool); ok {
		s.send(i, s.n, func() {
			if l, err := s.table.Renew(brlease.Renew{Name: pool, Holder: name(i), Epoch: epoch}); err == nil {
				s.timers.Update(s.clock(s.n), l)
				s.send(s.n, i, func() { s.step(i, LeaseRenewed{l, sent}) })
			}
		})
	} else if d.Standing(sent) == Confirmed && slices.Contains(d.registered, name(i)) {
		s.nextLeaseAction[i] = s.now + 200*time.Millisecond
		s.send(i, s.n, func() { s.acquire(i, d, sent) })
	}
}

func (s *simulation) acquire(i int, d *Daemon, sent time.Time) {
	now, a := s.clock(s.n), brlease.Acquire{Name: pool, Holder: name(i), Duration: 3 * time.Second}
	if t, ok := s.timers.Lapsed(now, pool); ok && s.leader.Confirmed(now, s.registered()) {
		a.Lapsed = &t
	}
	if l, err := s.table.Acquire(a); err == nil {
		s.grants++
		s.timers.Update(now, l)
		s.send(s.n, i, func() {
			if s.daemons[i] == d { // the daemon has not restarted since
				s.step(i, LeaseGranted{l, sent})
			}
		})
	}
}

// propose commits a configuration with the given set of registered daemons, if a
// majority of the current set is live.
func (s *simulation) propose(set []string) {
	if !s.leader.Live(s.clock(s.n), s.registered()) {
		return
	}
	s.committed++
	s.registeredAt[s.committed] = set
	for i, r := range slices.Repeat([]uint64{s.committed}, s.n) {
		s.send(s.n, i, func() { s.apply(i, r) })
	}
}

// toggle registers daemon i, or removes it if it is registered.
func (s *simulation) toggle(i int) {
	set := slices.DeleteFunc(slices.Clone(s.registered()), func(id string) bool { return id == name(i) })
	if len(set) == len(s.registered()) {
		set = append(set, name(i))
	}
	if before := s.committed; len(set) > 0 && s.leader.Applied(s.membersRevision, s.registered()) {
		if s.propose(set); s.committed > before {
			s.membersRevision = s.committed
		}
	}
}

// run advances the simulation by d. It checks the safety properties at each step
// and then calls check.
func (s *simulation) run(t rapid.TB, d time.Duration, check func()) {
	for end := s.now + d; s.now < end; s.now += step {
		due := s.queue
		s.queue = nil
		for _, m := range due {
			switch {
			case m.due > s.now:
				s.queue = append(s.queue, m)
			case !s.blocked[[2]int{m.from, m.to}] && !s.stopped[m.to]:
				m.deliver()
			}
		}
		for i := range s.n {
			if !s.stopped[i] && (s.now/step+time.Duration(7*i))%5 == 0 {
				s.step(i, Tick{})
			}
			if !s.stopped[i] && s.now >= s.nextLeaseAction[i] {
				s.lease(i)
			}
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.leader.Report(time.Unix(1000, 0).Add(s.lastReport), s.sessions.Reports(s.clock(s.n)))
			s.lastReport = s.now
			s.sessions.Step(s.clock(s.n), SessionTick{})
		}
		if _, ok := s.acceptedAt[s.committed]; !ok && s.leader.Applied(s.committed, s.registered()) {
			s.acceptedAt[s.committed] = s.now
		}
		s.check(t)
		check()
	}
}

func (s *simulation) check(t rapid.TB) {
	var owners []int
	for i, d := range s.daemons {
		if s.stopped[i] {
			continue
		}
		if _, ok := d.Holds(s.clock(i), pool); ok {
			owners = append(owners, i)
		}
		for r, at := range s.acceptedAt {
			if d.AcceptsWork(s.clock(i)) && d.revision < r && s.now-at > 4*time.Second {
				t.Fatalf("at %v %s accepts work with revision %d, but %d was accepted at %v", s.now, name(i), d.revision, r, at)
			}
		}
	}
	if len(owners) > 1 {
		t.Fatalf("at %v the pool has owners %v, want at most one", s.now, owners)
	}
}

// Guards against a daemon that accepts work with an outdated configuration and
// against two simultaneous owners of a pool, under random sequences of network
// partitions, delays, restarts, elections and registrations.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "daemons")
		maxDelay := time.Duration(rapid.SampledFrom([]int{5, 300, 2500}).Draw(t, "max delay, ms")) * time.Millisecond
		seed := rapid.Uint64().Draw(t, "seed")
		s := newSimulation(n, func() time.Duration { // splitmix64, so that a failing schedule is reproducible
			seed += 0x9e3779b97f4a7c15
			z := (seed ^ seed>>30) * 0xbf58476d1ce4e5b9
			return time.Duration((z ^ z>>27) % uint64(maxDelay))
		})
		for i := range s.clockRate {
			s.clockRate[i] = 1000 + rapid.IntRange(-4, 4).Draw(t, "rate")
		}
		s.run(t, 5*time.Second, func() {})
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "daemon"), rapid.IntRange(0, n).Draw(t, "peer")
			switch rapid.SampledFrom([]string{"cut", "cut", "heal", "heal all", "change", "toggle", "toggle", "restart", "elect", "lose control", "cut one way"}).Draw(t, "event") {
			case "cut":
				s.isolate(i, []int{j}, true)
			case "cut one way":
				s.blocked[[2]int{j, i}] = true
			case "heal":
				s.isolate(i, []int{j}, false)
			case "heal all":
				clear(s.blocked)
			case "change":
				s.propose(s.registered())
			case "toggle":
				s.toggle(i)
			case "restart":
				s.restart(i)
			case "elect":
				s.elect()
			case "lose control":
				for k := range n {
					s.isolate(n, []int{k}, true)
				}
			}
			s.run(t, time.Duration(rapid.IntRange(0, 400).Draw(t, "wait"))*step, func() {})
		}
	})
}

func newStableSimulation(t *rapid.T, n int) *simulation {
	s := newSimulation(n, func() time.Duration { return 5 * time.Millisecond })
	for i := range n { // start the daemons with random phases of heartbeats and renewals
		s.stopped[i] = true
	}
	for i := range n {
		s.run(t, time.Duration(rapid.IntRange(0, 25).Draw(t, "phase"))*step, func() {})
		s.stopped[i] = false
		s.restart(i)
	}
	s.run(t, 10*time.Second+time.Duration(rapid.IntRange(0, 100).Draw(t, "loss"))*step, func() {})
	return s
}

// Guards against daemons that stop accepting work and pools that lose their owner
// when the whole control group is lost, at any phase of heartbeats and renewals.
func TestDaemonsContinueWithoutControlGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStableSimulation(t, rapid.IntRange(1, 5).Draw(t, "daemons"))
		for i := range s.n {
			s.isolate(s.n, []int{i}, true)
		}
		s.run(t, 20*time.Second, func() {
			owned := false
			for i, d := range s.daemons {
				_, ok := d.Holds(s.clock(i), pool)
				owned = owned || ok
				if !d.AcceptsWork(s.clock(i)) {
					t.Fatalf("at %v %s is %v and rejects work", s.now, name(i), d.Standing(s.clock(i)))
				}
			}
			if !owned {
				t.Fatalf("at %v the pool has no owner", s.now)
			}
		})
	})
}

// Guards against an owner that continues without the control group while the
// other daemons are confirmed, and against a pool that gets no new owner
// afterwards.
func TestIsolatedOwnerStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStableSimulation(t, rapid.IntRange(3, 5).Draw(t, "daemons"))
		l, _ := s.table.Get(pool)
		i, since := index(l.Holder), s.now
		s.isolate(i, []int{s.n}, true)
		if rapid.Bool().Draw(t, "also from daemons") {
			s.isolate(i, []int{0, 1, 2, 3, 4}, true)
		}
		s.run(t, 12*time.Second, func() {
			if s.now-since > 3100*time.Millisecond && s.daemons[i].AcceptsWork(s.clock(i)) {
				t.Fatalf("%v after its isolation %s still accepts work", s.now-since, name(i))
			}
			if got, _ := s.table.Get(pool); s.now-since > 4*time.Second && got.Epoch == l.Epoch {
				t.Fatalf("pool has no new owner %v after its owner was isolated", s.now-since)
			}
		})
	})
}
