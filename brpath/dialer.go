package brpath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bramleyroute/brclock"

	"github.com/rs/zerolog"
)

const (
	// hedgeDelay is the time after which an unanswered direct dial is followed by one
	// through a relay. A running endpoint accepts within a few milliseconds.
	hedgeDelay = 100 * time.Millisecond
	// directTimeout limits a direct dial beside which a relay is used. It may connect
	// late and show that the path isn't lost.
	directTimeout = 500 * time.Millisecond
	// relayTimeout limits one dial through a relay, and maxRelays the relays tried for
	// one connection.
	relayTimeout = 250 * time.Millisecond
	maxRelays    = 3
	// minUnreachable is the number of relays that must fail to reach an endpoint before it
	// counts as unreachable. One may have lost its own path and not know it yet.
	minUnreachable = 2
)

// ErrNoPath reports that neither a direct dial nor a relay has reached an endpoint, and
// that no relay could say whether the endpoint is to blame.
var ErrNoPath = errors.New("brpath: no path to the endpoint")

// ErrUnreachable reports that an endpoint can't be reached although the path works. It is
// wrapped by the error of Dialer.Relayed if the relay couldn't connect to the endpoint.
var ErrUnreachable = errors.New("brpath: endpoint is unreachable")

// Dialer opens connections to endpoints, directly or through relays. Direct and Relayed
// are required. It is safe for concurrent use. Run must be called for lost paths to be
// found again.
type Dialer struct {
	// Direct opens a direct connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Relayed opens a connection through a relay.
	Relayed func(ctx context.Context, r Relay, address string) (net.Conn, error)
	// Keep takes a direct connection that nobody waits for; nil closes it.
	Keep func(address string, c net.Conn)
	// OnChange is called after each change of the state, for which address is the endpoint
	// concerned. It must not block. It may be nil.
	OnChange func(c Change, address string)
	Clock    brclock.Clock // nil means the system clock
	Log      zerolog.Logger

	mu     sync.Mutex
	state  *State
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	total  Stats
	heard  chan struct{} // closed and set to nil by Heard; nil if nobody waits
}

// Stats holds the totals of a Dialer.
type Stats struct {
	Relayed uint64 // connections through relays
	Trials  uint64 // direct dials to find out whether a path is back
}

// NewDialer returns a Dialer that has lost no path. Its function fields have to be set
// before use. The caller must call Close.
func NewDialer(cfg Config) *Dialer {
	d := &Dialer{state: New(cfg), Clock: brclock.System{}, Log: zerolog.Nop()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close ends the dials in progress and waits for them. Later ones fail with net.ErrClosed.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
}

// begin registers an operation that Close waits for, and reports whether d is open. The
// caller must call d.wg.Done at the end.
func (d *Dialer) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.wg.Add(1)
	return true
}

// Stats returns the totals since the creation of d.
func (d *Dialer) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total
}

// Tunnels returns the number of open connections through relays.
func (d *Dialer) Tunnels() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Tunnels()
}

// Partitioned reports whether the daemon is partitioned from the endpoints.
func (d *Dialer) Partitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Partitioned()
}

// PrefersDirect reports whether the next connection to the endpoint at address is dialed
// directly first.
func (d *Dialer) PrefersDirect(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Direct(address)
}

// SetRelays replaces the daemons that may relay.
func (d *Dialer) SetRelays(relays []Relay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.SetRelays(relays)
}

// Forget removes what is known of an endpoint that is gone.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Forget(address)
}

// Dial opens a connection to the endpoint at address. Nothing is sent to the endpoint
// before it returns. The error wraps ErrNoPath if it says nothing about the endpoint.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !d.begin() {
		return nil, net.ErrClosed
	}
	defer d.wg.Done()
	d.mu.Lock()
	direct, relays := d.state.Direct(address), d.state.HasRelays()
	d.mu.Unlock()
	switch {
	case !relays:
		return d.Direct(ctx, address)
	case direct:
		return d.dialHedged(ctx, address)
	}
	c, err := d.dialRelays(ctx, address)
	if errors.Is(err, ErrNoPath) {
		return d.dialHedged(ctx, address)
	}
	return c, err
}

// result is the end of a dial.
type result struct {
	conn net.Conn
	err  error
}

// dialHedged dials directly, and through relays if that fails or takes longer than
// hedgeDelay.
func (d *Dialer) dialHedged(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := d.startDirect(ctx, address)
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		direct = nil
	case <-d.Clock.After(hedgeDelay):
		d.directFailed(address)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	relayed := make(chan result, 1)
	d.wg.Go(func() {
		c, err := d.dialRelays(ctx, address)
		relayed <- result{c, err}
	})
	return d.firstOf(ctx, direct, relayed)
}

