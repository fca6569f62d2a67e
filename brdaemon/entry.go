package brdaemon

import (
	"context"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brledger"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

const (
	// noOwnerRetryAfter is the Retry-After for callers of a pool that has never
	// had an owner, because no endpoint has announced itself.
	noOwnerRetryAfter = 2 * time.Second
	// unconfirmedRetryAfter is the Retry-After for callers while the daemon
	// accepts no work.
	unconfirmedRetryAfter = time.Second
	locateTimeout         = time.Second
)

// entry connects brentry.Entry to the schedulers, the control group and the
// configuration.
type entry struct {
	*brentry.Entry
	daemon   *Daemon
	bindings bindings
	table    atomic.Pointer[brconfig.Table]
}

func newEntry(d *Daemon) *entry {
	settings := d.settings
	client := &brdispatch.Client{
		Clock: d.clock, StallTimeout: settings.StallTimeout, DialTimeout: endpointDialTimeout,
		Dial: d.paths.dialEndpoint, PathFailed: d.paths.failed,
		Responses: brbuffer.New(brbuffer.Config{Bytes: responseBytes(settings), Log: d.log, Clock: d.clock}),
	}
	e := &entry{daemon: d, Entry: brentry.New(brentry.Config{
		EntryID: d.self.ID, Address: d.self.CallerAddress, Region: d.self.Region,
		MaxBody: settings.MaxBodyBytes, MaxHeld: settings.EntryBufferRequests, MaxHeldBytes: settings.EntryBufferBytes,
		Buffers: d.buffers,
	}, d.clock, client)}
	e.Resolve = e.resolve
	e.Ready = d.ready
	e.Submit = func(_ context.Context, s brwire.Submit) error { return sendToOwner(e, s.Pool, brwire.NameSubmit, s) }
	e.Withdraw = func(pool string, w brwire.Withdraw) { _ = sendToOwner(e, pool, brwire.NameWithdraw, w) }
	e.Started = func(pool string, s brwire.Started) { _ = sendToOwner(e, pool, brwire.NameStarted, s) }
	e.FirstToken = func(pool string, f brwire.FirstToken) { _ = sendToOwner(e, pool, brwire.NameFirstToken, f) }
	e.PathLost = func(pool string, p brwire.PathLost) { _ = sendToOwner(e, pool, brwire.NamePathLost, p) }
	e.Done = func(pool string, m brwire.Done) { _ = sendToOwner(e, pool, brwire.NameDone, m) }
	e.Locate = e.locate
	e.SendAttach = e.attach
	e.LedgerLookup, e.LedgerBegin = e.ledgerLookup, e.ledgerBegin
	e.LedgerFinish, e.LedgerRelease = e.ledgerFinish, e.ledgerRelease
	e.Record = d.recordEntryEvent
	return e
}

// viewChanged compiles the configuration of a view. Every document that the
// control group accepted compiles; if a newer release accepted one that this
// release can't compile, the entry logs an error and keeps its table.
func (e *entry) viewChanged(old, v brstate.View) {
	if e.table.Load() != nil && old.ConfigurationRevision == v.ConfigurationRevision {
		return
	}
	t, err := brconfig.Compile(v.Configuration, v.ConfigurationRevision)
	if err != nil {
		e.daemon.log.Error().Err(err).Uint64("revision", v.ConfigurationRevision).Msg("configuration can't be compiled; the previous one stays in use")
		return
	}
	e.table.Store(t)
}

func (e *entry) resolve(key, route, model string) (brentry.Admission, error) {
	t := e.table.Load()
	if t == nil {
		return brentry.Admission{}, brerror.New(brerror.ConfigurationUnconfirmed, "no configuration has been received yet").WithRetryAfter(unconfirmedRetryAfter)
	}
	c, ok := t.Customer(key)
	if !ok {
		return brentry.Admission{}, brerror.New(brerror.Unauthorized, "no customer has this key")
	}
	a := brentry.Admission{Customer: c.Name, Revision: t.Revision()}
	if route == "" && model == "" {
		return a, nil
	}
	name := route
	if name == "" {
		name = model
	}
	r, ok := t.Route(c.Name, name)
	switch {
	case !ok && route != "":
		return a, brerror.New(brerror.InvalidRequest, "customer %s has no route %.64q", c.Name, route).WithField("route")
	case !ok:
		return a, brerror.New(brerror.UnknownModel, "customer %s has no route to model %.64q", c.Name, model).WithField("model")
	case model != "" && r.Route.Model != model:
		return a, brerror.New(brerror.InvalidRequest, "route %s uses model %s, not %.64q", route, r.Route.Model, model).WithField("model")
	}
	a.Route = r.Route
	if limit := e.daemon.settings.StuckTimeout; !r.HasStuckTimeout && limit > 0 {
		a.Route.StuckMS = int(limit.Milliseconds())
	}
	return a, nil
}

// sendToOwner sends a message to the scheduler that owns a pool. The error is
// not_owner if the scheduler can't be reached, and endpoint_unavailable if the
// pool has never had an owner, since then no endpoint has announced itself.
func sendToOwner[T any](e *entry, pool, name string, msg T) error {
	o, ok := e.daemon.session.currentView().Owner(pool)
	if !ok {
		return brerror.New(brerror.EndpointUnavailable, "no endpoint serves pool %s", pool).WithRetryAfter(noOwnerRetryAfter)
	}
	c := e.daemon.connTo(o.Holder)
	if c == nil {
		return brerror.New(brerror.NotOwner, "the scheduler of pool %s can't be reached", pool)
	}
	if err := brpeer.Push(c, name, brwire.PoolMessage[T]{Pool: pool, Message: msg}); err != nil {
		return brerror.New(brerror.NotOwner, "scheduler of pool %s: %w", pool, err)
	}
	return nil
}

// locate queries the schedulers of all pools of the region, or only that of
// l.Pool if it is set.
func (e *entry) locate(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var lastErr error
	for _, o := range e.daemon.session.currentView().Owners {
		if l.Pool != "" && o.Pool != l.Pool || regionOf(o.Pool) != e.daemon.self.Region {
			continue
		}
		c := e.daemon.connTo(o.Holder)
		if c == nil {
			lastErr = brerror.New(brerror.NotOwner, "the scheduler of pool %s can't be reached", o.Pool).WithRetryAfter(unconfirmedRetryAfter)
			continue
		}
		q := brwire.Locate{Pool: o.Pool, RequestID: l.RequestID}
		reply, err := brpeer.Call[brwire.Locate, brwire.LocateReply](ctx, c, brwire.NameLocate, q)
		if err == nil && reply.Found {
			return reply, nil
		}
		if err != nil {
			lastErr = brerror.New(brerror.NotOwner, "scheduler of pool %s: %w", o.Pool, err).WithRetryAfter(unconfirmedRetryAfter)
		}
	}
	return brwire.LocateReply{}, lastErr
}

func (e *entry) attach(ctx context.Context, entryID string, a brwire.Attach) error {
	c := e.daemon.connTo(entryID)
	if c == nil {
		return brerror.New(brerror.NotOwner, "entry %s can't be reached", entryID)
	}
	_, err := brpeer.Call[brwire.Attach, brwire.EmptyReply](ctx, c, brwire.NameAttach, a)
	return err
}

func (e *entry) ledgerLookup(ctx context.Context, requestID string) (brentry.LedgerState, error) {
	err := error(brerror.New(brerror.NotLeader, "no connection to a control replica"))
	for _, address := range e.daemon.session.replicasFromCurrent() {
		c := e.daemon.links.conn(address)
		if c == nil {
			continue
		}
		var r RecordReply
		attemptCtx, cancel := context.WithTimeout(ctx, lookupAttemptTimeout)
		r, err = brpeer.Call[RecordQuery, RecordReply](attemptCtx, c, nameLedgerRecord, RecordQuery{RequestID: requestID})
		cancel()
		if err == nil && r.Found {
			return ledgerState(r.Record), nil
		}
		if err == nil {
			return brentry.LedgerState{}, nil
		}
	}
	return brentry.LedgerState{}, err
}

// lookupAttemptTimeout limits the query to one replica, so that the next ones
// can be queried within the entry's limit when the first has just failed.
const lookupAttemptTimeout = 500 * time.Millisecond

// ledgerBegin commits the record of an attempt. The command ID is that of the
// attempt, so that a resend after a lost reply can't begin it twice.
func (e *entry) ledgerBegin(ctx context.Context, r brentry.LedgerRecord) (brentry.LedgerState, error) {
	reply, err := e.daemon.session.propose(ctx, beginCommand(r))
	e.recordLedger(brtimeline.LedgerBegun, r, err)
	if brerror.Is(err, brerror.InProgress) || brerror.Is(err, brerror.UnknownOutcome) {
		return brentry.LedgerState{Begun: true, Customer: r.Customer}, nil
	}
	if err != nil {
		return brentry.LedgerState{}, err
	}
	res, err := brwire.Decode[brstate.BeginResult](reply.Result)
	if err != nil || res.Begun {
		return brentry.LedgerState{}, err
	}
	return ledgerState(res.Record), nil
}

func beginCommand(r brentry.LedgerRecord) brstate.Command {
	return brstate.Command{ID: r.Attempt, BeginRequest: &brledger.Begin{
		RequestID: r.RequestID, Customer: r.Customer, Entry: r.EntryID, Endpoint: r.EndpointID,
	}}
}

func ledgerState(r brledger.Record) brentry.LedgerState {
	return brentry.LedgerState{
		Begun: !r.Finished, Finished: r.Finished, Customer: r.Customer,
		Response: brentry.LedgerResponse{Status: r.Response.Status, ContentType: r.Response.ContentType, Body: r.Response.Body, TooLarge: r.Response.TooLarge},
	}
}

func (e *entry) ledgerFinish(ctx context.Context, r brentry.LedgerRecord, resp brentry.LedgerResponse) error {
	_, err := e.daemon.session.propose(ctx, brstate.Command{ID: r.Attempt + "-finish", FinishRequest: &brledger.Finish{
		RequestID: r.RequestID, Entry: r.EntryID,
		Response: brledger.Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body, TooLarge: resp.TooLarge},
	}})
	e.recordLedger(brtimeline.LedgerFinished, r, err)
	return err
}

