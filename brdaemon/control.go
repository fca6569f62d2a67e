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
	nameReports      = "reports"       // call from the leader to the other replicas
	nameLedgerRecord = "ledger_record" // call from an entry
)

// control implements the role of a control replica: it applies the log to the
// state machine, tracks the sessions of daemons, sends updates to watchers, and
// performs the leader's duties while elected.
type control struct {
	daemon  *Daemon
	replica *brcontrol.Replica

	mu              sync.Mutex
	state           *brstate.State
	sessions        brmember.Sessions
	watchers        map[*brpeer.Conn]uint64 // revision of the last view or change sent
	leader          *leader                 // nil unless this replica leads
	acceptedChanges []broperator.HistoryEntry

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func startControl(d *Daemon) (*control, error) {
	c := &control{daemon: d, state: brstate.New(), watchers: map[*brpeer.Conn]uint64{}}
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
	if c.leader != nil && reply.Error == nil { // a rejected command must not restart a lease's timer
		c.leader.updateTimers(data)
	}
	if change != nil {
		if change.Configuration != nil {
			c.recordAccepted(index, data, reply.Result)
		}
		c.broadcast(*change)
	}
	out, err := brwire.Encode(reply)
	if err != nil {
		panic("brdaemon: encode reply: " + err.Error())
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

func (c *control) heartbeat(_ context.Context, _ *brpeer.Conn, h brwire.Heartbeat) (brwire.HeartbeatReply, error) {
	now := c.daemon.clock.Now()
	if h.Leaving {
		c.sessionStep(now, brmember.SessionClosed{DaemonID: h.Daemon.ID})
		return brwire.HeartbeatReply{Sequence: h.Sequence}, nil
	}
	c.sessionStep(now, brmember.HeartbeatReceived{Heartbeat: h})
	reply := brwire.HeartbeatReply{Sequence: h.Sequence}
	commit, age, ok := c.replica.ConfirmedRevision()
	applied := c.replica.Status().MachineApplied
	c.mu.Lock()
	// A replica that has not applied all committed entries can't tell the
	// revision that the daemon needs.
	if ok && applied >= commit {
		reply.Confirmed, reply.Age, reply.Revision = true, age, c.state.View().Revision
	}
	c.mu.Unlock()
	c.sessionStep(c.daemon.clock.Now(), brmember.ReplySent{DaemonID: h.Daemon.ID, Sequence: h.Sequence})
	return reply, nil
}

func (c *control) ack(_ *brpeer.Conn, a brwire.HeartbeatAck) {
	c.sessionStep(c.daemon.clock.Now(), brmember.AckReceived{Ack: a})
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
			c.daemon.log.Warn().Strs("daemons", e.DaemonIDs).Msg("no heartbeats from daemons")
		case brmember.OwnNetworkSuspected:
			c.daemon.log.Warn().Bool("suspected", e.Suspected).Msg("heartbeats of many daemons missing at once; suspicion of a fault in this replica's own network changed")
		}
	}
}

// register adds a daemon to the control state unless it is there already. It
// stops when the daemon's session ends, so that a daemon that left is not
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
		c.daemon.log.Debug().Err(err).Str("daemon_id", d.ID).Msg("daemon was not registered; retrying")
		select {
		case <-c.daemon.clock.After(registerRetryInterval):
		case <-c.ctx.Done():
		}
	}
}

func (c *control) hasSession(d brwire.Daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions.HasLive(d.ID, d.Incarnation)
}

// registerRetryInterval is the time between two attempts to register a daemon.
// Other daemons can be registered in between.
const registerRetryInterval = 150 * time.Millisecond

func (c *control) tickSessions() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.daemon.clock.After(sessionTick):
			c.sessionStep(c.daemon.clock.Now(), brmember.SessionTick{})
		}
	}
}

func (c *control) view() brstate.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.View()
}

// handlePropose handles a command of a daemon or an operator. A follower
// forwards it to the leader, which stamps the time and makes the checks that
// need the leader's state.
func (c *control) handlePropose(ctx context.Context, _ *brpeer.Conn, p brwire.Propose) (brwire.ProposeReply, error) {
	cmd, err := brwire.Decode[brstate.Command](p.Command)
	if err != nil {
		return brwire.ProposeReply{}, brerror.New(brerror.InvalidRequest, "command: %w", err)
	}
	return c.propose(ctx, cmd)
}

func (c *control) propose(ctx context.Context, cmd brstate.Command) (brwire.ProposeReply, error) {
	c.mu.Lock()
	l := c.leader
	c.mu.Unlock()
	if l == nil {
		return c.forward(ctx, cmd)
	}
	data, err := l.prepare(cmd)
	if err != nil {
		return brwire.ProposeReply{}, err
	}
	out, err := c.replica.Propose(ctx, data)
	changesMembers := cmd.RegisterDaemon != nil || cmd.DeregisterDaemon != nil
	if err != nil {
		if changesMembers && brerror.Is(err, brerror.NotLeader) {
			l.memberChangeFailed()
		}
		return brwire.ProposeReply{}, err
	}
	reply, err := brwire.Decode[brwire.ProposeReply](out)
	if changesMembers && err == nil && reply.Error != nil {
		l.memberChangeFailed()
	}
	if err == nil && reply.Error == nil && cmd.PutConfiguration != nil {
		err = l.waitApplied(ctx, reply.Revision)
	}
	return reply, err
}

func (c *control) forward(ctx context.Context, cmd brstate.Command) (brwire.ProposeReply, error) {
	st := c.replica.Status()
	if st.LeaderAddress == "" || st.LeaderAddress == c.daemon.self.PeerAddress {
		return brwire.ProposeReply{}, brerror.New(brerror.NotLeader, "no leader of the control group is known")
	}
	conn := c.daemon.links.conn(st.LeaderAddress)
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

// readRecord serves a linearizable read of a ledger record.
func (c *control) readRecord(ctx context.Context, _ *brpeer.Conn, q RecordQuery) (RecordReply, error) {
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return RecordReply{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.state.Request(q.RequestID)
	return RecordReply{Found: ok, Record: r}, nil
}

// RecordQuery queries a control replica for the ledger record of a request.
type RecordQuery struct {
	RequestID string `cbor:"request_id"`
}

// RecordReply is the reply to a RecordQuery.
type RecordReply struct {
	Found  bool            `cbor:"found"`
	Record brledger.Record `cbor:"record"`
}

// forwardToLeader calls handle if this replica leads, and otherwise forwards
// the push of a scheduler to the leader.
func forwardToLeader[T any](c *control, name string, msg T, handle func(*leader, T)) {
	c.mu.Lock()
	l := c.leader
	c.mu.Unlock()
	if l != nil {
		handle(l, msg)
		return
	}
	st := c.replica.Status()
	if st.LeaderAddress == "" || st.LeaderAddress == c.daemon.self.PeerAddress {
		return // the scheduler reports again each second
	}
	if conn := c.daemon.links.conn(st.LeaderAddress); conn != nil {
		_ = brpeer.Push(conn, name, msg)
	}
}

func (c *control) onLeader(leads bool, term uint64) {
	c.mu.Lock()
	old := c.leader
	c.leader = nil
	if leads {
		c.leader = newLeader(c, term, c.state)
	}
	c.mu.Unlock()
	if old != nil {
		old.stop()
	}
	c.daemon.log.Info().Bool("leader", leads).Uint64("term", term).Msg("control leadership changed")
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
