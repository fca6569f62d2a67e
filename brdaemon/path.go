package brdaemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brpath"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brtunnel"
)

const (
	// nameEndpointKnown is the call by which a daemon asks the owner of a pool whether an
	// address is that of one of its endpoints.
	nameEndpointKnown = "endpoint_known"

	// endpointDialTimeout limits the dial of an endpoint. It leaves time for a direct dial
	// that isn't answered (100 ms) and for three relays (some 215 ms each), so that a dead
	// endpoint is told from a lost path.
	endpointDialTimeout = 800 * time.Millisecond
	// tunnelDialTimeout limits the dial of a daemon that relays. A running endpoint accepts
	// within a few milliseconds, and the other daemon waits with a caller.
	tunnelDialTimeout = 150 * time.Millisecond
	// knownTimeout limits the queries to the owners of the pools, which are a round trip of
	// a few milliseconds away.
	knownTimeout = 100 * time.Millisecond
	// knownLifetime is how long an owner's answer counts. It spans the takeover of a pool,
	// during which streams are resumed and nobody knows its endpoints.
	knownLifetime = 10 * time.Second
	// forgetAfter is the time since the last dial after which an endpoint is forgotten.
	forgetAfter    = 5 * time.Minute
	forgetInterval = 10 * time.Second
)

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

type (
	// endpointQuery is the call nameEndpointKnown.
	endpointQuery struct {
		Pool    string `cbor:"pool"`
		Address string `cbor:"address"`
	}
	endpointReply struct {
		Known bool `cbor:"known"`
	}
)

// paths reaches endpoints directly or through other daemons, and relays for these.
type paths struct {
	daemon *Daemon
	dialer *brpath.Dialer
	client brtunnel.Dialer
	server *brtunnel.Server
	http   *http.Client // for orders to endpoints

	mu     sync.Mutex
	known  map[string]time.Time // when an owner last knew an endpoint, by address
	dialed map[string]time.Time // when an endpoint was last dialed, by address
}

// newPaths returns the paths of d. Direct connections are opened by dial; nil means
// net.Dialer.
func newPaths(d *Daemon, dial dialFunc) *paths {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	p := &paths{
		daemon: d, dialer: brpath.NewDialer(brpath.Config{FailureDomain: d.self.FailureDomain, Random: rand.Float64}),
		client: brtunnel.Dialer{Keys: d.keys}, known: map[string]time.Time{}, dialed: map[string]time.Time{},
	}
	p.dialer.Clock, p.dialer.Log = d.clock, d.log
	p.dialer.Direct = func(ctx context.Context, address string) (net.Conn, error) { return p.dialDirect(ctx, dial, address) }
	p.dialer.Relayed, p.dialer.OnChange = p.dialRelayed, p.changed
	p.server = &brtunnel.Server{
		Keys: d.keys, Dial: p.dialForPeer, DialTimeout: tunnelDialTimeout, Clock: d.clock, Allow: p.knows,
		Available: func() bool { return !p.dialer.Partitioned() },
	}
	// Each order dials, so that http.Transport repeats none on a reused connection.
	p.http = &http.Client{Transport: &http.Transport{DialContext: p.dialEndpoint, DisableKeepAlives: true}}
	return p
}

// directConn is a direct connection to an endpoint. It records what arrives.
type directConn struct {
	net.Conn
	dialer  *brpath.Dialer
	address string
}

func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.dialer.Heard(c.address)
	}
	return n, err
}

func (p *paths) dialDirect(ctx context.Context, dial dialFunc, address string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &directConn{Conn: c, dialer: p.dialer, address: address}, nil
}

// dialEndpoint opens a connection to an endpoint for this daemon itself.
func (p *paths) dialEndpoint(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	p.dialed[address] = p.daemon.clock.Now()
	p.mu.Unlock()
	return p.dialer.Dial(ctx, address)
}

// dialRelayed opens a connection to an endpoint through another daemon.
func (p *paths) dialRelayed(ctx context.Context, r brpath.Relay, address string) (net.Conn, error) {
	c, err := p.client.Dial(ctx, r.Address, address)
	var dialErr *brtunnel.DialError
	if errors.As(err, &dialErr) && dialErr.Cause.ConcernsEndpoint() {
		return nil, fmt.Errorf("%w: %w", brpath.ErrUnreachable, err)
	}
	return c, err
}

// dialForPeer opens a direct connection to an endpoint for another daemon.
func (p *paths) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	p.dialed[address] = p.daemon.clock.Now()
	p.mu.Unlock()
	c, err := p.dialer.DialDirect(ctx, address)
	if errors.Is(err, brpath.ErrNoPath) {
		return nil, fmt.Errorf("%w: %w", brtunnel.ErrNoPath, err)
	}
	return c, err
}

