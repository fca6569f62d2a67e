package brdaemon

import (
	"context"
	"sync"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const (
	// reportInterval is the time between the leader's requests to the replicas
	// for their session reports. Together with the daemons' acknowledgements
	// the reports are fresh enough for the rule on lapsed leases.
	reportInterval = 200 * time.Millisecond
	// fastReportInterval replaces reportInterval for fastReportPeriod after a
	// change has begun to wait for a majority to apply it. Daemons register one
	// after the other; see docs/measurements/failover.md.
	fastReportInterval = 50 * time.Millisecond
	fastReportPeriod   = time.Second
	// removeInterval is the time between two searches for daemons without a
	// session.
	removeInterval = 10 * time.Second
	// applyTimeout limits the wait of a configuration change for a majority of
	// the daemons to apply it. After that the outcome is reported as unknown.
	applyTimeout = 4 * time.Second
)

// leader holds the state and performs the duties of a control replica while it
// leads one term.
type leader struct {
	control *control
	term    uint64

	mu      sync.Mutex
	timers  *brlease.Timers
	members *brmember.Leader
	changed chan struct{} // closed and replaced after each report
	// memberChangeRevision is one more than the members revision on which the last
	// proposed change of the registered daemons was based.
	memberChangeRevision uint64
	memberChangeAt       time.Time
	fastReportsUntil     time.Time // end of the period in which reports are collected at fastReportInterval

	rollouts *rollouts

	ctx    context.Context
	cancel context.CancelFunc
}

// newLeader starts the leader's duties. The caller holds control.mu.
func newLeader(c *control, term uint64, s *brstate.State) *leader {
	now := c.daemon.clock.Now()
	l := &leader{
		control: c, term: term, timers: brlease.NewTimers(now, s.Leases()), members: brmember.NewLeader(now),
		changed: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(c.ctx)
	l.rollouts = newRollouts(l)
	c.wg.Go(l.run)
	c.wg.Go(l.rollouts.run)
	return l
}

// stop ends the duties without waiting for them: it runs on the replica's
// goroutine, for which the duties may be waiting.
func (l *leader) stop() { l.cancel() }

func (l *leader) run() {
	lastRemoval := l.control.daemon.clock.Now()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.control.daemon.clock.After(l.interval()):
		}
		l.collectReports()
		if now := l.control.daemon.clock.Now(); now.Sub(lastRemoval) >= removeInterval {
			lastRemoval = now
			l.removeLost(now)
		}
	}
}

// interval returns the time until the next collection of reports.
func (l *leader) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.daemon.clock.Now().Before(l.fastReportsUntil) {
		return fastReportInterval
	}
	return reportInterval
}

// collectReports collects the session reports of all replicas.
func (l *leader) collectReports() {
	now := l.control.daemon.clock.Now()
	l.control.mu.Lock()
	rows := l.control.sessions.Reports(now)
	l.control.mu.Unlock()
	l.addReports(now, rows)
	for _, m := range l.control.replica.Status().Membership.Members {
		if m.Address == l.control.daemon.self.PeerAddress {
			continue
		}
		conn := l.control.daemon.links.conn(m.Address)
		if conn == nil {
			continue
		}
		l.control.wg.Go(func() {
			ctx, cancel := context.WithTimeout(l.ctx, time.Second)
			defer cancel()
			queried := l.control.daemon.clock.Now()
			rows, err := brpeer.Call[brwire.EmptyReply, []brmember.Report](ctx, conn, nameReports, brwire.EmptyReply{})
			if err == nil {
				l.addReports(queried, rows)
			}
		})
	}
}

func (l *leader) addReports(queried time.Time, rows []brmember.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Report(queried, rows)
	close(l.changed)
	l.changed = make(chan struct{})
}

// updateTimers updates the timer of the lease that a command has changed. The
// caller holds control.mu.
func (l *leader) updateTimers(data []byte) {
	name := leaseOf(data)
	if name == "" {
		return
	}
	if row, ok := l.control.state.Lease(name); ok {
		l.mu.Lock()
		l.timers.Update(l.control.daemon.clock.Now(), row)
		l.mu.Unlock()
	}
}

