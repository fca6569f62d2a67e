package brcore

import (
	"context"
	"errors"
	"time"

	"bramleyroute/brcontrol"
	"bramleyroute/brformat"
	"bramleyroute/brwal"
)

const (
	// restartDelay is the delay before a replica whose disk failed is restarted. The
	// rest of the daemon continues to serve meanwhile.
	restartDelay = 500 * time.Millisecond
	// maintainInterval is the interval between two checks of the membership, and
	// between two checks whether new state can be published.
	maintainInterval = 250 * time.Millisecond
	// publishInterval is the interval between attempts to publish the first state.
	publishInterval = 25 * time.Millisecond
	// electionTimeout is the shortest time without a message from the leader before
	// an election. Replicas of one region respond within a few milliseconds.
	electionTimeout = 300 * time.Millisecond
	// snapshotInterval limits the log between two snapshots, so that a log of
	// documents of maximum size fits on a small disk.
	snapshotInterval = 64 // entries
)

// supervise runs the replica and restarts it after a disk failure, after its removal from the
// group, or after the removal of a log that can't be read.
func (c *Core) supervise() {
	for c.ctx.Err() == nil {
		err := c.runReplica()
		if c.ctx.Err() != nil {
			return
		}
		c.cfg.Log.Error().Err(err).Msg("replica stopped; restarting it")
		if errors.Is(err, brcontrol.ErrRemoved) || isDamaged(err) && c.othersServe() {
			c.removed.Store(true)
			c.removeLog()
		}
		select {
		case <-c.cfg.Clock.After(restartDelay):
		case <-c.ctx.Done():
		}
	}
}

// isDamaged reports whether err says that the log can't be read for good. A log of a later build
// isn't damaged.
func isDamaged(err error) bool {
	var corruption *brwal.CorruptionError
	var unsupported *brformat.UnsupportedError
	return errors.As(err, &corruption) && !errors.As(err, &unsupported)
}

// othersServe reports whether the other replicas have a leader that has confirmed its newest
// entry. A majority without this replica then has every entry that was ever acknowledged, so
// that the log of this one isn't needed: it joins with an empty one, like after a lost disk.
func (c *Core) othersServe() bool {
	_, err := c.Document(c.ctx)
	if err == nil {
		c.cfg.Log.Warn().Str("dir", c.cfg.Dir).Msg("log can't be read; removing it, since the other replicas have all entries")
	}
	return err == nil
}

// runReplica runs one replica until it fails or the core is closed.
func (c *Core) runReplica() error {
	failed := make(chan error, 1)
	c.mu.Lock()
	c.state, c.publishedIndex, c.appliedIndex = State{}, 0, 0
	c.mu.Unlock()
	r, err := brcontrol.Start(brcontrol.Config{
		Dir: c.cfg.Dir, Self: c.cfg.Self, Keys: c.cfg.Keys,
		Discover: c.cfg.Replicas, MayBootstrap: c.mayBootstrap,
		StateMachine: brcontrol.StateMachine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore},
		Fatal: func(err error) {
			select {
			case failed <- err:
			default:
			}
		},
		OnApplied:     func(uint64) { c.publish() },
		SnapshotEvery: snapshotInterval, ElectionTimeout: electionTimeout,
		MaxVoters: maxVoters(c.cfg.Tolerance), VoterTimeout: spareTimeout,
		Clock: c.cfg.Clock, WAL: c.cfg.WAL,
	})
	if err != nil {
		return err
	}
	c.replica.Store(r)
	c.cfg.Log.Info().Str("dir", c.cfg.Dir).Msg("replica started")
	err = c.maintain(r, failed)
	c.replica.Store(nil)
	if closeErr := r.Close(); closeErr != nil {
		c.cfg.Log.Warn().Err(closeErr).Msg("closing the replica failed")
	}
	return err
}

// mayBootstrap reports whether this daemon's replica may bootstrap a new group. One that
// was removed has an empty disk, but knows that a group exists, whether or not a replica
// of it responds at present.
func (c *Core) mayBootstrap() bool { return !c.removed.Load() && c.cfg.MayBootstrap() }

