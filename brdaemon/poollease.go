package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpool"
	"bramleyroute/brtimeline"
)

// maintainLease renews the pool's lease, ends the ownership when the lease has
// ended, and tries to acquire the lease when the pool has no reachable owner.
func (r *poolRunner) maintainLease() {
	now := r.daemon.clock.Now()
	if epoch := r.heldEpoch(); epoch != 0 {
		if held, ok := r.daemon.session.holds(r.lease); !ok || held != epoch {
			r.leaseLost()
			return
		}
		r.mu.Lock()
		due := now.Sub(r.lastRenew) >= renewInterval && !r.leaseCommandPending && !r.releasing
		if due {
			r.leaseCommandPending, r.lastRenew = true, now
		}
		r.mu.Unlock()
		if due {
			r.wg.Go(func() { r.renew(epoch) })
		}
		return
	}
	if !r.shouldAcquire(now) {
		return
	}
	r.mu.Lock()
	due := now.Sub(r.lastAcquire) >= acquireInterval && !r.leaseCommandPending && !r.releasing
	if due {
		r.leaseCommandPending, r.lastAcquire = true, now
	}
	r.mu.Unlock()
	if due {
		r.wg.Go(r.acquire)
	}
}

// shouldAcquire reports whether this daemon should try to acquire the pool's
// lease now.
func (r *poolRunner) shouldAcquire(now time.Time) bool {
	if r.daemon.draining.Load() || !r.daemon.session.acceptsWork() || !r.daemon.session.registered() {
		return false
	}
	v := r.daemon.session.currentView()
	o, _ := v.Owner(r.name)
	if o.Holder != "" && o.Holder != r.daemon.self.ID && r.daemon.connTo(o.Holder) != nil {
		r.ownerUnreachableSince = time.Time{}
		return false // return before sorting the candidates, which takes most of the time of a tick
	}
	rank := slices.Index(candidates(v, r.name), r.daemon.self.ID)
	if rank < 0 {
		return false // not registered yet
	}
	wait := time.Duration(rank) * candidateDelay
	if o.Holder != "" {
		wait += ownerUnreachableTimeout
	}
	if r.ownerUnreachableSince.IsZero() {
		r.ownerUnreachableSince = now
	}
	return now.Sub(r.ownerUnreachableSince) >= wait
}

func (r *poolRunner) renew(epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCommandTimeout)
	defer cancel()
	err := r.daemon.session.renew(ctx, r.lease, epoch)
	if err != nil {
		r.daemon.log.Debug().Err(err).Str("pool", r.name).Msg("lease was not renewed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseCommandPending = false
	if err != nil && !brerror.Is(err, brerror.NotOwner) {
		r.lastRenew = time.Time{} // retry at the next tick
	}
}

// leaseCommandTimeout limits one renewal or acquisition. A later reply could
// not extend the lease by much.
const leaseCommandTimeout = time.Second

func (r *poolRunner) acquire() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCommandTimeout)
	defer cancel()
	l, err := r.daemon.session.acquire(ctx, r.lease, r.daemon.leaseDuration)
	r.mu.Lock()
	r.leaseCommandPending = false
	if err == nil {
		r.epoch, r.lastRenew, r.ownerUnreachableSince = l.Epoch, r.daemon.clock.Now(), time.Time{}
	}
	r.mu.Unlock()
	if err != nil {
		r.daemon.log.Debug().Err(err).Str("pool", r.name).Msg("lease was not granted")
		return
	}
	r.daemon.log.Info().Str("pool", r.name).Uint64("epoch", l.Epoch).Msg("pool taken over")
	r.daemon.record(brtimeline.Event{Kind: brtimeline.LeaseGranted, Pool: r.name, Epoch: l.Epoch})
	if !r.waitForView(l.Epoch) {
		return
	}
	r.post(brpool.Takeover{Epoch: l.Epoch, Entries: entriesOf(r.daemon.session.currentView(), r.name)})
}

// leaseLost ends the ownership of the pool in this process.
func (r *poolRunner) leaseLost() {
	r.mu.Lock()
	epoch := r.epoch
	r.epoch = 0
	r.mu.Unlock()
	if epoch == 0 {
		return
	}
	r.daemon.log.Warn().Str("pool", r.name).Uint64("epoch", epoch).Msg("pool lease ended")
	r.daemon.record(brtimeline.Event{Kind: brtimeline.LeaseLost, Pool: r.name, Epoch: epoch})
	r.step(brpool.LeaseEnded{})
}

// waitForView waits until the view shows this daemon's epoch of the pool. The
// view then contains every entry that was registered before the lease was
// granted, and all of them are queried for the requests they hold.
func (r *poolRunner) waitForView(epoch uint64) bool {
	for r.heldEpoch() == epoch {
		if o, ok := r.daemon.session.currentView().Owner(r.name); ok && o.Epoch >= epoch {
			return true
		}
		select {
		case <-r.daemon.clock.After(viewPollInterval):
		case <-r.stop:
			return false
		}
	}
	return false
}

// viewPollInterval is the time between two checks of the view after a takeover.
const viewPollInterval = 10 * time.Millisecond

func (r *poolRunner) heldEpoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// startRelease starts the planned release of the pool. It is complete at once
// if this daemon isn't the owner.
func (r *poolRunner) startRelease() {
	r.mu.Lock()
	owner := r.epoch != 0
	first := !r.releasing
	r.releasing = true
	r.mu.Unlock()
	if !first {
		return
	}
	if !owner {
		close(r.released)
		return
	}
	r.post(brpool.Release{})
}

func (r *poolRunner) releaseLease(epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := r.daemon.session.release(ctx, r.lease, epoch); err != nil {
		r.daemon.log.Warn().Err(err).Str("pool", r.name).Msg("lease was not released; it will lapse")
	}
	r.mu.Lock()
	r.epoch = 0
	r.mu.Unlock()
	r.post(brpool.LeaseEnded{})
	close(r.released)
}
