package brcontrol

import (
	"context"

	"bramleyroute/brerror"
	"bramleyroute/brlog"
	"bramleyroute/brpeer"
)

// errOutcomeUnknown is returned for a proposal that was appended to the log and may
// have been committed.
var errOutcomeUnknown = brerror.New(brerror.NoQuorum, "the outcome of the proposal is unknown")

// proposal is a pending proposal of one caller.
type proposal struct {
	data []byte
	term uint64
	done chan proposalResult // buffered, so that finish doesn't block
}

type proposalResult struct {
	data []byte
	err  error
}

func (p *proposal) finish(out []byte, err error) { p.done <- proposalResult{out, err} }

// request is an event submitted to the loop that expects a single reply.
type request struct {
	event brlog.Event
	reply chan brlog.Effect
}

// Propose appends data to the log and returns the result of StateMachine.Apply for
// the entry. Followers forward the proposal to the leader. The error is of kind
// NotLeader if the entry was not appended, NoQuorum if it may have been appended,
// TooLarge if data exceeds MaxProposalBytes, or ShuttingDown. If ctx has no
// earlier deadline, Propose times out after 5 s.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxProposalBytes {
		return nil, brerror.New(brerror.TooLarge, "proposal of %d bytes exceeds the limit of %d bytes", len(data), MaxProposalBytes)
	}
	var out []byte
	err := r.callLeader(ctx, func(ctx context.Context, c *brpeer.Conn) (err error) {
		if c != nil {
			var reply proposeReply
			reply, err = brpeer.Call[proposeRequest, proposeReply](ctx, c, r.name(callPropose), proposeRequest{data})
			out = reply.Result
			return err
		}
		out, err = r.proposeLocal(ctx, data)
		return err
	})
	return out, err
}

// callLeader calls f with a connection to the leader, or with nil if this replica
// is the leader. It retries errors of kind NotLeader until ctx is done or
// proposeTimeout has elapsed.
func (r *Replica) callLeader(ctx context.Context, f func(context.Context, *brpeer.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		changed := r.changed.wait()
		address, self := r.leader()
		err := error(brerror.New(brerror.NotLeader, "leader is unknown"))
		switch {
		case self:
			err = f(ctx, nil)
		case address != "":
			if c := r.connect(ctx, address); c != nil {
				err = f(ctx, c)
			}
		}
		if err == nil {
			return nil
		}
		if !isReplicaError(err) {
			return brerror.New(brerror.NoQuorum, "leader at %s did not reply: %w", address, err)
		}
		if !brerror.Is(err, brerror.NotLeader) {
			return err
		}
		select {
		case <-changed: // broadcast at least once per tick
		case <-ctx.Done():
			return err
		case <-r.ctx.Done():
			return errClosed
		}
	}
}

// isReplicaError reports whether err was returned by a replica rather than by the
// connection.
func isReplicaError(err error) bool { return brerror.From(err).Kind != brerror.Internal }

