package brdaemon

import (
	"context"
	"sync/atomic"
	"time"

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
	// noOwnerRetry is told to callers of a pool that has no endpoints.
	noOwnerRetry = 2 * time.Second
	// unconfirmedRetry is told to callers while the daemon takes no work.
	unconfirmedRetry = time.Second
	locateTimeout    = time.Second
)

// entry connects brentry.Entry to the schedulers, the control group and the
// configuration.
type entry struct {
	*brentry.Entry
	d        *Daemon
	bindings bindings
	table    atomic.Pointer[brconfig.Table]
}

func newEntry(d *Daemon) *entry {
	set := d.settings
	client := &brdispatch.Client{Clock: d.clock, Silence: set.StallTimeout}
	e := &entry{d: d, Entry: brentry.New(brentry.Config{
		EntryID: d.self.ID, Address: d.self.CallerAddress, Region: d.self.Region,
		MaxBody: set.MaxBodyBytes, MaxHeld: set.EntryBufferRequests, MaxHeldBytes: set.EntryBufferBytes,
	}, d.clock, client)}
	e.Resolve = e.resolve
	e.Ready = d.ready
	e.Submit = func(_ context.Context, s brwire.Submit) error { return toOwner(e, s.Pool, brwire.NameSubmit, s) }
	e.Withdraw = func(pool string, w brwire.Withdraw) { _ = toOwner(e, pool, brwire.NameWithdraw, w) }
	e.Started = func(pool string, s brwire.Started) { _ = toOwner(e, pool, brwire.NameStarted, s) }
	e.FirstToken = func(pool string, f brwire.FirstToken) { _ = toOwner(e, pool, brwire.NameFirstToken, f) }
	e.Done = func(pool string, m brwire.Done) { _ = toOwner(e, pool, brwire.NameDone, m) }
	e.Locate = e.locate
	e.SendAttach = e.attach
	e.LedgerLookup, e.LedgerBegin = e.ledgerLookup, e.ledgerBegin
	e.LedgerFinish, e.LedgerRelease = e.ledgerFinish, e.ledgerRelease
	e.Record = d.recordEntryEvent
	return e
}

// viewChanged compiles the configuration of a view. A document that the control
// group accepted compiles; should a newer release have accepted what this one
// can't read, the daemon keeps the former table and reports it.
func (e *entry) viewChanged(old, v brstate.View) {
	if e.table.Load() != nil && old.ConfigurationRevision == v.ConfigurationRevision {
		return
	}
	t, err := brconfig.Compile(v.Configuration, v.ConfigurationRevision)
	if err != nil {
		e.d.log.Error().Err(err).Uint64("revision", v.ConfigurationRevision).Msg("configuration can't be used")
		return
	}
	e.table.Store(t)
}

