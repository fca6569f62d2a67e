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

// register adds the handlers of messages on peer links. The handlers for
// entries and schedulers are on every daemon, so that a call to one without the
// role gets a reply.
func (d *Daemon) register(m *brpeer.Mux) {
	brpeer.HandlePush(m, brwire.NameHello, d.handleHello)
	brpeer.HandlePush(m, brwire.NameChange, func(_ *brpeer.Conn, u ViewUpdate) { d.session.update(u) })
	brpeer.HandleCall(m, brwire.NameConfirmed, func(_ context.Context, _ *brpeer.Conn, q brwire.ConfirmedQuery) (brwire.ConfirmedReply, error) {
		return d.session.replyToQuery(q.DaemonID)
	})
	brpeer.HandleCall(m, brwire.NameFetch, func(_ context.Context, _ *brpeer.Conn, w brwire.Watch) (ViewUpdate, error) {
		v := d.session.currentView()
		return ViewUpdate{View: &v}, nil
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
			d.entry.handleIDBound(b.Pool, b.Message)
		}
	})
	brpeer.HandlePush(m, brwire.NameRefuse, func(_ *brpeer.Conn, r brwire.PoolMessage[brwire.Refuse]) {
		if d.entry != nil {
			d.entry.Refuse(r.Message)
		}
	})
	brpeer.HandleCall(m, brwire.NameJoin, d.join)
	brpeer.HandleCall(m, brwire.NameTransferRecords, d.receiveRecords)
	brpeer.HandleCall(m, brwire.NameAttach, func(_ context.Context, _ *brpeer.Conn, a brwire.Attach) (brwire.EmptyReply, error) {
		if d.entry == nil {
			return brwire.EmptyReply{}, brerror.New(brerror.InvalidRequest, "daemon %s doesn't have the role of entry", d.self.ID)
		}
		d.entry.Attach(a)
		return brwire.EmptyReply{}, nil
	})
}

func (d *Daemon) registerScheduler(m *brpeer.Mux) {
	brpeer.HandleCall(m, nameSuspendForLoad, func(ctx context.Context, _ *brpeer.Conn, p brwire.PoolMessage[brpool.SuspendForLoad]) (brwire.EmptyReply, error) {
		if d.scheduler == nil || d.scheduler.find(p.Pool) == nil {
			return brwire.EmptyReply{}, brerror.New(brerror.NotOwner, "pool %s is not owned by this daemon", p.Pool)
		}
		return brwire.EmptyReply{}, d.scheduler.find(p.Pool).suspendForLoad(ctx, p.Message)
	})
	brpeer.HandlePush(m, nameRequestEndpoints, func(_ *brpeer.Conn, l brwire.Locate) {
		if d.scheduler != nil {
			d.scheduler.requestFullReport(l.Pool)
		}
	})
	registerPoolPush(m, d, brwire.NameSubmit, func(entry string, s brwire.Submit) brpool.Event {
		d.record(brtimeline.Event{Kind: brtimeline.RequestQueued, RequestID: s.RequestID, Pool: s.Pool, Tier: s.Tier, Customer: s.Customer, Route: s.Route, Peer: entry})
		return brpool.Submit{EntryID: entry, Submit: s}
	})
	registerPoolPush(m, d, brwire.NameWithdraw, func(entry string, w brwire.Withdraw) brpool.Event {
		return brpool.Withdraw{EntryID: entry, Withdraw: w}
	})
	registerPoolPush(m, d, brwire.NameStarted, func(entry string, s brwire.Started) brpool.Event {
		return brpool.Started{EntryID: entry, Started: s}
	})
	registerPoolPush(m, d, brwire.NamePathLost, func(entry string, p brwire.PathLost) brpool.Event {
		return brpool.PathLost{EntryID: entry, PathLost: p}
	})
	registerPoolPush(m, d, brwire.NameFirstToken, func(entry string, f brwire.FirstToken) brpool.Event {
		return brpool.FirstToken{EntryID: entry, FirstToken: f}
	})
	registerPoolPush(m, d, brwire.NameDone, func(entry string, m brwire.Done) brpool.Event {
		return brpool.Done{EntryID: entry, Done: m}
	})
	brpeer.HandlePush(m, brwire.NameReport, func(_ *brpeer.Conn, a brwire.PoolMessage[brwire.Announce]) {
		if d.scheduler != nil {
			d.scheduler.report(a.Message)
		}
	})
	brpeer.HandleCall(m, nameEndpointKnown, func(_ context.Context, _ *brpeer.Conn, q endpointQuery) (endpointReply, error) {
		return endpointReply{Known: d.scheduler != nil && d.scheduler.knows(q.Pool, q.Address)}, nil
	})
	brpeer.HandleCall(m, namePoolStatus, d.poolStatus)
	brpeer.HandleCall(m, brwire.NameLocate, func(ctx context.Context, _ *brpeer.Conn, l brwire.Locate) (brwire.LocateReply, error) {
		if d.scheduler == nil || d.scheduler.find(l.Pool) == nil {
			return brwire.LocateReply{}, brerror.New(brerror.NotOwner, "pool %s is not owned by this daemon", l.Pool)
		}
		return d.scheduler.find(l.Pool).locate(ctx, l)
	})
}

