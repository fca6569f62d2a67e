package brdaemon

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"bramleyroute/brcontrol"
	"bramleyroute/brerror"
	"bramleyroute/brledger"
	"bramleyroute/brmember"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const (
	nameReports = "reports"       // call of the leader to the other replicas
	nameRequest = "ledger_record" // call of an entry
)

// control is the role of a control replica: it applies the log to the state
// machine, holds daemons' sessions, serves watchers, and leads when elected.
type control struct {
	d       *Daemon
	replica *brcontrol.Replica

	mu       sync.Mutex
	state    *brstate.State
	sessions brmember.Sessions
	watchers map[*brpeer.Conn]uint64 // revision of the last view or change sent
	leading  *leading                // nil unless this replica leads
	accepted []broperator.HistoryEntry

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func startControl(d *Daemon) (*control, error) {
	c := &control{d: d, state: brstate.New(), watchers: map[*brpeer.Conn]uint64{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var peers []brcontrol.Peer
	self := brcontrol.Peer{ID: d.self.ID, Address: d.self.PeerAddress}
	for _, p := range d.settings.ControlPeers {
		peers = append(peers, brcontrol.Peer{ID: p.DaemonID, Address: p.Address})
	}
	r, err := brcontrol.Start(brcontrol.Config{
		Dir:  filepath.Join(d.settings.DataDir, "control"),
		Self: self, Peers: peers, Keys: d.keys, Clock: d.clock, Fatal: d.fatal,
		StateMachine: brcontrol.StateMachine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore},
		OnLeader:     c.onLeader,
	})
	if err != nil {
		return nil, fmt.Errorf("brdaemon: control replica: %w", err)
	}
	c.replica = r
	c.wg.Go(c.tickSessions)
	return c, nil
}

func (c *control) close() error {
	c.cancel()
	c.wg.Wait()
	return c.replica.Close()
}

func (c *control) apply(index uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, change := c.state.Apply(index, data)
	if c.leading != nil && reply.Error == nil { // a refused command must not restart a lease's timer
		c.leading.applied(data)
	}
	if change != nil {
		if change.Configuration != nil {
			c.noteAccepted(index, data, reply.Result)
		}
		c.broadcast(*change)
	}
	out, err := brwire.Encode(reply)
	if err != nil {
		panic("brdaemon: reply can't be encoded: " + err.Error())
	}
	return out
}

func (c *control) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot(), nil
}

func (c *control) restore(data []byte) error {
	s, err := brstate.Restore(data)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	for w := range c.watchers {
		c.sendView(w)
	}
	return nil
}

// broadcast sends a change to the watchers that have the view before it. The
// change is encoded once for all of them.
func (c *control) broadcast(ch brstate.Change) {
	if len(c.watchers) == 0 {
		return
	}
	body, err := brwire.Encode(Update{Changes: []brstate.Change{ch}})
	if err != nil {
		panic("brdaemon: change can't be encoded: " + err.Error())
	}
	for w, revision := range c.watchers {
		if revision != ch.Previous {
			c.catchUp(w, revision)
			continue
		}
		c.watchers[w] = ch.Revision
		if brpeer.PushEncoded(w, brwire.NameChange, body) != nil {
			delete(c.watchers, w)
		}
	}
}

// watch starts or restarts the feed of a watcher.
func (c *control) watch(conn *brpeer.Conn, w brwire.Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.watchers[conn]; !ok {
		c.wg.Go(func() { c.forget(conn) })
	}
	c.catchUp(conn, w.From)
}

// forget removes a watcher when its connection ends.
func (c *control) forget(conn *brpeer.Conn) {
	select {
	case <-conn.Done():
	case <-c.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watchers, conn)
}

func (c *control) catchUp(w *brpeer.Conn, from uint64) {
	u := updateAfter(c.state, from)
	c.watchers[w] = c.state.View().Revision
	if brpeer.Push(w, brwire.NameChange, u) != nil {
		delete(c.watchers, w)
	}
}

func (c *control) sendView(w *brpeer.Conn) {
	v := c.state.View()
	c.watchers[w] = v.Revision
	if brpeer.Push(w, brwire.NameChange, Update{View: &v}) != nil {
		delete(c.watchers, w)
	}
}

// updateAfter returns the changes after a revision, or the whole view when they
// are not all kept or the watcher has no view yet.
func updateAfter(s *brstate.State, from uint64) Update {
	if from > 0 {
		if changes, ok := s.ChangesAfter(from); ok {
			return Update{Changes: changes}
		}
	}
	v := s.View()
	return Update{View: &v}
}

func (c *control) heartbeat(_ context.Context, _ *brpeer.Conn, h brwire.Heartbeat) (brwire.HeartbeatReply, error) {
	now := c.d.clock.Now()
	if h.Leaving {
		c.sessionStep(now, brmember.SessionClosed{DaemonID: h.Daemon.ID})
		return brwire.HeartbeatReply{Sequence: h.Sequence}, nil
	}
	c.sessionStep(now, brmember.HeartbeatReceived{Heartbeat: h})
	reply := brwire.HeartbeatReply{Sequence: h.Sequence}
	commit, age, ok := c.replica.ConfirmedRevision()
	applied := c.replica.Status().MachineApplied
	c.mu.Lock()
	// A replica that has not applied what is committed can't name the revision
	// that the daemon needs.
	if ok && applied >= commit {
		reply.Confirmed, reply.Age, reply.Revision = true, age, c.state.View().Revision
	}
	c.mu.Unlock()
	c.sessionStep(c.d.clock.Now(), brmember.ReplySent{DaemonID: h.Daemon.ID, Sequence: h.Sequence})
	return reply, nil
}

func (c *control) ack(_ *brpeer.Conn, a brwire.HeartbeatAck) {
	c.sessionStep(c.d.clock.Now(), brmember.AckReceived{Ack: a})
}

func (c *control) sessionStep(now time.Time, ev brmember.SessionEvent) {
	c.mu.Lock()
	effects := c.sessions.Step(now, ev)
	c.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case brmember.Joined:
			c.wg.Go(func() { c.register(e.Daemon) })
		case brmember.Lost:
			c.d.log.Warn().Strs("daemons", e.DaemonIDs).Msg("daemons are silent")
		case brmember.OwnNetworkSuspected:
			c.d.log.Warn().Bool("suspected", e.Suspected).Msg("many daemons silent at once: own network suspected")
		}
	}
}

