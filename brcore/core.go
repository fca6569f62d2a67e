package brcore

import (
	"context"
	"errors"
	"fmt"
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
	// askTimeout bounds one question to another daemon.
	askTimeout = 900 * time.Millisecond

	callDocument = "core_document"
	callPropose  = "core_propose"
	callRollout  = "core_rollout"
)

// ErrUnavailable says that the newest state can't be told at present, or that a
// change got no clear answer and may be in force later.
var ErrUnavailable = errors.New("brcore: the replicas give no answer")

// Config is what a Core runs with.
type Config struct {
	// Dir is the data folder of this daemon's replica, or empty for none.
	Dir       string
	Self      brcontrol.Peer
	Tolerance int // replicas that may be lost at once
	Keys      brpeer.Keys
	Mux       *brpeer.Mux
	// Replicas returns the daemons with a replica that are known at present, and
	// Conn an open link to the daemon at an address, or nil.
	Replicas func() []brcontrol.Peer
	Conn     func(address string) *brpeer.Conn
	// MayFound is as in brcontrol.Config.
	MayFound func() bool
	// OnDocument and OnRollouts are told the state that this daemon's replica has
	// confirmed to be the newest. They must not block.
	OnDocument func(Document)
	OnRollouts func(rollouts []Rollout)
	Log        zerolog.Logger
	Clock      brclock.Clock // nil means the system's
	WAL        brwal.Options // seams of the files; Dir is ignored
}

// Core is this daemon's access to the durable state, with its replica if it has
// a disk. It is safe for concurrent use.
type Core struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	replica atomic.Pointer[brcontrol.Replica]

	mu        sync.Mutex
	state     State
	published uint64 // index up to which OnDocument and OnRollouts were told
	applied   uint64
}

