package brpath

import (
	"context"
	"fmt"
	"net"
	"time"
)

// verdictWait is the time for which a daemon waits after a failed dial to hear from any
// endpoint, which shows that its own path works. Busy daemons hear from streams every
// few milliseconds.
const verdictWait = 60 * time.Millisecond

// Heard records that something has arrived directly from the endpoint at address.
func (d *Dialer) Heard(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Heard(d.Clock.Now(), address)
	d.wakeHeard()
}

// SilentSince returns the time since which nothing has arrived directly from any endpoint;
// zero if nothing ever has.
func (d *Dialer) SilentSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.heardAt
}

// wakeHeard wakes the calls of awaitHeard. The caller must hold d.mu.
func (d *Dialer) wakeHeard() {
	if d.heard != nil {
		close(d.heard)
		d.heard = nil
	}
}

// awaitHeard waits up to verdictWait for something to arrive directly from any endpoint
// after t, and reports whether it has.
func (d *Dialer) awaitHeard(ctx context.Context, t time.Time) bool {
	d.mu.Lock()
	if d.state.HeardSince(t) {
		d.mu.Unlock()
		return true
	}
	if d.heard == nil {
		d.heard = make(chan struct{})
	}
	heard := d.heard
	d.mu.Unlock()
	select {
	case <-heard:
		return true
	case <-d.Clock.After(verdictWait):
	case <-ctx.Done():
	}
	return false
}

// HeardSinceLoss is State.HeardSinceLoss.
func (d *Dialer) HeardSinceLoss(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.HeardSinceLoss(address)
}

// DialDirect opens a direct connection for another daemon. The error wraps ErrNoPath if
// this daemon's own path may be to blame.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	lost := d.state.Lost(address) || d.state.Partitioned()
	d.mu.Unlock()
	if lost {
		return nil, ErrNoPath
	}
	began := d.Clock.Now()
	c, err := d.Direct(ctx, address)
	if err == nil {
		d.directConnected(address)
		return c, nil
	}
	if !d.awaitHeard(ctx, began) {
		return nil, fmt.Errorf("%w: %w", ErrNoPath, err)
	}
	return nil, err
}