// recordLedger records an attempt to change the ledger record of a request in
// the timeline. The change is known to be committed only if err is nil.
func (e *entry) recordLedger(k brtimeline.Kind, r brentry.LedgerRecord, err error) {
	ev := brtimeline.Event{Kind: k, RequestID: r.RequestID, EndpointID: r.EndpointID, Customer: r.Customer}
	if err != nil {
		ev.ErrorKind, ev.Reason = brerror.From(err).Kind.String(), err.Error()
	}
	e.daemon.record(ev)
}

// ledgerRelease removes the record of an attempt that was never sent. It first
// repeats the begin under the same command ID: the record belongs to this
// attempt only if that command began it, and a begin that is still in flight
// then has no further effect.
func (e *entry) ledgerRelease(ctx context.Context, r brentry.LedgerRecord) error {
	reply, err := e.daemon.session.propose(ctx, beginCommand(r))
	if k := brerror.From(err); k != nil {
		if k.Kind == brerror.NoQuorum || k.Kind == brerror.NotLeader || k.Kind == brerror.ShuttingDown {
			return err
		}
		return nil // the attempt has not begun
	}
	res, err := brwire.Decode[brstate.BeginResult](reply.Result)
	if err != nil || !res.Begun {
		return err
	}
	_, err = e.daemon.session.propose(ctx, brstate.Command{ID: r.Attempt + "-release", ReleaseRequest: &brledger.Release{
		RequestID: r.RequestID, Entry: r.EntryID,
	}})
	e.recordLedger(brtimeline.LedgerReleased, r, err)
	if brerror.Is(err, brerror.UnknownRequest) {
		return nil
	}
	return err
}
