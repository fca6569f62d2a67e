package brlog

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	orderSeed  = flag.Uint64("order-seed", 1, "seed of the first schedule of membership changes")
	orderCount = flag.Uint64("order-count", 60, "number of schedules of membership changes")
)

// failedOrderSeeds are seeds of schedules that failed once: 11485 loses the leader for good, so
// that an election needs a second round, and 10926 another voter while one yields its vote.
var failedOrderSeeds = []uint64{11485, 10926}

const (
	orderCatchUp = 4 * time.Second // from the start of a replica until it counts
	orderGrace   = 8 * time.Second // from the begin of a planned stop to its end
	orderDrain   = 6000            // limit of the time for which a process serves before it ends, in ms

	orderSpareTimeout   = time.Second // as in brcore, like the next two
	orderVoterTimeout   = 2500 * time.Millisecond
	orderLearnerTimeout = 10 * time.Second
)

// orderRun is a schedule of replicas that join, stop, are lost and restart. No more of them
// are lost at a time than the group tolerates.
type orderRun struct {
	*sim
	tolerance int
	core      []*node // the machines that count
	drains    bool    // processes that stop run on for a while after they have yielded
}

func newOrderRun(seed uint64) *orderRun {
	r := &orderRun{tolerance: 1 + int(seed%4/3)}
	r.sim = newSimOf(1, seed, mutation{})
	r.dropRate, r.faultsEnded, r.byAddress = 0, true, true
	r.onHalt = func(n *node) { r.rejoin(n) }
	r.configure = func(c *Config) { // as in brcore
		c.ElectionTimeout, c.HeartbeatInterval, c.LeaseDuration = 300*time.Millisecond, 60*time.Millisecond, 240*time.Millisecond
		c.MaxVoters, c.VoterTimeout = r.maxVoters(), orderSpareTimeout
	}
	members := r.maxVoters() + int(seed%3)
	r.kill(r.nodes[0])
	r.nodes = nil
	r.bootstrap(members)
	r.scheduleWork()
	r.scheduleRemoval()
	return r
}

func (r *orderRun) maxVoters() int { return 2*r.tolerance + 1 }

// bootstrap starts a group of n voters, which may be more than it should have, as an earlier
// build left it.
func (r *orderRun) bootstrap(n int) {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: ID(fmt.Sprintf("r%d", i)), Address: fmt.Sprint(i)})
	}
	for i, m := range members {
		x := &node{slot: i, id: m.ID, rate: 1, syncLatency: r.ms(0, 8), stored: Bootstrap(m.ID, members)}
		r.nodes, r.core = append(r.nodes, x), append(r.core, x)
		r.start(x)
	}
}

// scheduleRemoval removes silent members that aren't needed, as brcore does.
func (r *orderRun) scheduleRemoval() {
	r.after(250*time.Millisecond, func() {
		for _, n := range r.nodes {
			if !n.up || n.id != r.leaderID() {
				continue
			}
			st := n.state.Status()
			for id, silent := range st.SinceLastReply {
				voter := st.Membership.IsVoter(id)
				if voter && silent >= orderVoterTimeout && st.Membership.Voters() > r.maxVoters() || !voter && silent >= orderLearnerTimeout {
					r.step(n, ChangeMember{Remove: id})
				}
			}
		}
		r.scheduleRemoval()
	})
}

// join starts a replica with an empty disk at a new address.
func (r *orderRun) join() {
	i := len(r.nodes)
	n := &node{slot: i, id: ID(fmt.Sprintf("r%d", i)), rate: 1, syncLatency: r.ms(0, 8), diskLosses: 1}
	r.nodes, r.core = append(r.nodes, n), append(r.core, n)
	r.start(n)
}

// stopByPlan yields the vote of n and calls done when its process ends.
func (r *orderRun) stopByPlan(n *node, done func()) {
	end, drained := r.now+orderGrace, r.now
	if r.drains {
		drained += r.ms(0, orderDrain)
	}
	var step func()
	step = func() {
		if r.now < end && n.up && (r.yield(n) || r.now < drained) {
			r.after(50*time.Millisecond, step)
			return
		}
		r.kill(n)
		done()
	}
	step()
}

