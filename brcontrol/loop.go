package brcontrol

import (
	"errors"
	"fmt"
	"sync"

	"bramleyroute/brerror"
	"bramleyroute/brlog"
)

// loop runs the brlog.State until the replica stops. No other goroutine calls its
// Step method.
func (r *Replica) loop() {
	defer r.failPending()
	tick := r.cfg.Clock.After(tickInterval)
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick:
			tick = r.cfg.Clock.After(tickInterval)
			r.step(brlog.Tick{})
			r.changed.broadcast()
		case m := <-r.inbox:
			r.step(brlog.Receive{Message: m})
		case ev := <-r.diskEvents:
			if s, ok := ev.(brlog.Synced); ok {
				r.lastSynced = s.Seq
			}
			r.step(ev)
		case p := <-r.proposals:
			r.queue = append(r.queue, p)
		case q := <-r.requests:
			q.reply <- r.step(q.event)
		}
		r.proposeQueued()
	}
}

// proposeQueued proposes all pending proposals as one batch. Proposals that
// arrive during a sync are batched into the next one.
func (r *Replica) proposeQueued() {
	for len(r.proposals) > 0 {
		r.queue = append(r.queue, <-r.proposals)
	}
	if len(r.queue) == 0 || r.lastWrite > r.lastSynced {
		return
	}
	batch := r.queue
	r.queue = nil
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	accepted, ok := r.stepBatch(brlog.Propose{Data: data}, batch).(brlog.Accepted)
	if !ok || accepted.Count != uint64(len(batch)) {
		err := brerror.New(brerror.NotLeader, "this replica cannot accept proposals at present")
		for _, p := range batch {
			p.finish(nil, err)
		}
	}
}

func (r *Replica) step(ev brlog.Event) brlog.Effect { return r.stepBatch(ev, nil) }

// stepBatch calls State.Step with ev and executes the resulting effects. If ev
// is an accepted Propose event, the proposals in batch are registered as waiters
// for their entries. stepBatch returns the Accepted or Refused effect, or nil if
// there is none.
func (r *Replica) stepBatch(ev brlog.Event, batch []*proposal) (reply brlog.Effect) {
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	var effects []brlog.Effect
	if clockJumped(r.lastStep, now) {
		effects = r.state.Step(now, brlog.ClockJumped{})
	}
	effects = append(effects, r.state.Step(now, ev)...)
	r.lastStep = now
	r.mu.Unlock()
	for _, e := range effects {
		switch a := e.(type) {
		case brlog.Refused:
			reply = a
		case brlog.Accepted:
			reply = a
			r.registerWaiters(a, batch)
		}
	}
	for _, e := range effects {
		if r.ctx.Err() != nil {
			break
		}
		r.execute(e)
	}
	return reply
}

// registerWaiters records which log entry completes each proposal of an accepted
// batch.
func (r *Replica) registerWaiters(a brlog.Accepted, batch []*proposal) {
	for i, p := range batch {
		index := a.First + uint64(i)
		if old := r.waiters[index]; old != nil {
			old.finish(nil, errOutcomeUnknown)
		}
		p.term = a.Term
		r.waiters[index] = p
	}
}

func (r *Replica) execute(e brlog.Effect) {
	switch e := e.(type) {
	case brlog.Accepted, brlog.Refused: // returned by stepBatch
	case brlog.Write:
		r.lastWrite = e.Seq
		r.disk.put(e)
	case brlog.SaveSnapshot, brlog.Compact:
		r.disk.put(e)
	case brlog.TakeSnapshot:
		data, err := r.cfg.StateMachine.Snapshot()
		if err != nil {
			r.fatal(fmt.Errorf("brcontrol: snapshot at entry %d: %w", e.Index, err))
			return
		}
		r.disk.put(brlog.SaveSnapshot{Snapshot: brlog.Snapshot{
			Index: e.Index, Term: e.Term, Membership: e.Membership, Data: data,
		}})
	case brlog.Send:
		r.transmit(e)
	case brlog.Apply:
		r.apply(e.Entries)
	case brlog.Restore:
		r.restore(e.Snapshot)
	case brlog.LeaderChanged:
		r.leaderChanged(e)
	case brlog.Halt:
		r.mu.Lock()
		removed := r.state.Status().Removed
		r.mu.Unlock()
		if removed {
			r.fatal(ErrRemoved)
			return
		}
		r.fatal(errors.New("brcontrol: " + e.Reason))
	default:
		panic(fmt.Sprintf("brcontrol: unknown effect %T", e))
	}
}