// proposeLocal proposes data on this replica, which must be the leader.
func (r *Replica) proposeLocal(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{data: data, done: make(chan proposalResult, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, brerror.New(brerror.NotLeader, "proposal was not queued: %w", ctx.Err())
	case <-r.ctx.Done():
		return nil, errClosed
	}
	select {
	case a := <-p.done:
		return a.data, a.err
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	select {
	case a := <-p.done:
		return a.data, a.err
	default:
		return nil, errOutcomeUnknown
	}
}

// ReadBarrier returns once the state machine of this replica has applied every
// entry that was committed when ReadBarrier was called, so that subsequent reads
// of the state machine are linearizable. Errors are as for Propose. ReadBarrier
// appends nothing to the log.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var index uint64
	err := r.callLeader(ctx, func(ctx context.Context, c *brpeer.Conn) (err error) {
		if c != nil {
			var reply indexReply
			reply, err = brpeer.Call[struct{}, indexReply](ctx, c, r.name(callRead), struct{}{})
			index = reply.Index
			if err != nil && !isReplicaError(err) { // reads are safe to retry
				err = brerror.New(brerror.NotLeader, "leader did not reply: %w", err)
			}
			return err
		}
		index, err = r.readIndex()
		return err
	})
	if err != nil {
		return err
	}
	return r.waitApplied(ctx, index)
}

func (r *Replica) readIndex() (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if r.state != nil && !r.failed && !clockJumped(r.lastStep, now) {
		if i, ok := r.state.ReadIndex(now); ok {
			return i, nil
		}
	}
	return 0, brerror.New(brerror.NotLeader, "this replica does not hold a valid leader lease")
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		changed := r.changed.wait()
		closed := r.ctx.Err() != nil
		r.mu.Lock()
		applied := r.applied
		r.mu.Unlock()
		switch {
		case applied >= index:
			return nil
		case closed:
			return errClosed
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
		case <-ctx.Done():
			return brerror.New(brerror.NoQuorum, "entry %d is not applied yet, last applied entry is %d: %w", index, applied, ctx.Err())
		}
	}
}

// AddReplica adds m to the group as a learner. The leader promotes it to a voter
// once it has caught up. Errors are as for Propose, and of kind InvalidRequest if
// the ID of m was removed from the group before.
func (r *Replica) AddReplica(ctx context.Context, m brlog.Member) error {
	return r.change(ctx, changeRequest{Add: m})
}

// RemoveReplica permanently removes a member from the group. Errors are as for
// Propose, and of kind InvalidRequest if the change would leave no majority of
// live voters.
func (r *Replica) RemoveReplica(ctx context.Context, id brlog.ID) error {
	return r.change(ctx, changeRequest{Remove: id})
}