// Start runs a core.
func Start(cfg Config) *Core {
	if cfg.Replicas == nil || cfg.Conn == nil || cfg.Mux == nil {
		panic("brcore: config without Replicas, Conn or Mux")
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

// Close stops the replica and waits.
func (c *Core) Close() {
	c.cancel()
	c.wg.Wait()
}

// HandOver makes another replica the leader, if this one leads.
func (c *Core) HandOver(ctx context.Context) error {
	r := c.replica.Load()
	if r == nil {
		return nil
	}
	return r.TransferLeadership(ctx)
}

// Status returns the status of this daemon's replica, and whether one runs.
func (c *Core) Status() (brcontrol.Status, bool) {
	r := c.replica.Load()
	if r == nil {
		return brcontrol.Status{}, false
	}
	return r.Status(), true
}

// Leads reports whether this daemon's replica holds the leader's lease.
func (c *Core) Leads() bool {
	r := c.replica.Load()
	return r != nil && r.Status().LeaseValid
}

// Document returns the newest document. It returns an error that wraps
// ErrUnavailable when no replica can be sure which one that is.
func (c *Core) Document(ctx context.Context) (Document, error) {
	return ask(ctx, c, callDocument, struct{}{}, c.documentHere)
}

// Rollout returns the newest rollout of a service; its Outcome is empty when
// there was none. Errors are as for Document.
func (c *Core) Rollout(ctx context.Context, service string) (Rollout, error) {
	return ask(ctx, c, callRollout, service, c.rolloutHere)
}

// PutDocument puts a document in force unless a newer one is. It returns an
// error that wraps ErrUnavailable when the outcome isn't known.
func (c *Core) PutDocument(ctx context.Context, version uint64, body []byte) error {
	_, err := c.propose(ctx, Command{Document: &Document{Version: version, Body: body}})
	return err
}

// BeginRollout starts a rollout. Errors are as for PutDocument.
func (c *Core) BeginRollout(ctx context.Context, r Rollout) (Verdict, error) {
	return c.propose(ctx, Command{Begin: &r})
}

// RecordRollout records the elapsed time and the outcome of a rollout.
func (c *Core) RecordRollout(ctx context.Context, r Rollout) (Verdict, error) {
	return c.propose(ctx, Command{Progress: &r})
}

func (c *Core) propose(ctx context.Context, cmd Command) (Verdict, error) {
	data, err := brwire.Encode(cmd)
	if err != nil {
		return 0, fmt.Errorf("brcore: encode command: %w", err)
	}
	if len(data) > brcontrol.MaxProposal {
		return 0, brerror.New(brerror.TooLarge, "command of %d bytes exceeds %d", len(data), brcontrol.MaxProposal)
	}
	return ask(ctx, c, callPropose, data, c.proposeHere)
}

// ask carries a question out at this daemon's replica, or at the other replicas
// one after the other. All questions are idempotent.
func ask[Q, A any](ctx context.Context, c *Core, name string, q Q, here func(context.Context, Q) (A, error)) (A, error) {
	var none A
	tried := 0
	if c.replica.Load() != nil {
		tried++
		hereCtx, cancel := context.WithTimeout(ctx, askTimeout)
		a, err := here(hereCtx, q)
		cancel()
		if err == nil {
			return a, nil
		}
		c.cfg.Log.Warn().Str("call", name).Err(err).Msg("own replica gave no answer; asking the others")
	}
	for _, p := range c.cfg.Replicas() {
		conn := c.cfg.Conn(p.Address)
		if conn == nil || p.Address == c.cfg.Self.Address || ctx.Err() != nil {
			continue
		}
		tried++
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		a, err := brpeer.Call[Q, A](callCtx, conn, name, q)
		cancel()
		if err == nil {
			return a, nil
		}
		c.cfg.Log.Warn().Str("call", name).Str("replica", p.Address).Err(err).Msg("replica gave no answer")
	}
	return none, fmt.Errorf("%w: %s asked %d replicas", ErrUnavailable, name, tried)
}

// register adds the handlers for other daemons' questions, and those of the
// replica, which comes and goes while the links stay.
func (c *Core) register(m *brpeer.Mux) {
	brpeer.HandleCall(m, callDocument, func(ctx context.Context, _ *brpeer.Conn, _ struct{}) (Document, error) {
		return c.documentHere(ctx, struct{}{})
	})
	brpeer.HandleCall(m, callRollout, func(ctx context.Context, _ *brpeer.Conn, service string) (Rollout, error) {
		return c.rolloutHere(ctx, service)
	})
	brpeer.HandleCall(m, callPropose, func(ctx context.Context, _ *brpeer.Conn, data []byte) (Verdict, error) {
		return c.proposeHere(ctx, data)
	})
	brcontrol.RegisterCurrent(m, c.replica.Load, "")
}

var errNoReplica = brerror.New(brerror.NoQuorum, "this daemon runs no replica at present")

func (c *Core) documentHere(ctx context.Context, _ struct{}) (Document, error) {
	if err := c.barrier(ctx); err != nil {
		return Document{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.document, nil
}

func (c *Core) rolloutHere(ctx context.Context, service string) (Rollout, error) {
	if err := c.barrier(ctx); err != nil {
		return Rollout{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.rollouts[service], nil
}

func (c *Core) barrier(ctx context.Context) error {
	r := c.replica.Load()
	if r == nil {
		return errNoReplica
	}
	return r.ReadBarrier(ctx)
}

// proposeHere proposes a command once the group is as large as its tolerance
// requires; a smaller one could acknowledge what it then loses with one disk.
func (c *Core) proposeHere(ctx context.Context, data []byte) (Verdict, error) {
	r := c.replica.Load()
	if r == nil {
		return 0, errNoReplica
	}
	if voters := r.Status().Membership.Voters(); voters < needed(c.cfg.Tolerance) {
		return 0, brerror.New(brerror.NoQuorum, "group has %d of %d voters", voters, needed(c.cfg.Tolerance))
	}
	out, err := r.Propose(ctx, data)
	if err != nil {
		return 0, err
	}
	if len(out) != 1 {
		return 0, brerror.New(brerror.Internal, "verdict of %d bytes", len(out))
	}
	return Verdict(out[0]), nil
}
