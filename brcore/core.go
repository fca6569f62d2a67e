package brcore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brcontrol"
	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brwal"
	"bramleyroute/brwire"

	"github.com/rs/zerolog"
)

const (
	// callTimeout limits one call to a replica.
	callTimeout = 900 * time.Millisecond

	callDocument = "core_document"
	callPropose  = "core_propose"
	callRollout  = "core_rollout"
)

// ErrUnavailable is returned when the newest state cannot be determined, or when
// the outcome of a change is unknown; the change may still take effect later.
var ErrUnavailable = errors.New("brcore: no replica completed the call")

// Config configures a Core.
type Config struct {
	// Dir is the data directory of this daemon's replica; empty means no replica.
	Dir       string
	Self      brcontrol.Peer
	Tolerance int // number of replicas that may fail at the same time
	Keys      brpeer.Keys
	Mux       *brpeer.Mux
	// Replicas returns the known daemons with a replica. Conn returns an open link
	// to the daemon at an address, or nil.
	Replicas func() []brcontrol.Peer
	Conn     func(address string) *brpeer.Conn
	// MayBootstrap reports whether this replica may bootstrap a new group, as in
	// brcontrol.Config.
	MayBootstrap func() bool
	// OnEvacuations, OnDocument and OnRollouts are called in this order with state that this
	// daemon's replica has confirmed as current, OnEvacuations once there was an evacuation.
	// They must not block.
	OnEvacuations func(all []Evacuation)
	OnDocument    func(Document)
	OnRollouts    func(rollouts []Rollout)
	Log           zerolog.Logger
	Clock         brclock.Clock // nil means the system clock
	WAL           brwal.Options // replaces file operations in tests; Dir is ignored
}

// Core gives access to the durable state and runs this daemon's replica if it has
// a disk. It is safe for concurrent use.
type Core struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	replica atomic.Pointer[brcontrol.Replica]
	replied atomic.Pointer[string] // address of the replica that has completed the last call; see preferring
	removed atomic.Bool            // this daemon's replica, or its log, was once removed

	mu             sync.Mutex
	state          State
	publishedIndex uint64 // index of the state last passed to the callbacks
	appliedIndex   uint64 // index of the last applied command
}

