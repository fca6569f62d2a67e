package brfleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brgossip"
	"bramleyroute/brpath"
	"bramleyroute/brplace"
	"bramleyroute/brtunnel"
)

const (
	// kindPath is the kind of the records of daemons that have lost their direct path to
	// the endpoints, by daemon incarnation.
	kindPath = "path"

	// pathLifetime is the time after which a daemon counts as having a path again that
	// doesn't renew its record every pathRenewInterval.
	pathLifetime      = 12 * time.Second
	pathRenewInterval = 5 * time.Second

	// silenceAge is the time without anything from any endpoint after which the path is
	// checked if minSilent of them owe an answer. While idle connections are left, no dial
	// would show that the path is lost. silenceCheckInterval limits the checks, which cost
	// new connections.
	silenceAge           = 400 * time.Millisecond
	minSilent            = 3
	silenceCheckInterval = time.Second
)

// pathRecord is what a daemon publishes about its direct path to the endpoints.
type pathRecord struct {
	Daemon      string `cbor:"daemon"` // ID
	Partitioned bool   `cbor:"partitioned"`
}

// paths is the part of a Fleet that reaches endpoints through other daemons, and relays
// for them.
type paths struct {
	dialer *brpath.Dialer
	server *brtunnel.Server

	mu          sync.Mutex
	seq         uint64            // of the latest record
	partitioned map[string]string // IDs of other partitioned daemons, by incarnation
}

// newPaths returns the paths of f, with all functions set.
func (f *Fleet) newPaths() *paths {
	direct := f.cfg.DialEndpoint
	if direct == nil {
		direct = brconn.DialTCP
	}
	p := &paths{
		dialer:      brpath.NewDialer(brpath.Config{FailureDomain: f.cfg.FailureDomain, Random: rand.Float64}),
		partitioned: map[string]string{},
	}
	p.dialer.Clock, p.dialer.Log = f.cfg.Clock, f.cfg.Log
	p.dialer.Direct = direct
	p.server = &brtunnel.Server{Keys: f.cfg.Keys, Clock: f.cfg.Clock, Allow: f.endpoints.knows, Withheld: f.withheld}
	brtunnel.Connect(p.dialer, p.server)
	return p
}

// pathWorks reports whether this daemon has a direct path to the endpoint at address, or
// whether the endpoint is dead. It opens a connection to find out, which the next request
// uses.
func (f *Fleet) pathWorks(ctx context.Context, address string) bool {
	works, c := f.paths.dialer.Works(ctx, address)
	if c != nil {
		f.pool.Put(address, c)
	}
	return works
}

// onPathChange applies a change of this daemon's paths to endpoints. Idle connections over
// a lost path may hang or be reset when they are used, so that they are closed, unless
// something has arrived from their endpoint since.
func (f *Fleet) onPathChange(c brpath.Change, address string) {
	f.cfg.Log.Info().Str("address", address).Stringer("change", c).Msg("path to an endpoint changed")
	switch c {
	case brpath.PathLost:
		f.pool.CloseIdle(func(a, relay string) bool {
			return a == address && relay == "" && !f.paths.dialer.HeardSinceLoss(a)
		})
	case brpath.Partitioned:
		f.pool.CloseIdle(func(a, relay string) bool { return relay == "" && !f.paths.dialer.HeardSinceLoss(a) })
		f.cfg.Log.Warn().Msg("direct path to the endpoints lost; connecting through other daemons")
		f.proxy.PathLost()
		f.publishPath()
	case brpath.PathBack:
		f.pool.CloseIdle(func(a, relay string) bool { return a == address && relay != "" })
	case brpath.Rejoined:
		f.pool.CloseIdle(func(a, relay string) bool { return relay != "" && f.paths.dialer.PrefersDirect(a) })
		f.cfg.Log.Warn().Msg("direct path to the endpoints is back")
		f.proxy.PathBack()
		f.publishPath()
	}
}

