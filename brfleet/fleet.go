package brfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconn"
	"bramleyroute/brcontrol"
	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brpeer"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brproxy"
	"bramleyroute/brquota"

	"github.com/rs/zerolog"
)

// Config is what a Fleet runs with.
type Config struct {
	ID        string // of this daemon
	Address   string // host:port at which other daemons reach its peer listener
	Listen    string // host:port at which it listens for peers; empty means Address
	Zone      string // failure domain
	Dir       string // data folder of its replica; empty for none
	Tolerance int    // replicas that may be lost at once
	First     bool   // the whole fleet starts for the first time, with empty disks
	Seeds     func() []string
	Keys      brpeer.Keys
	Dialect   brproxy.Dialect
	Quota     brquota.Config
	// DecodePolicy decodes a document that an operator sent.
	DecodePolicy func(body []byte) (brpolicy.Policy, error)
	Log          zerolog.Logger
	Clock        brclock.Clock // nil means the system's
}

// Fleet is one daemon. It is safe for concurrent use.
type Fleet struct {
	cfg     Config
	started time.Time
	epoch   uint64 // of this incarnation's records
	// incarnation is the name of this incarnation's records.
	incarnation string

	mux     *brpeer.Mux
	server  *http.Server
	links   *brpeer.Server
	pool    *brconn.Pool
	metrics *metrics
	proxy   *brproxy.Proxy
	node    *brgossip.Node
	core    *brcore.Core

	endpoints registry
	policies  policies
	rollouts  rollouts
	leaving   atomic.Bool
	daemons   atomic.Int64 // that are known and not leaving

	dirty chan struct{}
	stop  chan struct{}
	wg    sync.WaitGroup
}