// failed implements brdispatch.Client.PathFailed.
func (p *paths) failed(ctx context.Context, address string, c net.Conn, opened time.Time, err error) bool {
	switch {
	case c == nil:
		return p.dialer.HasRelays() && !errors.Is(err, brpath.ErrUnreachable)
	case errors.Is(err, brtunnel.ErrRelayLost):
		return true
	case brpath.Relayed(c), !brevent.EndedByPeer(err) && !errors.Is(err, os.ErrDeadlineExceeded):
		return false
	case p.dialer.LostSince(address, opened):
		return true
	}
	works, check := p.dialer.Works(ctx, address)
	if check != nil {
		check.Close()
	}
	p.daemon.log.Info().Str("address", address).Bool("works", works).Err(err).Msg("path checked after a lost connection")
	return !works
}

// changed applies a change of this daemon's paths.
func (p *paths) changed(c brpath.Change, address string) {
	if e := p.daemon.entry; e != nil && (c == brpath.PathLost || c == brpath.Partitioned) {
		now := p.daemon.clock.Now()
		e.ReportLostPaths(func(a string) bool { return p.dialer.LostSince(a, now) })
	}
	p.daemon.log.Info().Str("address", address).Stringer("change", c).Msg("path to an endpoint changed")
	switch c {
	case brpath.Partitioned:
		p.daemon.log.Warn().Msg("direct path to the endpoints lost; connecting through other daemons")
	case brpath.Rejoined:
		p.daemon.log.Warn().Msg("direct path to the endpoints is back")
	}
}

// viewChanged makes the other daemons of the region relay. The endpoints of a pool are in
// the region of the entries that use it.
func (p *paths) viewChanged(v brstate.View) {
	var relays []brpath.Relay
	for _, row := range v.Daemons {
		if row.ID != p.daemon.self.ID && row.Region == p.daemon.self.Region {
			relays = append(relays, brpath.Relay{Daemon: row.ID, Address: row.PeerAddress, FailureDomain: row.FailureDomain})
		}
	}
	p.dialer.SetRelays(relays)
}

// knows reports whether address is that of an endpoint of a pool of the region, according
// to the pool's owner. Other daemons know only some of the endpoints, since each endpoint
// announces itself to one daemon, which forwards this to the owner.
func (p *paths) knows(address string) bool {
	now := p.daemon.clock.Now()
	p.mu.Lock()
	at, ok := p.known[address]
	p.mu.Unlock()
	if ok && now.Sub(at) < knownLifetime {
		return true
	}
	ctx, cancel := context.WithTimeout(p.daemon.ctx, knownTimeout)
	defer cancel()
	answers := make(chan bool)
	queries := 0
	for _, o := range p.daemon.session.currentView().Owners {
		if o.Holder == "" || regionOf(o.Pool) != p.daemon.self.Region {
			continue
		}
		queries++
		go func() {
			select {
			case answers <- p.askOwner(ctx, o, address):
			case <-ctx.Done():
			}
		}()
	}
	for range queries {
		select {
		case known := <-answers:
			if known {
				p.mu.Lock()
				p.known[address] = now
				p.mu.Unlock()
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// askOwner reports whether the owner of a pool knows an endpoint.
func (p *paths) askOwner(ctx context.Context, o brstate.Owner, address string) bool {
	d := p.daemon
	if o.Holder == d.self.ID {
		return d.scheduler != nil && d.scheduler.knows(o.Pool, address)
	}
	row, ok := d.session.currentView().Daemon(o.Holder)
	if !ok {
		return false
	}
	l := d.links.get(row.PeerAddress)
	if l == nil {
		return false
	}
	c, err := l.Wait(ctx) // the first query to an owner dials the link
	if err != nil {
		return false
	}
	reply, err := brpeer.Call[endpointQuery, endpointReply](ctx, c, nameEndpointKnown, endpointQuery{Pool: o.Pool, Address: address})
	return err == nil && reply.Known
}

// run finds lost paths again and forgets endpoints that are no longer used, until close is
// called.
func (p *paths) run() {
	p.daemon.wg.Go(p.dialer.Run)
	for {
		select {
		case <-p.daemon.ctx.Done():
			return
		case <-p.daemon.clock.After(forgetInterval):
			p.forget(p.daemon.clock.Now())
		}
	}
}

// forget removes what is known of endpoints that haven't been dialed for forgetAfter. While
// the daemon is partitioned they are kept, because a direct dial to one of them shows that
// the path is back.
func (p *paths) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, at := range p.known {
		if now.Sub(at) >= knownLifetime {
			delete(p.known, a)
		}
	}
	if p.dialer.Partitioned() {
		return
	}
	for a, at := range p.dialed {
		if now.Sub(at) >= forgetAfter {
			delete(p.dialed, a)
			p.dialer.Forget(a)
		}
	}
}

// drain refuses new tunnels and waits until the open ones have ended, so that a planned
// stop interrupts no request of another daemon.
func (p *paths) drain(ctx context.Context) error {
	return p.server.Drain(ctx)
}

func (p *paths) close() {
	p.dialer.Close()
	p.server.Close()
}

// knows reports whether this daemon owns a pool and an endpoint of it has this address.
func (s *scheduler) knows(pool, address string) bool {
	r := s.find(pool)
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch == 0 {
		return false
	}
	for _, a := range r.endpoints {
		if a.Address == address {
			return true
		}
	}
	return false
}