func (r *Replica) apply(entries []brlog.Entry) {
	membership := false
	for _, e := range entries {
		var out []byte
		switch e.Kind {
		case brlog.EntryData:
			out = r.cfg.StateMachine.Apply(e.Index, e.Data)
		case brlog.EntryMembership:
			membership = true
		}
		if p := r.waiters[e.Index]; p != nil {
			delete(r.waiters, e.Index)
			if p.term == e.Term {
				p.finish(out, nil)
			} else {
				p.finish(nil, brerror.New(brerror.NotLeader, "the proposal was overwritten by an entry of another leader"))
			}
		}
		if r.electedTerm != 0 && e.Term == r.electedTerm {
			r.notifiedTerm, r.electedTerm = r.electedTerm, 0
			r.notifyLeader(true, r.notifiedTerm)
		}
	}
	r.setApplied(entries[len(entries)-1].Index)
	if membership {
		r.membershipApplied()
	}
}

func (r *Replica) restore(s brlog.Snapshot) {
	if err := r.cfg.StateMachine.Restore(s.Data); err != nil {
		r.fatal(fmt.Errorf("brcontrol: restore snapshot %d: %w", s.Index, err))
		return
	}
	for i, p := range r.waiters {
		if i <= s.Index {
			delete(r.waiters, i)
			p.finish(nil, errOutcomeUnknown)
		}
	}
	r.setApplied(s.Index)
}

func (r *Replica) setApplied(index uint64) {
	r.mu.Lock()
	r.applied = index
	r.mu.Unlock()
	r.changed.broadcast()
	if r.cfg.OnApplied != nil {
		r.cfg.OnApplied(index)
	}
}

func (r *Replica) leaderChanged(c brlog.LeaderChanged) {
	r.electedTerm = 0
	if c.Self {
		r.electedTerm = c.Term
	}
	if r.notifiedTerm != 0 {
		term := r.notifiedTerm
		r.notifiedTerm = 0
		r.notifyLeader(false, term)
	}
	r.changed.broadcast()
}

func (r *Replica) notifyLeader(isLeader bool, term uint64) {
	if r.cfg.OnLeader != nil {
		r.cfg.OnLeader(isLeader, term)
	}
}

// failPending completes all pending proposals with an error and withdraws the
// leadership notification when the loop ends.
func (r *Replica) failPending() {
	for _, p := range r.waiters {
		p.finish(nil, errOutcomeUnknown)
	}
	for _, p := range r.queue {
		p.finish(nil, errClosed)
	}
	if r.notifiedTerm != 0 {
		r.notifyLeader(false, r.notifiedTerm)
	}
	r.changed.broadcast()
}

// diskQueue is a FIFO queue of disk operations.
type diskQueue struct {
	mu   sync.Mutex
	ops  []brlog.Effect
	wake chan struct{}
}

func (q *diskQueue) put(e brlog.Effect) {
	q.mu.Lock()
	q.ops = append(q.ops, e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *diskQueue) drain() []brlog.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	ops := q.ops
	q.ops = nil
	return ops
}

// runDisk executes queued disk operations. Consecutive writes share one sync.
func (r *Replica) runDisk() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.disk.wake:
		}
		for ops := r.disk.drain(); len(ops) > 0 && r.ctx.Err() == nil; {
			rest, done, err := r.runDiskOp(ops)
			if err != nil {
				r.fatal(err)
				return
			}
			if ops = rest; done == nil {
				continue
			}
			select {
			case r.diskEvents <- done:
			case <-r.ctx.Done():
			}
		}
	}
}

// runDiskOp executes the first operation of ops. If it is a write, the writes
// that directly follow it are executed with it. runDiskOp returns the remaining
// operations and the completion event, which is nil for a compaction.
func (r *Replica) runDiskOp(ops []brlog.Effect) (rest []brlog.Effect, done brlog.Event, err error) {
	switch e := ops[0].(type) {
	case brlog.SaveSnapshot:
		return ops[1:], brlog.SnapshotSaved(e), r.wal.SaveSnapshot(e.Snapshot)
	case brlog.Compact:
		return ops[1:], nil, r.wal.Compact(e.Index)
	}
	var writes []brlog.Write
	for len(ops) > 0 {
		w, ok := ops[0].(brlog.Write)
		if !ok {
			break
		}
		writes, ops = append(writes, w), ops[1:]
	}
	return ops, brlog.Synced{Seq: writes[len(writes)-1].Seq}, r.wal.Append(writes...)
}