// register adds a daemon to the control state unless it is there already. It
// gives up when the daemon's session ends, so that one that left is not
// registered again.
func (c *control) register(d brwire.Daemon) {
	for c.ctx.Err() == nil && c.hasSession(d) {
		if row, ok := c.view().Daemon(d.ID); ok && row.Incarnation == d.Incarnation {
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
		_, err := c.propose(ctx, brstate.Command{ID: uuid.NewString(), RegisterDaemon: &brstate.RegisterDaemon{Daemon: d}})
		cancel()
		if err == nil {
			return
		}
		c.d.log.Debug().Err(err).Str("daemon_id", d.ID).Msg("daemon was not registered yet")
		select {
		case <-c.d.clock.After(registerPause):
		case <-c.ctx.Done():
		}
	}
}

func (c *control) hasSession(d brwire.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions.HasLive(d.ID, d.Incarnation)
}

// registerPause is the time between two attempts to register a daemon; others may
// be registered in between.
const registerPause = 150 * time.Millisecond

func (c *control) tickSessions() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.d.clock.After(sessionTick):
			c.sessionStep(c.d.clock.Now(), brmember.SessionTick{})
		}
	}
}

func (c *control) view() brstate.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.View()
}

// handlePropose serves a command of a daemon or an operator. A follower passes
// it on to the leader, which stamps the time and checks what only it can know.
func (c *control) handlePropose(ctx context.Context, _ *brpeer.Conn, p brwire.Propose) (brwire.ProposeReply, error) {
	cmd, err := brwire.Decode[brstate.Command](p.Command)
	if err != nil {
		return brwire.ProposeReply{}, brerror.New(brerror.InvalidRequest, "command: %w", err)
	}
	return c.propose(ctx, cmd)
}