func (r *Replica) change(ctx context.Context, req changeRequest) error {
	var index uint64
	err := r.callLeader(ctx, func(ctx context.Context, c *brpeer.Conn) error {
		call := r.changeLocal
		if c != nil {
			call = func(ctx context.Context, req changeRequest) (indexReply, error) {
				return brpeer.Call[changeRequest, indexReply](ctx, c, r.name(callChange), req)
			}
		}
		reply, err := call(ctx, req)
		index = reply.Index
		return err
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.waitApplied(ctx, index)
}

// changeLocal starts a membership change on this replica, which must be the
// leader. It returns the index of the entry that contains the change, or 0 if the
// membership already has it.
func (r *Replica) changeLocal(ctx context.Context, req changeRequest) (indexReply, error) {
	reply, err := r.submit(ctx, brlog.ChangeMember{Add: req.Add, Remove: req.Remove})
	if err != nil {
		return indexReply{}, err
	}
	return changeReply(reply)
}

// changeReply returns the reply to a request for a membership change.
func changeReply(reply brlog.Effect) (indexReply, error) {
	switch a := reply.(type) {
	case brlog.Accepted:
		return indexReply{a.First}, nil
	case brlog.Refused:
		switch a.Reason {
		case brlog.ChangeAlreadyMade:
			return indexReply{}, nil
		case brlog.Invalid, brlog.NoMajority:
			return indexReply{}, brerror.New(brerror.InvalidRequest, "membership change refused: %v", a.Reason)
		}
	}
	return indexReply{}, errChangeNotPossible
}

// errChangeNotPossible is the reply to a membership change that may be possible later.
var errChangeNotPossible = brerror.New(brerror.NotLeader, "membership change is not possible at present")

// YieldVote gives up the vote of this replica, so that the group tolerates as many losses
// after the end of its process as before. Before that, another replica takes the vote. It
// returns nil once this replica has no vote; it then gets none until Close, also if another
// voter is lost. YieldVote returns an error of kind InvalidRequest if no replica can take the
// vote, or if the leader's build knows no such request; the vote is kept then. It tries again
// until ctx is done if no leader can be reached.
func (r *Replica) YieldVote(ctx context.Context) error {
	for r.isVoter() {
		err := r.tryYield(ctx)
		switch {
		case brerror.Is(err, brerror.InvalidRequest):
			return err
		case ctx.Err() != nil:
			return brerror.New(brerror.NoQuorum, "vote was not yielded: %w", ctx.Err())
		case r.ctx.Err() != nil:
			return errClosed
		}
		r.sleep(tickInterval) // until this replica has the change, or a leader is elected
	}
	r.yielded.Do(func() { close(r.yieldedVote) })
	return nil
}

// keepYielded repeats the request to yield the vote once YieldVote has returned nil: the
// request holds for a limited time, and a new leader doesn't know it.
func (r *Replica) keepYielded() {
	select {
	case <-r.yieldedVote:
	case <-r.ctx.Done():
	}
	for r.ctx.Err() == nil {
		if err := r.tryYield(r.ctx); brerror.Is(err, brerror.InvalidRequest) {
			return
		}
		r.sleep(max(r.cfg.VoterTimeout/yieldPart, tickInterval))
	}
}

// isVoter reports whether this replica has a vote, as far as it knows.
func (r *Replica) isVoter() bool {
	st := r.Status()
	return !st.Forming && st.Membership.IsVoter(st.ID)
}

// tryYield transfers the leadership and asks the leader once to make this replica a learner.
func (r *Replica) tryYield(ctx context.Context) error {
	if err := r.TransferLeadership(ctx); err != nil {
		return err
	}
	return r.requestYield(ctx, r.Status().ID)
}

// requestYield asks the leader to make this replica a learner, and waits until it has.
func (r *Replica) requestYield(ctx context.Context, id brlog.ID) error {
	return r.callLeader(ctx, func(ctx context.Context, c *brpeer.Conn) error {
		if c == nil {
			// Not of kind NotLeader, which callLeader would try again without a transfer.
			return brerror.New(brerror.NoQuorum, "this replica has become the leader")
		}
		_, err := brpeer.Call[yieldRequest, indexReply](ctx, c, r.name(callYield), yieldRequest{id})
		return err
	})
}

// yieldLocal passes a request to yield a vote to this replica, which must be the leader. The
// error is of kind NotLeader until the change is made.
func (r *Replica) yieldLocal(ctx context.Context, req yieldRequest) (indexReply, error) {
	reply, err := r.submit(ctx, brlog.YieldVote{ID: req.ID})
	if err != nil {
		return indexReply{}, err
	}
	return changeReply(reply)
}

// TransferLeadership transfers leadership to another voter and returns once this
// replica is no longer the leader. It does nothing on a follower. It is intended
// to be called before a planned shutdown.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		changed := r.changed.wait()
		if _, self := r.leader(); !self {
			return nil
		}
		reply, err := r.submit(ctx, brlog.Transfer{})
		if err != nil {
			return err
		}
		if a, ok := reply.(brlog.Refused); ok && a.Reason == brlog.NoMajority && r.Status().Membership.Voters() == 1 {
			return brerror.New(brerror.NoQuorum, "the group has no other voter")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return brerror.New(brerror.NoQuorum, "leadership was not transferred: %w", ctx.Err())
		case <-r.ctx.Done():
			return errClosed
		}
	}
}

// submit calls State.Step with ev on the loop goroutine and returns the Accepted
// or Refused effect, or nil if there is none.
func (r *Replica) submit(ctx context.Context, ev brlog.Event) (brlog.Effect, error) {
	q := &request{event: ev, reply: make(chan brlog.Effect, 1)}
	select {
	case r.requests <- q:
		return <-q.reply, nil
	case <-ctx.Done():
		return nil, brerror.New(brerror.NotLeader, "replica is busy: %w", ctx.Err())
	case <-r.ctx.Done():
		return nil, errClosed
	}
}
