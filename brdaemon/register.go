package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brpool"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// register adds the handlers of the peer links. Those of entries and schedulers
// are on every daemon, so that a message to one without the role gets an answer.
func (d *Daemon) register(m *brpeer.Mux) {
	brpeer.HandlePush(m, brwire.NameHello, d.hello)
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, u Update) { d.session.update(u) })
	brpeer.HandleCall(m, brwire.NameConfirmed, func(_ context.Context, _ *brpeer.Conn, q brwire.ConfirmedQuery) (brwire.ConfirmedReply, error) {
		return d.session.answer(q.DaemonID)
	})
	brpeer.HandleCall(m, brwire.NameFetch, func(_ context.Context, _ *brpeer.Conn, w brwire.Watch) (Update, error) {
		v := d.session.present()
		return Update{View: &v}, nil
	})
	d.registerEntry(m)
	d.registerScheduler(m)
	d.registerControl(m)
}

func (d *Daemon) registerEntry(m *brpeer.Mux) {
	brpeer.HandlePush(m, brwire.NameGrant, func(_ *brpeer.Conn, g brwire.PoolMessage[brwire.Grant]) {
		if d.entry == nil {
			return
		}
		if err := d.entry.Grant(g.Message); brerror.Is(err, brerror.UnknownRequest) {
			d.entry.Withdraw(g.Pool, brwire.Withdraw{RequestID: g.Message.RequestID, Epoch: g.Message.Epoch, Number: g.Message.Number})
		}
	})
	brpeer.HandlePush(m, brwire.NameIDBound, func(_ *brpeer.Conn, b brwire.PoolMessage[brwire.IDBound]) {
		if d.entry != nil {
			d.entry.noteBound(b.Pool, b.Message)
		}
	})
	brpeer.HandlePush(m, brwire.NameRefuse, func(_ *brpeer.Conn, r brwire.PoolMessage[brwire.Refuse]) {
		if d.entry != nil {
			d.entry.Refuse(r.Message)
		}
	})
	brpeer.HandleCall(m, brwire.NameJoin, d.join)
	brpeer.HandleCall(m, brwire.NameTransferRecords, d.inherit)
	brpeer.HandleCall(m, brwire.NameAttach, func(_ context.Context, _ *brpeer.Conn, a brwire.Attach) (brwire.EmptyReply, error) {
		if d.entry == nil {
			return brwire.EmptyReply{}, brerror.New(brerror.InvalidRequest, "daemon %s is no entry", d.self.ID)
		}
		d.entry.Attach(a)
		return brwire.EmptyReply{}, nil
	})
}

func (d *Daemon) registerScheduler(m *brpeer.Mux) {
	brpeer.HandleCall(m, nameLoad, func(ctx context.Context, _ *brpeer.Conn, p brwire.PoolMessage[brpool.SuspendForLoad]) (brwire.EmptyReply, error) {
		if d.scheduler == nil || d.scheduler.find(p.Pool) == nil {
			return brwire.EmptyReply{}, brerror.New(brerror.NotOwner, "pool %s isn't owned here", p.Pool)
		}
		return brwire.EmptyReply{}, d.scheduler.find(p.Pool).load(ctx, p.Message)
	})
	brpeer.HandlePush(m, nameAskEndpoints, func(_ *brpeer.Conn, l brwire.Locate) {
		if d.scheduler != nil {
			d.scheduler.askEndpoints(l.Pool)
		}
	})
	pooled(m, d, brwire.NameSubmit, func(entry string, s brwire.Submit) brpool.Event {
		d.record(brtimeline.Event{Kind: brtimeline.RequestQueued, RequestID: s.RequestID, Pool: s.Pool, Tier: s.Tier, Customer: s.Customer, Route: s.Route, Peer: entry})
		return brpool.Submit{EntryID: entry, Submit: s}
	})
	pooled(m, d, brwire.NameWithdraw, func(entry string, w brwire.Withdraw) brpool.Event {
		return brpool.Withdraw{EntryID: entry, Withdraw: w}
	})
	pooled(m, d, brwire.NameStarted, func(entry string, s brwire.Started) brpool.Event {
		return brpool.Started{EntryID: entry, Started: s}
	})
	pooled(m, d, brwire.NameFirstToken, func(entry string, f brwire.FirstToken) brpool.Event {
		return brpool.FirstToken{EntryID: entry, FirstToken: f}
	})
	pooled(m, d, brwire.NameDone, func(entry string, m brwire.Done) brpool.Event {
		return brpool.Done{EntryID: entry, Done: m}
	})
	brpeer.HandlePush(m, brwire.NameReport, func(_ *brpeer.Conn, a brwire.PoolMessage[brwire.Announce]) {
		if d.scheduler != nil {
			d.scheduler.report(a.Message)
		}
	})
	brpeer.HandleCall(m, namePoolStatus, d.poolStatus)
	brpeer.HandleCall(m, brwire.NameLocate, func(ctx context.Context, _ *brpeer.Conn, l brwire.Locate) (brwire.LocateReply, error) {
		if d.scheduler == nil || d.scheduler.find(l.Pool) == nil {
			return brwire.LocateReply{}, brerror.New(brerror.NotOwner, "pool %s isn't owned here", l.Pool)
		}
		return d.scheduler.find(l.Pool).locate(ctx, l)
	})
}

