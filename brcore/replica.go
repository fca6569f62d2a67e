package brcore

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"bramleyroute/brcontrol"
)

const (
	// restartDelay is the pause before a replica whose disk failed is started
	// again. The rest of the daemon goes on serving meanwhile.
	restartDelay = 500 * time.Millisecond
	// maintainInterval is the pause between two checks of the membership, and
	// between two checks whether the state may be published.
	maintainInterval = 250 * time.Millisecond
	// publishInterval is the pause between two tries to publish the first state.
	publishInterval = 25 * time.Millisecond
	// election is the shortest silence of a leader before an election. The replicas
	// of one region answer within a few milliseconds.
	election = 300 * time.Millisecond
	// snapshotEvery keeps a log of full documents within a small disk.
	snapshotEvery = 64 // entries
)

// supervise runs the replica, and starts it again after its disk failed or the
// group removed it.
func (c *Core) supervise() {
	for c.ctx.Err() == nil {
		err := c.runReplica()
		if c.ctx.Err() != nil {
			return
		}
		c.cfg.Log.Error().Err(err).Msg("replica stopped; starting it again")
		if errors.Is(err, brcontrol.ErrRemoved) {
			c.clearDir()
		}
		select {
		case <-c.cfg.Clock.After(restartDelay):
		case <-c.ctx.Done():
		}
	}
}

// runReplica runs one replica until it fails or the core is closed.
func (c *Core) runReplica() error {
	failed := make(chan error, 1)
	c.mu.Lock()
	c.state, c.published, c.applied = State{}, 0, 0
	c.mu.Unlock()
	r, err := brcontrol.Start(brcontrol.Config{
		Dir: c.cfg.Dir, Self: c.cfg.Self, Keys: c.cfg.Keys,
		Discover: c.cfg.Replicas, MayFound: c.cfg.MayFound,
		Machine: brcontrol.Machine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore},
		Fatal: func(err error) {
			select {
			case failed <- err:
			default:
			}
		},
		OnApplied:     func(uint64) { c.publish() },
		SnapshotEvery: snapshotEvery, Election: election,
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
		c.cfg.Log.Warn().Err(closeErr).Msg("closing the replica's files failed")
	}
	return err
}

// maintain publishes the state, removes lost voters while this replica leads,
// and returns when the replica fails.
func (c *Core) maintain(r *brcontrol.Replica, failed <-chan error) error {
	for {
		select {
		case err := <-failed:
			return err
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-c.cfg.Clock.After(c.maintainPause()):
		}
		c.publish()
		st := r.Status()
		if !st.LeaseValid {
			continue
		}
		if id, ok := lostVoter(st.Status, c.cfg.Tolerance); ok {
			ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
			err := r.RemoveReplica(ctx, id)
			cancel()
			c.cfg.Log.Warn().Str("replica", string(id)).Dur("silent_ms", st.Silent[id]).AnErr("error", err).
				Msg("removed a silent replica from the group")
		}
	}
}

// maintainPause is short until the state was published for the first time, since
// daemons that start wait for it.
func (c *Core) maintainPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.published == 0 {
		return publishInterval
	}
	return maintainInterval
}

func (c *Core) apply(index uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = index
	return c.state.Apply(index, data)
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
	c.applied = max(c.applied, c.state.document.Index)
	for _, r := range c.state.rollouts {
		c.applied = max(c.applied, r.Index)
	}
	return nil
}

// publish tells the state, unless the replica may be behind the newest one.
func (c *Core) publish() {
	r := c.replica.Load()
	if r == nil {
		return
	}
	newest, _, ok := r.Confirm()
	st := r.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || st.MachineApplied < newest || c.applied <= c.published {
		return
	}
	c.published = c.applied
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

// clearDir empties the data folder of a replica that was removed, so that it can
// join again under a new id.
func (c *Core) clearDir() {
	entries, err := os.ReadDir(c.cfg.Dir)
	if err != nil {
		c.cfg.Log.Error().Err(err).Msg("reading the data folder failed")
		return
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(c.cfg.Dir, e.Name())); err != nil {
			c.cfg.Log.Error().Err(err).Msg("emptying the data folder failed")
		}
	}
}
