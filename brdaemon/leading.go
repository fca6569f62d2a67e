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
	// reportEvery is how often the leader asks the replicas for their sessions;
	// with the daemons' acknowledgements the answers are fresh enough for the
	// rule on lapsed leases.
	reportEvery = 200 * time.Millisecond
	// reportSoon is the same while a change waits for the news that a majority
	// has applied it, for reportSoonFor after it began to wait. Daemons register
	// one after the other; see docs/measurements/failover.md.
	reportSoon    = 50 * time.Millisecond
	reportSoonFor = time.Second
	// removeEvery is how often daemons without a session are looked for.
	removeEvery = 10 * time.Second
	// inForceLimit is how long a configuration change waits for the majority of
	// the daemons before it is answered with an unknown outcome.
	inForceLimit = 4 * time.Second
)

// leading is what a control replica keeps and does while it leads one term.
type leading struct {
	c    *control
	term uint64

	mu      sync.Mutex
	timers  *brlease.Timers
	members *brmember.Leader
	changed chan struct{} // closed and replaced after each report
	// memberChange is one more than the members' revision that the last proposed
	// change of the registered daemons was based on.
	memberChange   uint64
	memberChangeAt time.Time
	soonUntil      time.Time // reports are asked for at reportSoon

	rollouts *rollouts

	ctx    context.Context
	cancel context.CancelFunc
}

// newLeading starts the leader's duties. The caller holds the control's lock.
func newLeading(c *control, term uint64, s *brstate.State) *leading {
	now := c.d.clock.Now()
	l := &leading{
		c: c, term: term, timers: brlease.NewTimers(now, s.Leases()), members: brmember.NewLeader(now),
		changed: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(c.ctx)
	l.rollouts = newRollouts(l)
	c.wg.Go(l.run)
	c.wg.Go(l.rollouts.run)
	return l
}

// stop ends the duties without waiting: it runs on the replica's goroutine, for
// which the duties may be waiting.
func (l *leading) stop() { l.cancel() }

func (l *leading) run() {
	removed := l.c.d.clock.Now()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.c.d.clock.After(l.interval()):
		}
		l.collect()
		if now := l.c.d.clock.Now(); now.Sub(removed) >= removeEvery {
			removed = now
			l.removeLost(now)
		}
	}
}

// interval returns the time until the next collect.
func (l *leading) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c.d.clock.Now().Before(l.soonUntil) {
		return reportSoon
	}
	return reportEvery
}

// collect asks every replica for its sessions.
func (l *leading) collect() {
	own := l.c.d.clock.Now()
	l.c.mu.Lock()
	rows := l.c.sessions.Reports(own)
	l.c.mu.Unlock()
	l.report(own, rows)
	for _, m := range l.c.replica.Status().Membership.Members {
		if m.Address == l.c.d.self.PeerAddress {
			continue
		}
		conn := l.c.d.links.conn(m.Address)
		if conn == nil {
			continue
		}
		l.c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(l.ctx, time.Second)
			defer cancel()
			asked := l.c.d.clock.Now()
			rows, err := brpeer.Call[brwire.EmptyReply, []brmember.Report](ctx, conn, nameReports, brwire.EmptyReply{})
			if err == nil {
				l.report(asked, rows)
			}
		})
	}
}

func (l *leading) report(asked time.Time, rows []brmember.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members.Report(asked, rows)
	close(l.changed)
	l.changed = make(chan struct{})
}

// applied keeps the timers. It is called with the control's lock held.
func (l *leading) applied(data []byte) {
	name := leaseOf(data)
	if name == "" {
		return
	}
	if row, ok := l.c.state.Lease(name); ok {
		l.mu.Lock()
		l.timers.Update(l.c.d.clock.Now(), row)
		l.mu.Unlock()
	}
}

// prepare stamps a command and adds what only the leader knows.
func (l *leading) prepare(cmd brstate.Command) ([]byte, error) {
	now := l.c.d.clock.Now()
	view := l.c.view()
	registered := view.DaemonIDs()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cmd.RegisterDaemon != nil || cmd.DeregisterDaemon != nil:
		if err := l.mayChangeMembers(cmd, view); err != nil {
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

// mayChangeMembers allows one change of the set of registered daemons at a time,
// each only after a majority has applied the one before; see brmember. The
// caller holds the lock.
func (l *leading) mayChangeMembers(cmd brstate.Command, v brstate.View) error {
	id := ""
	if cmd.RegisterDaemon != nil {
		id = cmd.RegisterDaemon.Daemon.ID
	} else {
		id = cmd.DeregisterDaemon.DaemonID
		if cmd.DeregisterDaemon.OperatorConfirmed {
			return nil
		}
	}
	_, known := v.Daemon(id)
	if known == (cmd.RegisterDaemon != nil) {
		return nil // the set stays as it is
	}
	now := l.c.d.clock.Now()
	l.soonUntil = now.Add(reportSoonFor)
	pending := l.memberChange == v.MembersRevision+1 && now.Sub(l.memberChangeAt) < memberChangeWait
	if pending || !l.members.Applied(v.MembersRevision, v.DaemonIDs()) {
		return brerror.New(brerror.NoQuorum, "another change of the registered daemons is not yet known to a majority; nothing was changed")
	}
	l.memberChange, l.memberChangeAt = v.MembersRevision+1, now
	return nil
}

// memberChangeFailed lets the next change of the registered daemons go ahead
// after one that certainly was not made.
func (l *leading) memberChangeFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memberChange = 0
}

// memberChangeWait is how long a proposed change of the registered daemons keeps
// others back; by then it is committed or its proposer has given up.
const memberChangeWait = proposeTimeout

// waitApplied returns when a majority of the registered daemons has applied a
// revision: only then a change outlives the loss of the control group.
func (l *leading) waitApplied(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for {
		registered := l.c.view().DaemonIDs()
		l.mu.Lock()
		l.soonUntil = l.c.d.clock.Now().Add(reportSoonFor)
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

// removeLost takes daemons without a session off the register.
func (l *leading) removeLost(now time.Time) {
	v := l.c.view()
	l.mu.Lock()
	ids := l.members.Removable(now, v.DaemonIDs())
	l.mu.Unlock()
	for _, id := range ids {
		d, ok := v.Daemon(id)
		if !ok {
			continue
		}
		cmd := brstate.Command{ID: uuid.NewString(), DeregisterDaemon: &brstate.DeregisterDaemon{DaemonID: id, Incarnation: d.Incarnation}}
		if _, err := l.c.propose(l.ctx, cmd); err != nil {
			l.c.d.log.Warn().Err(err).Str("daemon_id", id).Msg("lost daemon was not removed")
		}
	}
}
