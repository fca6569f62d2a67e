package brcontrol

import (
	"context"

	"bramleyroute/brerror"
	"bramleyroute/brlog"
	"bramleyroute/brpeer"
)

// errUnknown answers a proposal that was handed to the log and may be committed.
var errUnknown = brerror.New(brerror.NoQuorum, "the outcome of the proposal is unknown")

// proposal is one caller's proposal on its way through the log.
type proposal struct {
	data []byte
	term uint64
	done chan proposed // has room for the only answer
}

type proposed struct {
	out []byte
	err error
}

func (p *proposal) finish(out []byte, err error) { p.done <- proposed{out, err} }

// request is an event from outside the loop that gets one answer.
type request struct {
	event  brlog.Event
	answer chan brlog.Effect
}

// Propose appends data to the log and returns what the state machine answered
// when it applied the entry. A follower forwards to the leader. Errors are of
// kind NotLeader when the entry was certainly not appended, NoQuorum when it
// may have been, TooLarge, or ShuttingDown. Without an earlier deadline in ctx,
// Propose gives up after 5 s.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > MaxProposal {
		return nil, brerror.New(brerror.TooLarge, "proposal of %d bytes exceeds %d", len(data), MaxProposal)
	}
	var out []byte
	err := r.atLeader(ctx, func(ctx context.Context, c *brpeer.Conn) (err error) {
		if c != nil {
			var reply proposeReply
			reply, err = brpeer.Call[proposeRequest, proposeReply](ctx, c, r.name(callPropose), proposeRequest{data})
			out = reply.Result
			return err
		}
		out, err = r.proposeHere(ctx, data)
		return err
	})
	return out, err
}

// atLeader runs f where the leader is: with its connection, or with nil if it
// is this replica. It tries again after NotLeader until ctx ends.
func (r *Replica) atLeader(ctx context.Context, f func(context.Context, *brpeer.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		changed := r.changed.wait()
		address, self := r.leader()
		err := error(brerror.New(brerror.NotLeader, "no leader is known"))
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
		if !isKind(err) {
			return brerror.New(brerror.NoQuorum, "leader at %s did not answer: %w", address, err)
		}
		if !brerror.Is(err, brerror.NotLeader) {
			return err
		}
		select {
		case <-changed: // at the next tick at the latest
		case <-ctx.Done():
			return err
		case <-r.ctx.Done():
			return errClosed
		}
	}
}

// isKind reports whether err came from a replica, and not from the connection.
func isKind(err error) bool { return brerror.From(err).Kind != brerror.Internal }

// proposeHere proposes on this replica, which must be the leader.
func (r *Replica) proposeHere(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{data: data, done: make(chan proposed, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, brerror.New(brerror.NotLeader, "proposal was not taken: %w", ctx.Err())
	case <-r.ctx.Done():
		return nil, errClosed
	}
	select {
	case a := <-p.done:
		return a.out, a.err
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	select {
	case a := <-p.done:
		return a.out, a.err
	default:
		return nil, errUnknown
	}
}

// ReadBarrier returns once the state machine of this replica has applied every
// entry that was committed when ReadBarrier was called, so that a read of it is
// linearizable. Errors are as for Propose; nothing was appended.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var index uint64
	err := r.atLeader(ctx, func(ctx context.Context, c *brpeer.Conn) (err error) {
		if c != nil {
			var reply indexReply
			reply, err = brpeer.Call[struct{}, indexReply](ctx, c, r.name(callRead), struct{}{})
			index = reply.Index
			if err != nil && !isKind(err) { // a read can be asked for again
				err = brerror.New(brerror.NotLeader, "leader did not answer: %w", err)
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
	if r.state != nil && !r.failed && !jumped(r.lastStep, now) {
		if i, ok := r.state.ReadIndex(now); ok {
			return i, nil
		}
	}
	return 0, brerror.New(brerror.NotLeader, "this replica holds no leader lease")
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
			return brerror.New(brerror.NoQuorum, "entry %d is not applied yet, at %d: %w", index, applied, ctx.Err())
		}
	}
}

// AddReplica adds a learner to the group. It gets its vote once it has caught
// up. Errors are as for Propose; a removed id is refused with InvalidRequest.
func (r *Replica) AddReplica(ctx context.Context, m brlog.Member) error {
	return r.change(ctx, changeRequest{Add: m})
}

// RemoveReplica removes a member for good. Errors are as for Propose; a change
// that leaves no majority of live voters is refused with InvalidRequest.
func (r *Replica) RemoveReplica(ctx context.Context, id brlog.ID) error {
	return r.change(ctx, changeRequest{Remove: id})
}

func (r *Replica) change(ctx context.Context, req changeRequest) error {
	var index uint64
	err := r.atLeader(ctx, func(ctx context.Context, c *brpeer.Conn) error {
		call := r.changeHere
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

// changeHere starts a membership change on this replica, which must be the
// leader. It returns the entry that will commit it.
func (r *Replica) changeHere(ctx context.Context, req changeRequest) (indexReply, error) {
	answer, err := r.ask(ctx, brlog.ChangeMember{Add: req.Add, Remove: req.Remove})
	if err != nil {
		return indexReply{}, err
	}
	switch a := answer.(type) {
	case brlog.Accepted:
		return indexReply{a.First}, nil
	case brlog.Refused:
		switch a.Reason {
		case brlog.AlreadyThere:
			return indexReply{}, nil
		case brlog.Invalid, brlog.NoMajority:
			return indexReply{}, brerror.New(brerror.InvalidRequest, "membership change refused: %v", a.Reason)
		}
	}
	return indexReply{}, brerror.New(brerror.NotLeader, "membership change is not possible at present")
}

// TransferLeadership makes another voter the leader, if this replica leads, and
// returns once this replica follows. Use it before a planned stop.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		changed := r.changed.wait()
		if _, self := r.leader(); !self {
			return nil
		}
		answer, err := r.ask(ctx, brlog.Transfer{})
		if err != nil {
			return err
		}
		if a, ok := answer.(brlog.Refused); ok && a.Reason == brlog.NoMajority && r.Status().Membership.Voters() == 1 {
			return brerror.New(brerror.NoQuorum, "there is no other voter")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return brerror.New(brerror.NoQuorum, "no other replica took over: %w", ctx.Err())
		case <-r.ctx.Done():
			return errClosed
		}
	}
}

// ask runs ev on the loop and returns its answer, which may be nil.
func (r *Replica) ask(ctx context.Context, ev brlog.Event) (brlog.Effect, error) {
	q := &request{event: ev, answer: make(chan brlog.Effect, 1)}
	select {
	case r.requests <- q:
		return <-q.answer, nil
	case <-ctx.Done():
		return nil, brerror.New(brerror.NotLeader, "replica is busy: %w", ctx.Err())
	case <-r.ctx.Done():
		return nil, errClosed
	}
}
