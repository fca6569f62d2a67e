package brtunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"bramleyroute/brpath"
)

// relayDialTimeout limits the dial of a daemon that relays. A running endpoint accepts
// within a few milliseconds, and the other daemon waits with a caller.
const relayDialTimeout = 150 * time.Millisecond

// Connect makes d open connections through other daemons as tunnels with the keys of s, and
// s relay for other daemons over direct connections of d while d has a path to endpoints.
// It sets d.Relayed and the Dial, DialTimeout and Available of s.
func Connect(d *brpath.Dialer, s *Server) {
	client := Dialer{Keys: s.Keys}
	d.Relayed = func(ctx context.Context, r brpath.Relay, address string) (net.Conn, error) {
		c, err := client.Dial(ctx, r.Address, address)
		var dialErr *DialError
		if errors.As(err, &dialErr) && dialErr.Cause.ConcernsEndpoint() {
			return nil, fmt.Errorf("%w: %w", brpath.ErrUnreachable, err)
		}
		return c, err
	}
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := d.DialDirect(ctx, address)
		if errors.Is(err, brpath.ErrNoPath) {
			return nil, fmt.Errorf("%w: %w", ErrNoPath, err)
		}
		return c, err
	}
	s.DialTimeout = relayDialTimeout
	s.Available = func() bool { return !d.Partitioned() }
}
