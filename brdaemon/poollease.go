package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpool"
	"bramleyroute/brtimeline"
)

// tendLease renews the pool's lease, gives it up when it has ended, and asks for
// it when the pool has no owner that can be reached.
func (r *poolRunner) tendLease() {
	now := r.d.clock.Now()
	if epoch := r.heldEpoch(); epoch != 0 {
		if held, ok := r.d.session.holds(r.lease); !ok || held != epoch {
			r.lost()
			return
		}
		r.mu.Lock()
		due := now.Sub(r.lastRenew) >= renewEvery && !r.busy && !r.releasing
		if due {
			r.busy, r.lastRenew = true, now
		}
		r.mu.Unlock()
		if due {
			r.wg.Go(func() { r.renew(epoch) })
		}
		return
	}
	if !r.mayAsk(now) {
		return
	}
	r.mu.Lock()
	due := now.Sub(r.lastAsk) >= acquireEvery && !r.busy && !r.releasing
	if due {
		r.busy, r.lastAsk = true, now
	}
	r.mu.Unlock()
	if due {
		r.wg.Go(r.acquire)
	}
}

// mayAsk reports whether this daemon should ask for the pool's lease now.
func (r *poolRunner) mayAsk(now time.Time) bool {
	if r.d.draining.Load() || !r.d.session.takesWork() || !r.d.session.registered() {
		return false
	}
	v := r.d.session.present()
	o, _ := v.Owner(r.name)
	if o.Holder != "" && o.Holder != r.d.self.ID && r.d.connTo(o.Holder) != nil {
		r.ownerGone = time.Time{}
		return false // before the candidates are sorted, which takes most of the time of a tick
	}
	rank := slices.Index(candidates(v, r.name), r.d.self.ID)
	if rank < 0 {
		return false // not registered yet
	}
	wait := time.Duration(rank) * candidateStep
	if o.Holder != "" {
		wait += ownerSilence
	}
	if r.ownerGone.IsZero() {
		r.ownerGone = now
	}
	return now.Sub(r.ownerGone) >= wait
}

func (r *poolRunner) renew(epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	err := r.d.session.renew(ctx, r.lease, epoch)
	if err != nil {
		r.d.log.Debug().Err(err).Str("pool", r.name).Msg("lease was not renewed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	if err != nil && !brerror.Is(err, brerror.NotOwner) {
		r.lastRenew = time.Time{} // try again at the next tick
	}
}

// renewTimeout bounds one renewal; a later answer could not extend the lease by
// much.
const renewTimeout = time.Second

func (r *poolRunner) acquire() {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	l, err := r.d.session.acquire(ctx, r.lease, r.d.leaseDuration)
	r.mu.Lock()
	r.busy = false
	if err == nil {
		r.epoch, r.lastRenew, r.ownerGone = l.Epoch, r.d.clock.Now(), time.Time{}
	}
	r.mu.Unlock()
	if err != nil {
		r.d.log.Debug().Err(err).Str("pool", r.name).Msg("lease was not granted")
		return
	}
	r.d.log.Info().Str("pool", r.name).Uint64("epoch", l.Epoch).Msg("pool taken over")
	r.d.record(brtimeline.Event{Kind: brtimeline.LeaseGranted, Pool: r.name, Epoch: l.Epoch})
	if !r.awaitView(l.Epoch) {
		return
	}
	r.post(brpool.Takeover{Epoch: l.Epoch, Entries: entriesOf(r.d.session.present(), r.name)})
}

// lost ends the ownership in this process.
func (r *poolRunner) lost() {
	r.mu.Lock()
	epoch := r.epoch
	r.epoch = 0
	r.mu.Unlock()
	if epoch == 0 {
		return
	}
	r.d.log.Warn().Str("pool", r.name).Uint64("epoch", epoch).Msg("pool lease ended")
	r.d.record(brtimeline.Event{Kind: brtimeline.LeaseLost, Pool: r.name, Epoch: epoch})
	r.step(brpool.LeaseEnded{})
}

// awaitView waits until the view shows the pool's own epoch: it then has every
// entry that was registered before the lease was granted, and all of them are
// asked what they hold.
func (r *poolRunner) awaitView(epoch uint64) bool {
	for r.heldEpoch() == epoch {
		if o, ok := r.d.session.present().Owner(r.name); ok && o.Epoch >= epoch {
			return true
		}
		select {
		case <-r.d.clock.After(viewPause):
		case <-r.stop:
			return false
		}
	}
	return false
}

// viewPause is the time between two looks at the view after a takeover.
const viewPause = 10 * time.Millisecond

func (r *poolRunner) heldEpoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// startRelease begins a planned handover. Without an ownership it is complete at
// once.
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

func (r *poolRunner) giveLeaseBack(epoch uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := r.d.session.release(ctx, r.lease, epoch); err != nil {
		r.d.log.Warn().Err(err).Str("pool", r.name).Msg("lease was not released; it will lapse")
	}
	r.mu.Lock()
	r.epoch = 0
	r.mu.Unlock()
	r.post(brpool.LeaseEnded{})
	close(r.released)
}