// Start starts a core. It panics if Replicas, Conn or Mux is missing.
func Start(cfg Config) *Core {
	if cfg.Replicas == nil || cfg.Conn == nil || cfg.Mux == nil {
		panic("brcore: Config.Replicas, Config.Conn and Config.Mux are required")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	c := &Core{cfg: cfg}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.register(cfg.Mux)
	if cfg.Dir != "" {
		c.wg.Go(c.supervise)
	}
	return c
}

// Close stops the replica and waits until it has stopped.
func (c *Core) Close() {
	c.cancel()
	c.wg.Wait()
}

// Leave prepares the stop of this daemon's replica: it transfers the leadership, and yields the
// vote if another replica can take it, so that the group tolerates as many further losses
// whether this daemon comes back or not. A replica without a vote gets none until Close. Leave
// returns when that is done or not possible, or when ctx is done. The replica runs until Close.
func (c *Core) Leave(ctx context.Context) {
	r := c.replica.Load()
	if r == nil {
		return
	}
	if err := r.TransferLeadership(ctx); err != nil {
		c.cfg.Log.Warn().Err(err).Msg("leadership transfer failed")
	}
	st := r.Status()
	if !canYield(st.Membership, c.cfg.Tolerance) {
		return
	}
	err := r.YieldVote(ctx)
	c.cfg.Log.Info().AnErr("error", err).Int("voters", r.Status().Membership.Voters()).Bool("yielded", err == nil).
		Msg("replica has prepared its stop")
}

// Status returns the status of this daemon's replica and whether a replica runs.
func (c *Core) Status() (brcontrol.Status, bool) {
	r := c.replica.Load()
	if r == nil {
		return brcontrol.Status{}, false
	}
	return r.Status(), true
}

// IsLeader reports whether this daemon's replica holds a valid leader lease.
func (c *Core) IsLeader() bool {
	r := c.replica.Load()
	return r != nil && r.Status().LeaseValid
}

// Document returns the newest document. It returns an error that wraps
// ErrUnavailable if no replica can confirm which one that is.
func (c *Core) Document(ctx context.Context) (Document, error) {
	return callReplicas(ctx, c, callDocument, struct{}{}, c.localDocument)
}

// Rollout returns the newest rollout of a service; its Outcome is empty if there
// was none. Errors are as for Document.
func (c *Core) Rollout(ctx context.Context, service string) (Rollout, error) {
	return callReplicas(ctx, c, callRollout, service, c.localRollout)
}

// PutDocument puts a document in force unless a newer one already is. It returns
// an error that wraps ErrUnavailable if the outcome is unknown.
func (c *Core) PutDocument(ctx context.Context, version uint64, body []byte) error {
	_, err := c.propose(ctx, Command{Document: &Document{Version: version, Body: body}})
	return err
}

// BeginRollout starts a rollout. Errors are as for PutDocument.
func (c *Core) BeginRollout(ctx context.Context, r Rollout) (Verdict, error) {
	return c.propose(ctx, Command{Begin: &r})
}

// RecordRollout records the elapsed time and the outcome of a rollout. Errors are
// as for PutDocument.
func (c *Core) RecordRollout(ctx context.Context, r Rollout) (Verdict, error) {
	return c.propose(ctx, Command{Progress: &r})
}

func (c *Core) propose(ctx context.Context, cmd Command) (Verdict, error) {
	data, err := encodeCommand(cmd)
	if err != nil {
		return 0, err
	}
	return callReplicas(ctx, c, callPropose, data, c.localPropose)
}

// encodeCommand returns an error with the code TooLarge for a command beyond the size of a
// proposal.
func encodeCommand(cmd Command) ([]byte, error) {
	data, err := brwire.Encode(cmd)
	if err != nil {
		return nil, fmt.Errorf("brcore: encode command: %w", err)
	}
	if len(data) > brcontrol.MaxProposalBytes {
		return nil, brerror.New(brerror.TooLarge, "command of %d bytes exceeds %d", len(data), brcontrol.MaxProposalBytes)
	}
	return data, nil
}

// CheckDocumentSize returns an error if PutDocument refuses the document because of its
// size.
func CheckDocumentSize(version uint64, body []byte) error {
	_, err := encodeCommand(Command{Document: &Document{Version: version, Body: body}})
	return err
}

// callReplicas executes a call at this daemon's replica, or, if that fails, at the
// other replicas one after the other. All calls must be idempotent.
func callReplicas[Q, A any](ctx context.Context, c *Core, name string, req Q, local func(context.Context, Q) (A, error)) (A, error) {
	var zero A
	tried := 0
	if c.replica.Load() != nil {
		tried++
		localCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := local(localCtx, req)
		cancel()
		if err == nil {
			return reply, nil
		}
		c.cfg.Log.Warn().Str("call", name).Err(err).Msg("call to the local replica failed; trying the other replicas")
	}
	for _, p := range preferring(c.cfg.Replicas(), c.replied.Load()) {
		conn := c.cfg.Conn(p.Address)
		if conn == nil || p.Address == c.cfg.Self.Address || ctx.Err() != nil {
			continue
		}
		tried++
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := brpeer.Call[Q, A](callCtx, conn, name, req)
		cancel()
		if err == nil {
			c.replied.Store(&p.Address)
			return reply, nil
		}
		c.cfg.Log.Warn().Str("call", name).Str("replica", p.Address).Err(err).Msg("call to a replica failed")
	}
	return zero, fmt.Errorf("%w: %s tried at %d replicas", ErrUnavailable, name, tried)
}

// preferring returns peers with that at the given address, if any, before the others. The
// replica that has completed a call is tried first for the next one: a frozen one costs
// callTimeout each time, and an operator waits for little longer.
func preferring(peers []brcontrol.Peer, address *string) []brcontrol.Peer {
	i := slices.IndexFunc(peers, func(p brcontrol.Peer) bool { return address != nil && p.Address == *address })
	if i < 0 {
		return peers
	}
	return slices.Concat(peers[i:i+1], peers[:i], peers[i+1:])
}

// register adds the handlers for calls of other daemons and for the messages of
// the replication group. The replica may stop and start while links stay open.
func (c *Core) register(m *brpeer.Mux) {
	brpeer.HandleCall(m, callDocument, func(ctx context.Context, _ *brpeer.Conn, _ struct{}) (Document, error) {
		return c.localDocument(ctx, struct{}{})
	})
	brpeer.HandleCall(m, callRollout, func(ctx context.Context, _ *brpeer.Conn, service string) (Rollout, error) {
		return c.localRollout(ctx, service)
	})
	brpeer.HandleCall(m, callEvacuations, func(ctx context.Context, _ *brpeer.Conn, _ struct{}) ([]Evacuation, error) {
		return c.localEvacuations(ctx, struct{}{})
	})
	brpeer.HandleCall(m, callPropose, func(ctx context.Context, _ *brpeer.Conn, data []byte) (Verdict, error) {
		return c.localPropose(ctx, data)
	})
	brcontrol.RegisterFunc(m, c.replica.Load, "")
}

var errNoReplica = brerror.New(brerror.NoQuorum, "no replica is running on this daemon")

func (c *Core) localDocument(ctx context.Context, _ struct{}) (Document, error) {
	if err := c.barrier(ctx); err != nil {
		return Document{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.document, c.state.Err()
}

func (c *Core) localRollout(ctx context.Context, service string) (Rollout, error) {
	if err := c.barrier(ctx); err != nil {
		return Rollout{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.rollouts[service], c.state.Err()
}

func (c *Core) barrier(ctx context.Context) error {
	r := c.replica.Load()
	if r == nil {
		return errNoReplica
	}
	return r.ReadBarrier(ctx)
}

// localPropose proposes a command to this daemon's replica. It refuses while the
// group has fewer voters than the tolerance requires, because a smaller group
// could lose an acknowledged command with a single disk.
func (c *Core) localPropose(ctx context.Context, data []byte) (Verdict, error) {
	cmd, err := brwire.Decode[Command](data)
	if err == nil {
		err = cmd.checkFormat()
	}
	if err != nil {
		return 0, brerror.New(brerror.InvalidRequest, "command can't be decoded: %w", err)
	}
	r := c.replica.Load()
	if r == nil {
		return 0, errNoReplica
	}
	if voters := r.Status().Membership.Voters(); voters < requiredVoters(c.cfg.Tolerance) {
		return 0, brerror.New(brerror.NoQuorum, "group has %d of %d voters", voters, requiredVoters(c.cfg.Tolerance))
	}
	out, err := r.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	if len(out) != 1 {
		return 0, brerror.New(brerror.Internal, "verdict has %d bytes, want 1", len(out))
	}
	return Verdict(out[0]), nil
}
