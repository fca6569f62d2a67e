package brpath

import (
	"context"
	"errors"
	"net"
	"time"
)

// Works reports whether this daemon has a direct path to the endpoint at address, or
// whether the endpoint is dead. It opens a connection to find out and returns it; it is nil
// if there is none.
func (d *Dialer) Works(ctx context.Context, address string) (bool, net.Conn) {
	c, err := d.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, ErrUnreachable), nil
	}
	return !Relayed(c), c
}

// LostSince is State.LostSince.
func (d *Dialer) LostSince(address string, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.LostSince(address, t)
}

// HasRelays reports whether any daemon may relay.
func (d *Dialer) HasRelays() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.HasRelays()
}