func (c *control) propose(ctx context.Context, cmd brstate.Command) (brwire.ProposeReply, error) {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return c.forward(ctx, cmd)
	}
	data, err := l.prepare(cmd)
	if err != nil {
		return brwire.ProposeReply{}, err
	}
	out, err := c.replica.Propose(ctx, data)
	members := cmd.RegisterDaemon != nil || cmd.DeregisterDaemon != nil
	if err != nil {
		if members && brerror.Is(err, brerror.NotLeader) {
			l.memberChangeFailed()
		}
		return brwire.ProposeReply{}, err
	}
	reply, err := brwire.Decode[brwire.ProposeReply](out)
	if members && err == nil && reply.Error != nil {
		l.memberChangeFailed()
	}
	if err == nil && reply.Error == nil && cmd.PutConfiguration != nil {
		err = l.waitApplied(ctx, reply.Revision)
	}
	return reply, err
}

func (c *control) forward(ctx context.Context, cmd brstate.Command) (brwire.ProposeReply, error) {
	st := c.replica.Status()
	if st.LeaderAddress == "" || st.LeaderAddress == c.d.self.PeerAddress {
		return brwire.ProposeReply{}, brerror.New(brerror.NotLeader, "no leader of the control group is known")
	}
	conn := c.d.links.conn(st.LeaderAddress)
	if conn == nil {
		return brwire.ProposeReply{}, brerror.New(brerror.NotLeader, "no connection to the leader at %s", st.LeaderAddress)
	}
	data, err := cmd.Encode()
	if err != nil {
		return brwire.ProposeReply{}, err
	}
	p := brwire.Propose{CommandID: cmd.ID, Command: data}
	return brpeer.Call[brwire.Propose, brwire.ProposeReply](ctx, conn, brwire.NamePropose, p)
}

// recordOf answers a linearizable read of the ledger.
func (c *control) recordOf(ctx context.Context, _ *brpeer.Conn, q RecordQuery) (RecordReply, error) {
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return RecordReply{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.state.Request(q.RequestID)
	return RecordReply{Found: ok, Record: r}, nil
}

// RecordQuery asks a control replica for the ledger's record of a request.
type RecordQuery struct {
	RequestID string `cbor:"request_id"`
}

// RecordReply answers RecordQuery.
type RecordReply struct {
	Found  bool            `cbor:"found"`
	Record brledger.Record `cbor:"record"`
}

// toLeader passes a push of a scheduler on to the leader.
func toLeader[T any](c *control, name string, msg T, here func(*leading, T)) {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l != nil {
		here(l, msg)
		return
	}
	st := c.replica.Status()
	if st.LeaderAddress == "" || st.LeaderAddress == c.d.self.PeerAddress {
		return // the scheduler reports again each second
	}
	if conn := c.d.links.conn(st.LeaderAddress); conn != nil {
		_ = brpeer.Push(conn, name, msg)
	}
}

func (c *control) onLeader(is bool, term uint64) {
	c.mu.Lock()
	old := c.leading
	c.leading = nil
	if is {
		c.leading = newLeading(c, term, c.state)
	}
	c.mu.Unlock()
	if old != nil {
		old.stop()
	}
	c.d.log.Info().Bool("leader", is).Uint64("term", term).Msg("control leadership")
}

// leaseOf returns the name of the lease that a command changes, or "".
func leaseOf(data []byte) string {
	cmd, err := brwire.Decode[brstate.Command](data)
	if err != nil {
		return ""
	}
	switch {
	case cmd.AcquireLease != nil:
		return cmd.AcquireLease.Name
	case cmd.RenewLease != nil:
		return cmd.RenewLease.Name
	case cmd.ReleaseLease != nil:
		return cmd.ReleaseLease.Name
	}
	return ""
}