// pooled registers a push of an entry to the scheduler of a pool.
func pooled[T any](m *brpeer.Mux, d *Daemon, name string, event func(entry string, msg T) brpool.Event) {
	brpeer.HandlePush(m, name, func(c *brpeer.Conn, p brwire.PoolMessage[T]) {
		if d.scheduler == nil || c.Peer() == "" {
			return
		}
		if r := d.scheduler.runner(p.Pool, poolKind(d.session.present().Configuration, modelOf(p.Pool))); r != nil {
			r.post(event(c.Peer(), p.Message))
		}
	})
}

func (d *Daemon) registerControl(m *brpeer.Mux) {
	if d.control == nil {
		return // daemons send these only to the replicas that the settings name
	}
	c := d.control
	brpeer.HandleCall(m, brwire.NameHeartbeat, c.heartbeat)
	brpeer.HandlePush(m, brwire.NameHeartbeatAck, c.ack)
	brpeer.HandlePush(m, brwire.NameWatch, c.watch)
	brpeer.HandleCall(m, brwire.NamePropose, c.handlePropose)
	brpeer.HandleCall(m, nameRequest, c.recordOf)
	brpeer.HandleCall(m, nameHistory, c.history)
	brpeer.HandleCall(m, nameReports, func(context.Context, *brpeer.Conn, brwire.EmptyReply) ([]brmember.Report, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.sessions.Reports(d.clock.Now()), nil
	})
	brpeer.HandlePush(m, brwire.NameSamples, func(_ *brpeer.Conn, s []brwire.Samples) {
		toLeader(c, brwire.NameSamples, s, func(l *leading, s []brwire.Samples) { l.rollouts.samples(s) })
	})
	brpeer.HandlePush(m, brwire.NameTrip, func(_ *brpeer.Conn, t brwire.Trip) {
		toLeader(c, brwire.NameTrip, t, func(l *leading, t brwire.Trip) { l.rollouts.trip(t) })
	})
	brpeer.HandlePush(m, nameEndpoints, func(_ *brpeer.Conn, r EndpointReport) {
		toLeader(c, nameEndpoints, r, func(l *leading, r EndpointReport) { l.rollouts.endpoints(r) })
	})
}

// entryLostAfter is how long the connection of an entry may be gone before its
// dispatched requests count as orphaned.
const entryLostAfter = 3 * time.Second

// hello notes who dialled. The pools of this daemon compare what an entry holds
// with what they know, because messages may have been lost with the last
// connection.
func (d *Daemon) hello(c *brpeer.Conn, h brwire.Hello) {
	c.SetPeer(h.DaemonID)
	if d.scheduler == nil {
		return
	}
	d.mu.Lock()
	d.entries[h.DaemonID] = c
	d.mu.Unlock()
	if !d.isEntry(h.DaemonID) {
		return
	}
	if row, ok := d.session.present().Daemon(h.DaemonID); ok {
		if l := d.links.get(row.PeerAddress); l != nil {
			l.Wake() // grants go by the link that this daemon dials
		}
	}
	d.scheduler.entryConnected(h.DaemonID)
	d.wg.Go(func() { d.watchEntry(h.DaemonID, c) })
}

func (d *Daemon) isEntry(id string) bool {
	row, ok := d.session.present().Daemon(id)
	return !ok || slices.Contains(row.Roles, brwire.RoleEntry) // not yet in the view counts as one
}

func (d *Daemon) watchEntry(id string, c *brpeer.Conn) {
	select {
	case <-c.Done():
	case <-d.ctx.Done():
		return
	}
	d.mu.Lock()
	replaced := d.entries[id] != c
	d.mu.Unlock()
	if replaced {
		return // the entry has dialled again, and was asked what it holds
	}
	for _, r := range d.scheduler.all() {
		r.post(brpool.EntryDisconnected{EntryID: id})
	}
	select {
	case <-d.clock.After(entryLostAfter):
	case <-d.ctx.Done():
		return
	}
	d.mu.Lock()
	lost := d.entries[id] == c
	if lost {
		delete(d.entries, id)
	}
	d.mu.Unlock()
	if !lost {
		return
	}
	for _, r := range d.scheduler.all() {
		r.post(brpool.EntryLost{EntryID: id})
	}
}