func (e *entry) resolve(key, route, model string) (brentry.Admission, error) {
	t := e.table.Load()
	if t == nil {
		return brentry.Admission{}, brerror.New(brerror.ConfigurationUnconfirmed, "no configuration has arrived yet").WithRetryAfter(unconfirmedRetry)
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
	if limit := e.d.settings.StuckTimeout; !r.StuckSet && limit > 0 {
		a.Route.StuckMS = int(limit.Milliseconds())
	}
	return a, nil
}

// toOwner sends a message to the scheduler that owns a pool. The error is
// not_owner when it can't be reached at present and endpoint_unavailable when
// the pool never had an owner, since then no endpoint has announced itself.
func toOwner[T any](e *entry, pool, name string, msg T) error {
	o, ok := e.d.session.present().Owner(pool)
	if !ok {
		return brerror.New(brerror.EndpointUnavailable, "no endpoint serves pool %s", pool).WithRetryAfter(noOwnerRetry)
	}
	c := e.d.connTo(o.Holder)
	if c == nil {
		return brerror.New(brerror.NotOwner, "the scheduler of pool %s can't be reached", pool)
	}
	if err := brpeer.Push(c, name, brwire.PoolMessage[T]{Pool: pool, Message: msg}); err != nil {
		return brerror.New(brerror.NotOwner, "scheduler of pool %s: %w", pool, err)
	}
	return nil
}

// locate asks the schedulers of all pools of the region, or of the named one.
func (e *entry) locate(ctx context.Context, l brwire.Locate) (brwire.LocateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var last error
	for _, o := range e.d.session.present().Owners {
		if l.Pool != "" && o.Pool != l.Pool || regionOf(o.Pool) != e.d.self.Region {
			continue
		}
		c := e.d.connTo(o.Holder)
		if c == nil {
			last = brerror.New(brerror.NotOwner, "the scheduler of pool %s can't be reached", o.Pool).WithRetryAfter(unconfirmedRetry)
			continue
		}
		q := brwire.Locate{Pool: o.Pool, RequestID: l.RequestID}
		found, err := brpeer.Call[brwire.Locate, brwire.LocateReply](ctx, c, brwire.NameLocate, q)
		if err == nil && found.Found {
			return found, nil
		}
		if err != nil {
			last = brerror.New(brerror.NotOwner, "scheduler of pool %s: %w", o.Pool, err).WithRetryAfter(unconfirmedRetry)
		}
	}
	return brwire.LocateReply{}, last
}

func (e *entry) attach(ctx context.Context, entryID string, a brwire.Attach) error {
	c := e.d.connTo(entryID)
	if c == nil {
		return brerror.New(brerror.NotOwner, "entry %s can't be reached", entryID)
	}
	_, err := brpeer.Call[brwire.Attach, brwire.EmptyReply](ctx, c, brwire.NameAttach, a)
	return err
}

func (e *entry) ledgerLookup(ctx context.Context, requestID string) (brentry.LedgerState, error) {
	err := error(brerror.New(brerror.NotLeader, "no connection to a control replica"))
	for _, address := range e.d.session.replicasInTurn() {
		c := e.d.links.conn(address)
		if c == nil {
			continue
		}
		var r RecordReply
		try, cancel := context.WithTimeout(ctx, lookupTry)
		r, err = brpeer.Call[RecordQuery, RecordReply](try, c, nameRequest, RecordQuery{RequestID: requestID})
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

// lookupTry bounds the question to one replica, so that the next ones are asked
// within the entry's limit when the first has just failed.
const lookupTry = 500 * time.Millisecond

// ledgerBegin commits the record. The command's id is the attempt, so that a
// resend after a lost answer can't begin twice.
func (e *entry) ledgerBegin(ctx context.Context, r brentry.LedgerRecord) (brentry.LedgerState, error) {
	reply, err := e.d.session.propose(ctx, beginCommand(r))
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
		Answer: brentry.LedgerAnswer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body, Truncated: r.Answer.TooLarge},
	}
}

func (e *entry) ledgerFinish(ctx context.Context, r brentry.LedgerRecord, a brentry.LedgerAnswer) error {
	_, err := e.d.session.propose(ctx, brstate.Command{ID: r.Attempt + "-finish", FinishRequest: &brledger.Finish{
		RequestID: r.RequestID, Entry: r.EntryID,
		Answer: brledger.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, TooLarge: a.Truncated},
	}})
	e.recordLedger(brtimeline.LedgerFinished, r, err)
	return err
}

// recordLedger writes an attempt to change the ledger's record of a request. Only
// without an error is the change known to be committed.
func (e *entry) recordLedger(k brtimeline.Kind, r brentry.LedgerRecord, err error) {
	ev := brtimeline.Event{Kind: k, RequestID: r.RequestID, EndpointID: r.EndpointID, Customer: r.Customer}
	if err != nil {
		ev.ErrorKind, ev.Reason = brerror.From(err).Kind.String(), err.Error()
	}
	e.d.record(ev)
}

// ledgerRelease removes the record of an attempt that was never sent. It repeats
// the begin first, under the same command id: only if that attempt has begun the
// record is its own, and a begin that is still on its way can't come later.
func (e *entry) ledgerRelease(ctx context.Context, r brentry.LedgerRecord) error {
	reply, err := e.d.session.propose(ctx, beginCommand(r))
	if k := brerror.From(err); k != nil {
		if k.Kind == brerror.NoQuorum || k.Kind == brerror.NotLeader || k.Kind == brerror.ShuttingDown {
			return err
		}
		return nil // the attempt did not begin
	}
	res, err := brwire.Decode[brstate.BeginResult](reply.Result)
	if err != nil || !res.Begun {
		return err
	}
	_, err = e.d.session.propose(ctx, brstate.Command{ID: r.Attempt + "-release", ReleaseRequest: &brledger.Release{
		RequestID: r.RequestID, Entry: r.EntryID,
	}})
	e.recordLedger(brtimeline.LedgerReleased, r, err)
	if brerror.Is(err, brerror.UnknownRequest) {
		return nil
	}
	return err
}