// maintain publishes the state, and removes lost voters while this replica leads.
// It returns when the replica fails, the log has a command of a later build or the core
// is closed.
func (c *Core) maintain(r *brcontrol.Replica, failed <-chan error) error {
	var leadership leadership
	for {
		select {
		case err := <-failed:
			return err
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-c.cfg.Clock.After(c.maintainDelay()):
		}
		if err := c.stateErr(); err != nil {
			return err
		}
		c.publish()
		st := r.Status()
		leadership = c.logLeadership(leadership, st)
		if !st.LeaseValid {
			continue
		}
		if id, ok := removableMember(st.Status, c.cfg.Tolerance); ok {
			ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
			err := r.RemoveReplica(ctx, id)
			cancel()
			c.cfg.Log.Warn().Str("replica", string(id)).Dur("silent_ms", st.SinceLastReply[id]).AnErr("error", err).
				Msg("removing an unresponsive replica from the group")
		}
	}
}

// leadership is what a replica knows of the leader.
type leadership struct {
	term       uint64
	role       string
	leader     string
	leaseValid bool // this replica is the leader and holds its lease
}

// logLeadership logs a change of the leadership and returns the current one.
func (c *Core) logLeadership(old leadership, st brcontrol.Status) leadership {
	current := leadership{term: st.Term, role: st.Role, leader: st.LeaderAddress, leaseValid: st.LeaseValid}
	if current != old {
		c.cfg.Log.Info().Uint64("term", st.Term).Str("role", st.Role).Str("leader", st.LeaderAddress).Bool("lease_valid", st.LeaseValid).
			Int("voters", st.Membership.Voters()).Uint64("last", st.Last).Uint64("commit", st.Commit).Msg("leadership changed")
	}
	return current
}

// maintainDelay returns the delay until the next check. It is short until the
// state has been published once, because starting daemons wait for it.
func (c *Core) maintainDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.publishedIndex == 0 {
		return publishInterval
	}
	return maintainInterval
}

func (c *Core) apply(index uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedIndex = index
	return c.state.Apply(index, data)
}

func (c *Core) stateErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Err()
}

func (c *Core) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot()
}

func (c *Core) restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.Restore(data); err != nil {
		return err
	}
	c.appliedIndex = max(c.appliedIndex, c.state.document.Index)
	for _, r := range c.state.rollouts {
		c.appliedIndex = max(c.appliedIndex, r.Index)
	}
	for _, e := range c.state.evacuations {
		c.appliedIndex = max(c.appliedIndex, e.Index)
	}
	return nil
}

// publish passes the state to the callbacks unless the replica may be behind the
// newest committed state.
func (c *Core) publish() {
	r := c.replica.Load()
	if r == nil {
		return
	}
	newest, _, ok := r.ConfirmedRevision()
	st := r.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || st.MachineApplied < newest || c.appliedIndex <= c.publishedIndex || c.state.Err() != nil {
		return
	}
	c.publishedIndex = c.appliedIndex
	if c.cfg.OnEvacuations != nil && len(c.state.evacuations) > 0 {
		c.cfg.OnEvacuations(c.state.sortedEvacuations())
	}
	if c.cfg.OnDocument != nil && c.state.document.Version > 0 {
		c.cfg.OnDocument(c.state.document)
	}
	if c.cfg.OnRollouts != nil {
		var all []Rollout
		for _, x := range c.state.rollouts {
			all = append(all, x)
		}
		c.cfg.OnRollouts(all)
	}
}

// removeLog removes the log of a replica that was removed or can't be started, so that it can
// join the group again under a new ID. Other files of the daemon remain.
func (c *Core) removeLog() {
	o := c.cfg.WAL
	o.Dir = c.cfg.Dir
	if err := brwal.Remove(o); err != nil {
		c.cfg.Log.Error().Err(err).Msg("removing the log failed")
	}
}