// yield requests that n becomes or stays a learner, and reports whether it has a vote that it
// may still lose.
func (r *orderRun) yield(n *node) bool {
	if n.state.role == leader {
		r.step(n, Transfer{})
		return true
	}
	for _, l := range r.nodes {
		if l.up && l.id == r.leaderID() {
			a, _ := r.step(l, YieldVote{n.id}).(Refused)
			return a.Reason != Invalid && n.state.membership.IsVoter(n.id)
		}
	}
	return n.state.membership.IsVoter(n.id)
}

func (r *orderRun) pick() *node { return r.core[r.rng.IntN(len(r.core))] }

func (r *orderRun) forget(n *node) {
	for i, x := range r.core {
		if x == n {
			r.core = append(r.core[:i:i], r.core[i+1:]...)
		}
	}
}

// wait runs the schedule for d and checks at its end that an entry is committed soon.
func (r *orderRun) wait(d time.Duration) {
	r.runFor(d)
	r.checkCommits()
}

// checkCommits fails unless an entry is committed within 3 s.
func (r *orderRun) checkCommits() {
	deadline := r.now + 3*time.Second
	before := r.lastApplied()
	var proposed uint64
	r.runUntil(deadline, func() bool {
		if proposed <= before {
			for _, n := range r.nodes {
				if n.up && n.id == r.leaderID() {
					if a, ok := r.propose(n).(Accepted); ok {
						proposed = a.First
					}
				}
			}
		}
		return proposed > before && r.lastApplied() >= proposed
	})
	if r.lastApplied() <= before {
		r.fail("no entry is committed; status: %v", r.statuses())
	}
}

func (r *orderRun) lastApplied() (last uint64) {
	for _, n := range r.nodes {
		if n.up {
			last = max(last, n.applied)
		}
	}
	return last
}

// loseOne loses a machine that counts, in one of the ways that the platform names, and returns
// when it, or its successor, counts again.
func (r *orderRun) loseOne() {
	n := r.pick()
	r.kill(n)
	down := r.ms(0, 2000)
	switch r.rng.IntN(3) {
	case 0: // killed
		r.after(down, func() { r.restart(n) })
	case 1: // its disk is lost as well
		n.formerIDs = append(n.formerIDs, n.id)
		n.stored, n.diskLosses, n.replaces = StoredState{}, n.diskLosses+1, n.id
		n.id = ID(fmt.Sprintf("r%d.%d", n.slot, n.diskLosses))
		r.after(down, func() { r.restart(n) })
	case 2: // gone for good
		r.forget(n)
		r.after(down, r.join)
	}
	r.wait(time.Second)
	r.runFor(max(0, down-time.Second) + orderCatchUp)
}

// event plays one event, beside which as many other machines as the group tolerates are lost.
func (r *orderRun) event() {
	switch n := r.pick(); r.rng.IntN(4) {
	case 3: // replacement without a signal, until a learner has taken the vote
		r.join()
		r.runFor(orderCatchUp)
		r.forget(n)
		r.kill(n)
		r.runFor(2 * time.Second)
	case 0: // planned replacement
		r.join()
		r.runFor(orderCatchUp)
		r.forget(n)
		r.stopByPlan(n, func() {})
		r.runFor(r.ms(0, 3000))
	case 1: // restart in turn, which counts as a loss
		r.stopByPlan(n, func() { r.after(r.ms(100, 2000), func() { r.restart(n) }) })
		r.wait(r.ms(0, 3000))
		r.runFor(orderGrace)
		r.runFor(orderCatchUp)
	case 2:
	}
	r.loseOne()
	if r.tolerance > 1 {
		r.loseOne()
	}
}