// publishPath publishes whether this daemon has a direct path to the endpoints.
func (f *Fleet) publishPath() {
	p := f.paths
	p.mu.Lock()
	p.seq++
	seq, record := p.seq, pathRecord{Daemon: f.cfg.ID, Partitioned: p.dialer.Partitioned()}
	p.mu.Unlock() // applyPathRecord locks it while the node is locked
	f.node.Publish(brgossip.Record{
		Key: kindPath + "/" + f.incarnation, Version: brgossip.Version{Seq: seq}, Value: encode(record), Lifetime: pathLifetime,
	})
}

// runPaths renews this daemon's record while it has no path, and looks for silence of all
// endpoints.
func (f *Fleet) runPaths() {
	var renewedAt, checkedAt time.Time
	for {
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(silenceAge / 4):
		}
		now := f.cfg.Clock.Now()
		if f.paths.dialer.Partitioned() {
			if now.Sub(renewedAt) >= pathRenewInterval {
				renewedAt = now
				f.publishPath()
			}
			continue
		}
		if now.Sub(checkedAt) >= silenceCheckInterval && f.checkSilence(now) {
			checkedAt = now
		}
	}
}

// checkSilence checks the paths to two endpoints, as many as it takes to find a partition,
// if nothing has arrived from any endpoint for silenceAge though several owe an answer. It
// reports whether it did.
func (f *Fleet) checkSilence(now time.Time) bool {
	if now.Sub(f.paths.dialer.SilentSince()) < silenceAge {
		return false
	}
	silent := f.proxy.Unanswered(silenceAge)
	if len(silent) < minSilent {
		return false
	}
	for _, address := range silent[:2] {
		f.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), silenceCheckInterval)
			defer cancel()
			works := f.pathWorks(ctx, address)
			f.cfg.Log.Info().Str("address", address).Bool("works", works).Int("silent", len(silent)).Msg("path checked since no endpoint answers")
		})
	}
	return true
}

// applyPathRecord applies what another daemon has published about its path.
func (f *Fleet) applyPathRecord(r brgossip.Record) {
	record, ok := decode[pathRecord](f, r)
	if !ok || r.Name() == f.incarnation {
		return
	}
	f.setPartitioned(r.Name(), record)
}

// setPartitioned records whether another daemon has a path to the endpoints.
func (f *Fleet) setPartitioned(incarnation string, r pathRecord) {
	p := f.paths
	p.mu.Lock()
	if r.Partitioned {
		p.partitioned[incarnation] = r.Daemon
	} else {
		delete(p.partitioned, incarnation)
	}
	p.mu.Unlock()
	f.proxy.ApplyEvent(brplace.PeerPartitioned{Daemon: incarnation, Partitioned: r.Partitioned})
	f.cfg.Log.Info().Str("peer", incarnation).Bool("partitioned", r.Partitioned).Msg("path of a daemon to the endpoints changed")
}

// setRelays replaces the daemons that can relay. Idle connections through the others are
// closed: the next request on one could be ended by the stop of its relay, and a relay that
// stops waits until its tunnels are closed.
func (f *Fleet) setRelays(relays []brpath.Relay) {
	f.paths.dialer.SetRelays(relays)
	f.pool.CloseIdle(func(_, relay string) bool {
		return relay != "" && !slices.ContainsFunc(relays, func(r brpath.Relay) bool { return r.Daemon == relay })
	})
}

// relays returns those of the given daemons that can relay: all but this one, those that
// are leaving or have lost their own path, and in a small fleet those without a link.
func (f *Fleet) relays(daemons []brgossip.Daemon) []brpath.Relay {
	linked := map[string]bool{}
	for _, a := range f.node.LinkedAddresses() {
		linked[a] = true
	}
	sparse := f.node.SendsDomainRecords()
	p := f.paths
	p.mu.Lock()
	defer p.mu.Unlock()
	partitioned := map[string]bool{f.cfg.ID: true}
	for _, id := range p.partitioned {
		partitioned[id] = true
	}
	var relays []brpath.Relay
	for _, d := range daemons {
		if d.Leaving || partitioned[d.ID] || !sparse && !linked[d.Address] {
			continue
		}
		relays = append(relays, brpath.Relay{Daemon: d.ID, Address: d.Address, FailureDomain: d.FailureDomain})
	}
	return relays
}