// registerPoolPush registers the handler of an entry's push to the scheduler of
// a pool.
func registerPoolPush[T any](m *brpeer.Mux, d *Daemon, name string, event func(entry string, msg T) brpool.Event) {
	brpeer.HandlePush(m, name, func(c *brpeer.Conn, p brwire.PoolMessage[T]) {
		if d.scheduler == nil || c.PeerID() == "" {
			return
		}
		if r := d.scheduler.runner(p.Pool, poolKind(d.session.currentView().Configuration, modelOf(p.Pool))); r != nil {
			r.post(event(c.PeerID(), p.Message))
		}
	})
}

func (d *Daemon) registerControl(m *brpeer.Mux) {
	if d.control == nil {
		return // daemons send these messages only to the replicas in their settings
	}
	c := d.control
	brpeer.HandleCall(m, brwire.NameHeartbeat, c.heartbeat)
	brpeer.HandlePush(m, brwire.NameHeartbeatAck, c.ack)
	brpeer.HandlePush(m, brwire.NameWatch, c.watch)
	brpeer.HandleCall(m, brwire.NamePropose, c.handlePropose)
	brpeer.HandleCall(m, nameLedgerRecord, c.readRecord)
	brpeer.HandleCall(m, nameHistory, c.history)
	brpeer.HandleCall(m, nameReports, func(context.Context, *brpeer.Conn, brwire.EmptyReply) ([]brmember.Report, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.sessions.Reports(d.clock.Now()), nil
	})
	brpeer.HandlePush(m, brwire.NameSamples, func(_ *brpeer.Conn, s []brwire.Samples) {
		forwardToLeader(c, brwire.NameSamples, s, func(l *leader, s []brwire.Samples) { l.rollouts.samples(s) })
	})
	brpeer.HandlePush(m, brwire.NameTrip, func(_ *brpeer.Conn, t brwire.Trip) {
		forwardToLeader(c, brwire.NameTrip, t, func(l *leader, t brwire.Trip) { l.rollouts.trip(t) })
	})
	brpeer.HandlePush(m, nameEndpoints, func(_ *brpeer.Conn, r EndpointReport) {
		forwardToLeader(c, nameEndpoints, r, func(l *leader, r EndpointReport) { l.rollouts.endpoints(r) })
	})
}

// entryLostTimeout is how long an entry may be disconnected before its
// dispatched requests count as orphaned.
const entryLostTimeout = 3 * time.Second

// handleHello records which daemon opened a connection. If it is an entry, the
// pools of this daemon compare their state with the requests that it holds,
// because messages may have been lost with the previous connection.
func (d *Daemon) handleHello(c *brpeer.Conn, h brwire.Hello) {
	c.SetPeerID(h.DaemonID)
	if d.scheduler == nil {
		return
	}
	d.mu.Lock()
	d.entries[h.DaemonID] = c
	d.mu.Unlock()
	if !d.isEntry(h.DaemonID) {
		return
	}
	if row, ok := d.session.currentView().Daemon(h.DaemonID); ok {
		if l := d.links.get(row.PeerAddress); l != nil {
			l.DialNow() // grants are sent over the link that this daemon dials
		}
	}
	d.scheduler.entryConnected(h.DaemonID)
	d.wg.Go(func() { d.watchEntry(h.DaemonID, c) })
}

func (d *Daemon) isEntry(id string) bool {
	row, ok := d.session.currentView().Daemon(id)
	return !ok || slices.Contains(row.Roles, brwire.RoleEntry) // a daemon that is not in the view yet counts as an entry
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
		return // the entry has reconnected and was queried for the requests it holds
	}
	for _, r := range d.scheduler.all() {
		r.post(brpool.EntryDisconnected{EntryID: id})
	}
	select {
	case <-d.clock.After(entryLostTimeout):
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