// check fails unless the group soon has the number of voters that it should have, all of them
// running.
func (r *orderRun) check() {
	r.runUntil(r.now+2*time.Second, r.balanced)
	if !r.balanced() {
		r.fail("the group has not %d voters that run; status: %v", r.maxVoters(), r.statuses())
	}
}

func (r *orderRun) balanced() bool {
	for _, n := range r.nodes {
		if !n.up || n.id != r.leaderID() {
			continue
		}
		running := 0
		for _, x := range r.nodes {
			if x.up && n.state.membership.IsVoter(x.id) {
				running++
			}
		}
		return running == r.maxVoters() && n.state.membership.Voters() == running
	}
	return false
}

func runOrder(seed uint64, drains bool) (err error) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case violation:
			err = fmt.Errorf("seed %d, drains %v: %s", seed, drains, string(v))
		case string: // panic of an assertion in the package
			err = fmt.Errorf("seed %d, drains %v: %s", seed, drains, v)
		default:
			panic(v)
		}
	}()
	r := newOrderRun(seed)
	r.drains = drains
	r.wait(3 * time.Second)
	for range 6 {
		r.event()
		r.wait(0)
		r.check()
	}
	return nil
}

// TestOneLossLeavesMajority guards against a group that a further loss leaves without a
// majority although it is one that the group tolerates: while a replica is replaced as planned
// or not, restarts, or has lost its disk.
func TestOneLossLeavesMajority(t *testing.T) {
	seeds := slices.Clone(failedOrderSeeds)
	for i := range *orderCount {
		seeds = append(seeds, *orderSeed+i)
	}
	for _, seed := range seeds {
		for _, drains := range []bool{false, true} {
			if err := runOrder(seed, drains); err != nil {
				t.Error(err)
			}
		}
	}
}

// TestLostLeaderLosesItsVote guards against a leader that is gone for good and counts as a
// voter for longer after an election, so that one further loss leaves no majority. A learner
// takes its vote once it has been silent for VoterTimeout, or right after a longer election.
func TestLostLeaderLosesItsVote(t *testing.T) {
	const after = 200 * time.Millisecond // an entry is committed, then a tick, then the change
	for seed := range uint64(60) {
		r := newOrderRun(seed)
		r.runFor(3 * time.Second)
		r.join()
		r.runFor(orderCatchUp)
		lost := r.leaderID()
		for _, n := range r.core {
			if n.id == lost {
				r.kill(n)
			}
		}
		due := r.now + orderSpareTimeout
		r.runUntil(due+5*time.Second, func() bool { return r.leaderID() != "" })
		elected := r.now
		due = max(due, elected) + after
		voted := func() bool {
			for _, n := range r.nodes {
				if n.up && n.id == r.leaderID() {
					return !n.state.membership.IsVoter(lost) && n.state.membershipIndex <= n.state.commit
				}
			}
			return false
		}
		r.runUntil(due+5*time.Second, voted)
		if r.now > due {
			t.Errorf("seed %d: %s is a voter until %v, want at most %v; a leader was elected at %v", seed, lost, r.now, due, elected)
		}
	}
}

// TestYieldedVoteStaysYielded guards against a replica that has yielded its vote and gets it
// back while it still drains, since another voter is lost: its end is a second loss then.
func TestYieldedVoteStaysYielded(t *testing.T) {
	for seed := range uint64(20) {
		r := newOrderRun(seed)
		r.runFor(3 * time.Second)
		r.join()
		r.join()
		r.runFor(orderCatchUp)
		var voters []*node
		for _, n := range r.core {
			if n.state.role == follower && n.state.membership.IsVoter(n.id) {
				voters = append(voters, n)
			}
		}
		leaving := voters[0]
		for r.yield(leaving) {
			r.runFor(50 * time.Millisecond)
		}
		for _, n := range voters[1:] {
			r.kill(n)
		}
		for range 60 {
			r.runFor(50 * time.Millisecond)
			if r.yield(leaving) {
				t.Errorf("seed %d: %s is a voter again at %v while it leaves", seed, leaving.id, r.now)
				break
			}
		}
	}
}
