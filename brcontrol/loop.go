package brcontrol

import (
	"errors"
	"fmt"
	"sync"

	"bramleyroute/brerror"
	"bramleyroute/brlog"
)

// loop is the only goroutine that steps the reducer.
func (r *Replica) loop() {
	defer r.abandon()
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
			q.answer <- r.step(q.event)
		}
		r.proposeQueued()
	}
}

// proposeQueued proposes everything that arrived, as one batch. Proposals that
// arrive during a sync wait for it to end, and share the next one.
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
	accepted, ok := r.stepAccepting(brlog.Propose{Data: data}, batch).(brlog.Accepted)
	if !ok || accepted.Count != uint64(len(batch)) {
		err := brerror.New(brerror.NotLeader, "this replica doesn't take proposals at present")
		for _, p := range batch {
			p.finish(nil, err)
		}
	}
}

func (r *Replica) step(ev brlog.Event) brlog.Effect { return r.stepAccepting(ev, nil) }

// stepAccepting steps the reducer and carries its effects out. Proposals of an
// accepted batch start to wait for their entries. It returns the answer to ev.
func (r *Replica) stepAccepting(ev brlog.Event, batch []*proposal) (answer brlog.Effect) {
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	var effects []brlog.Effect
	if jumped(r.lastStep, now) {
		effects = r.state.Step(now, brlog.ClockJumped{})
	}
	effects = append(effects, r.state.Step(now, ev)...)
	r.lastStep = now
	r.mu.Unlock()
	for _, e := range effects {
		switch a := e.(type) {
		case brlog.Refused:
			answer = a
		case brlog.Accepted:
			answer = a
			r.await(a, batch)
		}
	}
	for _, e := range effects {
		if r.ctx.Err() != nil {
			break
		}
		r.perform(e)
	}
	return answer
}

// await makes the proposals of an accepted batch wait for their entries.
func (r *Replica) await(a brlog.Accepted, batch []*proposal) {
	for i, p := range batch {
		index := a.First + uint64(i)
		if old := r.waiters[index]; old != nil {
			old.finish(nil, errUnknown)
		}
		p.term = a.Term
		r.waiters[index] = p
	}
}

func (r *Replica) perform(e brlog.Effect) {
	switch e := e.(type) {
	case brlog.Accepted, brlog.Refused: // the answer of the step
	case brlog.Write:
		r.lastWrite = e.Seq
		r.disk.put(e)
	case brlog.SaveSnapshot, brlog.Compact:
		r.disk.put(e)
	case brlog.TakeSnapshot:
		data, err := r.cfg.Machine.Snapshot()
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
			out = r.cfg.Machine.Apply(e.Index, e.Data)
		case brlog.EntryMembership:
			membership = true
		}
		if p := r.waiters[e.Index]; p != nil {
			delete(r.waiters, e.Index)
			if p.term == e.Term {
				p.finish(out, nil)
			} else {
				p.finish(nil, brerror.New(brerror.NotLeader, "another leader's entry took the place of the proposal"))
			}
		}
		if r.electedTerm != 0 && e.Term == r.electedTerm {
			r.ledTerm, r.electedTerm = r.electedTerm, 0
			r.tellLeader(true, r.ledTerm)
		}
	}
	r.setApplied(entries[len(entries)-1].Index)
	if membership {
		r.membershipApplied()
	}
}

func (r *Replica) restore(s brlog.Snapshot) {
	if err := r.cfg.Machine.Restore(s.Data); err != nil {
		r.fatal(fmt.Errorf("brcontrol: restore snapshot %d: %w", s.Index, err))
		return
	}
	for i, p := range r.waiters {
		if i <= s.Index {
			delete(r.waiters, i)
			p.finish(nil, errUnknown)
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
	if r.ledTerm != 0 {
		term := r.ledTerm
		r.ledTerm = 0
		r.tellLeader(false, term)
	}
	r.changed.broadcast()
}

func (r *Replica) tellLeader(isLeader bool, term uint64) {
	if r.cfg.OnLeader != nil {
		r.cfg.OnLeader(isLeader, term)
	}
}

// abandon answers everyone who waits when the loop ends.
func (r *Replica) abandon() {
	for _, p := range r.waiters {
		p.finish(nil, errUnknown)
	}
	for _, p := range r.queue {
		p.finish(nil, errClosed)
	}
	if r.ledTerm != 0 {
		r.tellLeader(false, r.ledTerm)
	}
	r.changed.broadcast()
}

// diskQueue holds what is to be done on the disk, in order.
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

func (q *diskQueue) take() []brlog.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	ops := q.ops
	q.ops = nil
	return ops
}

// runDisk writes what the loop asks for; writes that wait share a sync.
func (r *Replica) runDisk() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.disk.wake:
		}
		for ops := r.disk.take(); len(ops) > 0 && r.ctx.Err() == nil; {
			rest, done, err := r.diskStep(ops)
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

// diskStep carries out the first of ops, together with the writes that follow
// if it is a write. It returns the rest and the event that reports it.
func (r *Replica) diskStep(ops []brlog.Effect) (rest []brlog.Effect, done brlog.Event, err error) {
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