// Start runs a daemon. It returns an error when it can't listen for its peers.
func Start(cfg Config) (*Fleet, error) {
	if cfg.Seeds == nil || cfg.DecodePolicy == nil {
		panic("brfleet: config without Seeds or DecodePolicy")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	l, err := net.Listen("tcp", cmp.Or(cfg.Listen, cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("brfleet: listen for peers: %w", err)
	}
	f := &Fleet{
		cfg: cfg, started: cfg.Clock.Now(), epoch: uint64(cfg.Clock.Now().UnixMilli()),
		mux:   &brpeer.Mux{},
		dirty: make(chan struct{}, 1),
		stop:  make(chan struct{}),
	}
	f.incarnation = fmt.Sprintf("%s.%x", cfg.ID, f.epoch)
	f.policies.changed = make(chan struct{}, 1)
	f.metrics = newMetrics()
	f.pool = &brconn.Pool{Clock: cfg.Clock, Matches: cfg.Dialect.Matches}
	f.proxy = brproxy.New(brproxy.Config{
		Dialect: cfg.Dialect, Pool: f.pool, Daemon: cfg.ID, Zone: cfg.Zone, Quota: cfg.Quota, Changed: f.changed, Log: cfg.Log, Clock: cfg.Clock,
		Steer: f.steerVersion, Judged: f.judged, FirstByte: f.metrics.firstByte.RecordDuration,
	})
	f.node = brgossip.New(brgossip.Config{
		Self:  brgossip.Daemon{ID: cfg.ID, Address: cfg.Address, Zone: cfg.Zone, Replica: cfg.Dir != ""},
		Epoch: f.epoch, Keys: cfg.Keys, Mux: f.mux, Seeds: cfg.Seeds,
		OnRecord: f.onRecord, OnExpired: f.onExpired, OnLink: f.onLink,
		Direct: map[string]bool{kindLoad: true, kindSpent: true}, Clock: cfg.Clock,
	})
	f.core = brcore.Start(brcore.Config{
		Dir: cfg.Dir, Self: brcontrol.Peer{ID: cfg.ID, Address: cfg.Address}, Tolerance: cfg.Tolerance,
		Keys: cfg.Keys, Mux: f.mux, Replicas: f.replicas, Conn: f.node.Conn, MayFound: f.mayFound,
		OnDocument: f.publishDocument, OnRollouts: f.onRollouts, Log: cfg.Log, Clock: cfg.Clock,
	})
	f.node.Run()
	f.links = &brpeer.Server{Mux: f.mux, Keys: cfg.Keys}
	f.server = &http.Server{Handler: f.links, ReadHeaderTimeout: peerHeaderTimeout}
	f.wg.Go(func() { f.servePeers(l) })
	f.wg.Go(f.runPolicies)
	f.wg.Go(f.runLoad)
	f.wg.Go(f.runCount)
	f.wg.Go(f.runRollouts)
	return f, nil
}

// peerHeaderTimeout bounds the time that a peer takes to send its upgrade.
const peerHeaderTimeout = 5 * time.Second

func (f *Fleet) servePeers(l net.Listener) {
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		f.cfg.Log.Error().Err(err).Msg("listening for peers failed")
	}
}

// Leave makes the daemon not ready, hands the leader's role over and tells the
// other daemons. Requests are served as before.
func (f *Fleet) Leave(ctx context.Context) {
	f.leaving.Store(true)
	f.proxy.Leave()
	f.node.Leave()
	if err := f.core.HandOver(ctx); err != nil {
		f.cfg.Log.Warn().Err(err).Msg("handing the leader's role over failed")
	}
}

// Close stops the daemon and waits.
func (f *Fleet) Close() {
	f.core.Close()
	close(f.stop)
	f.node.Close()
	f.links.Close()
	if err := f.server.Close(); err != nil {
		f.cfg.Log.Warn().Err(err).Msg("closing the peer listener failed")
	}
	f.wg.Wait()
	f.proxy.Close()
	f.pool.Close()
	if err := f.metrics.Close(); err != nil {
		f.cfg.Log.Warn().Err(err).Msg("closing the metrics failed")
	}
}

// Ready reports whether this daemon can serve callers.
func (f *Fleet) Ready() bool {
	if f.leaving.Load() || f.proxy.Table() == nil {
		return false
	}
	return f.endpoints.count() > 0 || f.cfg.Clock.Now().Sub(f.started) > readyWait
}

// readyWait is the time since its start after which a daemon that knows a policy
// counts as ready without having heard of any endpoint.
const readyWait = 3 * time.Second

// Proxy returns the handler for callers.
func (f *Fleet) Proxy() *brproxy.Proxy { return f.proxy }

// Pool returns the connections to endpoints.
func (f *Fleet) Pool() *brconn.Pool { return f.pool }

// replicas returns the daemons with a replica, this one included.
func (f *Fleet) replicas() []brcontrol.Peer {
	var peers []brcontrol.Peer
	for _, d := range f.node.Daemons() {
		if d.Replica {
			peers = append(peers, brcontrol.Peer{ID: d.ID, Address: d.Address})
		}
	}
	return peers
}

func (f *Fleet) mayFound() bool {
	return f.cfg.First &&
		brcore.Founds(f.cfg.Address, f.cfg.Seeds(), f.node.Daemons(), f.cfg.Clock.Now().Sub(f.started))
}

func (f *Fleet) onLink(address string, open bool) {
	f.cfg.Log.Info().Str("daemon", address).Bool("open", open).Msg("link to a daemon changed")
}

// runCount keeps the number of daemons up to date.
func (f *Fleet) runCount() {
	for {
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(countInterval):
		}
		known := 0
		for _, d := range f.node.Daemons() {
			if !d.Leaving {
				known++
			}
		}
		f.proxy.SetDaemons(known)
		f.daemons.Store(int64(known))
	}
}

const countInterval = 250 * time.Millisecond

// onRecord takes a record that became newer.
func (f *Fleet) onRecord(r brgossip.Record) {
	switch r.Kind() {
	case kindEndpoint:
		f.endpointRecord(r)
	case kindLoad:
		f.loadRecord(r)
	case kindSpent:
		f.spentRecord(r)
	case kindPolicy:
		f.policyRecord(r)
	case kindSteer:
		f.steerRecord(r)
	case kindTally:
		f.tallyRecord(r)
	}
}

func (f *Fleet) onExpired(r brgossip.Record) {
	switch r.Kind() {
	case kindEndpoint:
		f.endpoints.remove(r.Name())
		f.proxy.Place(brplace.EndpointLost{ID: r.Name()})
		f.cfg.Log.Info().Str("endpoint", r.Name()).Msg("endpoint is no longer heard of")
	case kindLoad:
		f.proxy.PeerLost(r.Name())
	}
}