// prepare checks a command, adds the time and the lapsed leases, which only the
// leader has, and encodes it.
func (l *leader) prepare(cmd brstate.Command) ([]byte, error) {
	now := l.control.daemon.clock.Now()
	view := l.control.view()
	registered := view.DaemonIDs()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cmd.RegisterDaemon != nil || cmd.DeregisterDaemon != nil:
		if err := l.checkMemberChange(cmd, view); err != nil {
			return nil, err
		}
	case cmd.PutConfiguration != nil:
		if len(registered) > 0 && !l.members.Live(now, registered) {
			return nil, brerror.New(brerror.NoQuorum, "fewer than a majority of the %d registered daemons have a session; nothing was changed", len(registered))
		}
	}
	stamped := cmd.Stamped(now.Round(0).UTC(), func(name string) (brlease.Term, bool) {
		term, ok := l.timers.Lapsed(now, name)
		return term, ok && l.members.Confirmed(now, registered)
	})
	return stamped.Encode()
}

// checkMemberChange permits one change of the set of registered daemons at a
// time, each only after a majority has applied the previous one; see brmember.
// The caller holds l.mu.
func (l *leader) checkMemberChange(cmd brstate.Command, v brstate.View) error {
	id := ""
	if cmd.RegisterDaemon != nil {
		id = cmd.RegisterDaemon.Daemon.ID
	} else {
		id = cmd.DeregisterDaemon.DaemonID
		if cmd.DeregisterDaemon.OperatorConfirmed {
			return nil
		}
	}
	_, registered := v.Daemon(id)
	if registered == (cmd.RegisterDaemon != nil) {
		return nil // the set doesn't change
	}
	now := l.control.daemon.clock.Now()
	l.fastReportsUntil = now.Add(fastReportPeriod)
	pending := l.memberChangeRevision == v.MembersRevision+1 && now.Sub(l.memberChangeAt) < memberChangeTimeout
	if pending || !l.members.Applied(v.MembersRevision, v.DaemonIDs()) {
		return brerror.New(brerror.NoQuorum, "a majority has not yet applied the previous change of the registered daemons; nothing was changed")
	}
	l.memberChangeRevision, l.memberChangeAt = v.MembersRevision+1, now
	return nil
}

// memberChangeFailed permits the next change of the registered daemons after
// one that was certainly not made.
func (l *leader) memberChangeFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memberChangeRevision = 0
}

// memberChangeTimeout is how long a proposed change of the registered daemons
// blocks others. By then it is committed or its proposer has given up.
const memberChangeTimeout = proposeTimeout

// waitApplied waits until a majority of the registered daemons has applied a
// revision. Only then does a change survive the loss of the control group.
func (l *leader) waitApplied(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		registered := l.control.view().DaemonIDs()
		l.mu.Lock()
		l.fastReportsUntil = l.control.daemon.clock.Now().Add(fastReportPeriod)
		ok, changed := len(registered) == 0 || l.members.Applied(revision, registered), l.changed
		l.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return brerror.New(brerror.NoQuorum, "revision %d is committed, but a majority of the daemons has not applied it yet; send the command again", revision)
		case <-l.ctx.Done():
			return brerror.New(brerror.NotLeader, "leadership ended; send the command again")
		}
	}
}

// removeLost deregisters daemons that have been without a session for long
// enough; see brmember.
func (l *leader) removeLost(now time.Time) {
	v := l.control.view()
	l.mu.Lock()
	ids := l.members.Removable(now, v.DaemonIDs())
	l.mu.Unlock()
	for _, id := range ids {
		d, ok := v.Daemon(id)
		if !ok {
			continue
		}
		cmd := brstate.Command{ID: uuid.NewString(), DeregisterDaemon: &brstate.DeregisterDaemon{DaemonID: id, Incarnation: d.Incarnation}}
		if _, err := l.control.propose(l.ctx, cmd); err != nil {
			l.control.daemon.log.Warn().Err(err).Str("daemon_id", id).Msg("lost daemon was not deregistered")
		}
	}
}