// firstOf returns the first connection of a direct dial and one through relays. The error
// is that of the relays, which doesn't wait for the direct dial if they can't reach the
// endpoint.
func (d *Dialer) firstOf(ctx context.Context, direct, relayed <-chan result) (net.Conn, error) {
	var err error
	for direct != nil || relayed != nil {
		select {
		case r := <-direct:
			if r.err == nil {
				d.wg.Go(func() { closeLate(relayed) })
				return r.conn, nil
			}
			direct = nil
		case r := <-relayed:
			if r.err == nil || errors.Is(r.err, ErrUnreachable) {
				return r.conn, r.err
			}
			err, relayed = r.err, nil
		case <-ctx.Done():
			d.wg.Go(func() { closeLate(relayed) })
			return nil, context.Cause(ctx)
		}
	}
	return nil, err
}

// closeLate closes the connection of a dial that isn't needed any more.
func closeLate(r <-chan result) {
	if r == nil {
		return
	}
	if late := <-r; late.conn != nil {
		late.conn.Close()
	}
}

// startDirect dials directly in the background. The dial goes on for up to directTimeout
// when ctx ends; a connection that nobody waits for then is passed to Keep.
func (d *Dialer) startDirect(ctx context.Context, address string) <-chan result {
	done := make(chan result)
	d.wg.Go(func() {
		dialCtx, cancel := context.WithTimeout(d.ctx, directTimeout)
		defer cancel()
		c, err := d.Direct(dialCtx, address)
		if err == nil {
			d.directConnected(address)
		} else if d.ctx.Err() == nil {
			d.directFailed(address)
		}
		select {
		case done <- result{c, err}:
		case <-ctx.Done():
			d.keep(address, c)
		}
	})
	return done
}

// keep passes on a direct connection that nobody waits for.
func (d *Dialer) keep(address string, c net.Conn) {
	switch {
	case c == nil:
	case d.Keep == nil || d.ctx.Err() != nil:
		c.Close()
	default:
		d.Keep(address, c)
	}
}

// dialRelays dials through one relay after the other until one of them has reached the
// endpoint. The error wraps ErrUnreachable if those that could relay didn't reach it, and
// ErrNoPath if they were too few to tell.
func (d *Dialer) dialRelays(ctx context.Context, address string) (net.Conn, error) {
	began := d.Clock.Now()
	var tried []string
	unreachable := 0
	err := errors.New("no daemon can relay")
	for range maxRelays {
		d.mu.Lock()
		r, ok := d.state.Relay(d.Clock.Now(), tried)
		d.mu.Unlock()
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, r.Daemon)
		var c net.Conn
		if c, err = d.dialRelay(ctx, r, address); err == nil {
			return c, nil
		}
		if errors.Is(err, ErrUnreachable) {
			unreachable++
		}
		if unreachable == minUnreachable {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case ctx.Err() != nil:
	case unreachable == minUnreachable, unreachable > 0 && unreachable == len(tried):
		d.state.EndpointUnreachable(address)
		return nil, err
	case !d.state.Partitioned() && d.state.HeardSince(began), d.state.OnlyFailure(d.Clock.Now(), address):
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNoPath, err)
}

// dialRelay dials through one relay.
func (d *Dialer) dialRelay(ctx context.Context, r Relay, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := d.Relayed(dialCtx, r, address)
	d.mu.Lock()
	now := d.Clock.Now()
	change := NoChange
	switch {
	case err == nil:
		d.state.TunnelOpened(r.Daemon)
		d.total.Relayed++
		change = d.state.RelayConnected(now, address)
	case ctx.Err() != nil, errors.Is(err, ErrUnreachable): // says nothing about the relay
	default:
		d.state.RelayFailed(now, r.Daemon)
		d.Log.Info().Str("daemon", r.Daemon).Str("address", address).Err(err).Msg("daemon can't relay")
	}
	d.mu.Unlock()
	d.changed(change, address)
	if err != nil {
		return nil, err
	}
	return &relayedConn{Conn: c, relay: r.Daemon, close: func() { d.tunnelClosed(r.Daemon) }}, nil
}

func (d *Dialer) tunnelClosed(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.TunnelClosed(daemon)
}

func (d *Dialer) directConnected(address string) {
	d.mu.Lock()
	change := d.state.DirectConnected(d.Clock.Now(), address)
	d.wakeHeard()
	d.mu.Unlock()
	d.changed(change, address)
}

func (d *Dialer) directFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.DirectFailed(d.Clock.Now(), address)
}

func (d *Dialer) changed(c Change, address string) {
	if c != NoChange && d.OnChange != nil {
		d.OnChange(c, address)
	}
}

// Run dials endpoints directly whose path is lost, until Close is called.
func (d *Dialer) Run() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.Clock.After(minTrialInterval / 5):
		}
		d.mu.Lock()
		address, due := d.state.NextTrial(d.Clock.Now())
		if due {
			d.total.Trials++
		}
		d.mu.Unlock()
		if !due || !d.begin() {
			continue
		}
		ctx, cancel := context.WithCancel(d.ctx)
		cancel() // nobody waits for it
		d.startDirect(ctx, address)
		d.wg.Done()
	}
}
