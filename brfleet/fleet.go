package brfleet

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"
	"bramleyroute/brconn"
	"bramleyroute/brcontrol"
	"bramleyroute/brcore"
	"bramleyroute/brdrain"
	"bramleyroute/brgossip"
	"bramleyroute/brlogging"
	"bramleyroute/brpeer"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brproxy"
	"bramleyroute/brquota"
	"bramleyroute/brserver"
	"bramleyroute/brtunnel"
	"bramleyroute/brwal"

	"github.com/rs/zerolog"
)

// Config configures a Fleet.
type Config struct {
	ID            string // ID of this daemon
	Address       string // host:port at which other daemons reach the peer listener
	Listen        string // host:port of the peer listener; empty means Address
	FailureDomain string
	Dir           string // data directory of the replica; empty means no replica
	Tolerance     int    // number of replicas that may fail at the same time
	Bootstrap     bool   // first start of the whole fleet, with empty disks
	Seeds         func() []string
	Keys          brpeer.Keys
	Dialect       brproxy.Dialect
	// DialEndpoint opens a connection to an endpoint; nil means TCP.
	DialEndpoint func(ctx context.Context, address string) (net.Conn, error)
	// LearnConcurrency is as in brproxy.Config.
	LearnConcurrency bool
	// ShareByCustomer is as in brproxy.Config.
	ShareByCustomer bool
	// CallerReadTimeout is as in brproxy.Config.
	CallerReadTimeout time.Duration
	// LimitMemory is as in brproxy.Config.
	LimitMemory bool
	Quota       brquota.Config
	// QuotaSlackTokens is as in brproxy.Config.
	QuotaSlackTokens float64
	// DecodePolicy decodes a policy document sent by an operator.
	DecodePolicy func(body []byte) (brpolicy.Policy, error)
	// Buffers and MaxCallers limit the requests and connections of callers, as in
	// brproxy.Config.
	Buffers    *brbuffer.Budget
	MaxCallers int
	// MaxPeers is the number of connections at the peer listener that are no links or tunnels
	// yet, above which one gives way to a new one; 0 means no limit.
	MaxPeers int
	// MaxLinks is the number of links that other daemons may open; 0 means no limit.
	MaxLinks int
	Log      zerolog.Logger
	Clock    brclock.Clock // nil means the system clock
	WAL      brwal.Options // replaces file operations in tests; Dir is ignored
}

// Fleet is one daemon of the fleet. It is safe for concurrent use.
type Fleet struct {
	cfg     Config
	started time.Time
	epoch   uint64 // version epoch of this incarnation's records
	// incarnation is the name of the records that this incarnation publishes.
	incarnation string

	mux     *brpeer.Mux
	server  *brserver.Server
	links   *brpeer.Server
	pool    *brconn.Pool
	metrics *metrics
	proxy   *brproxy.Proxy
	paths   *paths
	node    *brgossip.Node
	core    *brcore.Core

	endpoints registry
	confirmed startSet // leaving endpoints that enough daemons know of
	policies  policies
	rollouts  rollouts
	// evacuations are those that this daemon knows.
	evacuations evacuations
	leaving     atomic.Bool
	daemons     atomic.Int64 // known daemons that are not leaving
	// domainDaemons is the number of those in the same failure domain.
	domainDaemons atomic.Int64
	loadSeqs      map[string]uint64 // of the applied load records, by daemon incarnation; used by calls from node

	dropped   droppedRecords
	evidence  evidenceQueue
	reportDue chan struct{}
	stop      chan struct{}
	wg        sync.WaitGroup
}

// Start starts a daemon. It returns an error if the peer listener cannot be
// opened, and panics if Seeds or DecodePolicy is missing.
func Start(cfg Config) (*Fleet, error) {
	if cfg.Seeds == nil || cfg.DecodePolicy == nil {
		panic("brfleet: Config.Seeds and Config.DecodePolicy are required")
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
		mux:       &brpeer.Mux{},
		loadSeqs:  map[string]uint64{},
		evidence:  newEvidenceQueue(),
		reportDue: make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	f.incarnation = fmt.Sprintf("%s.%x", cfg.ID, f.epoch)
	f.policies.changed = make(chan struct{}, 1)
	if f.cfg.Buffers == nil {
		f.cfg.Buffers = brbuffer.New(brbuffer.Config{Log: cfg.Log, Clock: cfg.Clock})
	}
	f.mux.OnPanic, f.mux.OnDropped = brlogging.PanicHandler(cfg.Log), brlogging.DroppedHandler(cfg.Log)
	f.metrics = newMetrics()
	f.paths = f.newPaths()
	f.pool = &brconn.Pool{
		Dial: f.paths.dialer.Dial, OnDirect: f.paths.dialer.Heard, Clock: cfg.Clock,
		Matches: cfg.Dialect.Matches, Refusal: cfg.Dialect.Refusal,
	}
	f.proxy = brproxy.New(brproxy.Config{
		Dialect: cfg.Dialect, Pool: f.pool, Daemon: cfg.ID, FailureDomain: cfg.FailureDomain,
		LearnConcurrency: cfg.LearnConcurrency, ShareByCustomer: cfg.ShareByCustomer, LimitMemory: cfg.LimitMemory,
		CallerReadTimeout: cfg.CallerReadTimeout, Quota: cfg.Quota, QuotaSlackTokens: cfg.QuotaSlackTokens, SelectVersion: f.chooseVersion,
		ReportsChanged: f.scheduleReport, OnResult: f.countResult, OnLeaving: f.endpointLeaving, OnLimit: f.publishLimit, OnPause: f.publishPause, OnEvidence: f.evidence.add, PathWorks: f.pathWorks,
		OnFirstByte: f.metrics.firstByte.RecordDuration,
		Buffers:     f.cfg.Buffers, MaxConns: cfg.MaxCallers, Log: cfg.Log, Clock: cfg.Clock,
	})
	f.paths.dialer.Keep, f.paths.dialer.OnChange = f.pool.Put, f.onPathChange
	f.node = brgossip.New(brgossip.Config{
		Self:  brgossip.Daemon{ID: cfg.ID, Address: cfg.Address, FailureDomain: cfg.FailureDomain, Replica: cfg.Dir != ""},
		Epoch: f.epoch, Keys: cfg.Keys, Mux: f.mux, Seeds: cfg.Seeds,
		Accept: f.accept, OnRecord: f.onRecord, OnExpired: f.onExpired, OnDropped: f.onDropped, OnLink: f.onLink,
		DirectKinds: map[string]bool{kindLoad: true, kindQuotaUsage: true, kindConcurrency: true},
		DomainKinds: map[string]bool{kindDomainLoad: true}, OpenRelays: cfg.Tolerance + 1, Clock: cfg.Clock,
	})
	savedEvidence := f.loadEvidence()
	f.core = brcore.Start(brcore.Config{
		Dir: cfg.Dir, Self: brcontrol.Peer{ID: cfg.ID, Address: cfg.Address}, Tolerance: cfg.Tolerance,
		Keys: cfg.Keys, Mux: f.mux, Replicas: f.replicas, Conn: f.node.Conn, MayBootstrap: f.mayBootstrap,
		OnEvacuations: f.publishEvacuations, OnDocument: f.publishDocument, OnRollouts: f.onRollouts, Log: cfg.Log, Clock: cfg.Clock, WAL: cfg.WAL,
	})
	f.node.Run()
	f.links = &brpeer.Server{Mux: f.mux, Keys: cfg.Keys, MaxConns: cfg.MaxLinks}
	handler := http.NewServeMux()
	handler.Handle(brtunnel.Path, f.paths.server)
	handler.Handle("/", f.links)
	f.server = brserver.New(brserver.Config{
		Handler: handler, Limits: func() brserver.Limits { return peerLimits }, Buffers: f.cfg.Buffers, MaxConns: cfg.MaxPeers,
		Log: cfg.Log.Level(zerolog.WarnLevel), Clock: cfg.Clock, // closes of connections are logged for callers only
	})
	f.wg.Go(func() { f.servePeers(l) })
	f.wg.Go(f.runPolicies)
	f.wg.Go(f.runLoad)
	f.wg.Go(f.runEvidence)
	f.wg.Go(func() { f.runEvidenceFile(savedEvidence) })
	f.wg.Go(f.runDaemons)
	f.wg.Go(f.runRollouts)
	f.wg.Go(f.runPaths)
	f.wg.Go(f.paths.dialer.Run)
	return f, nil
}

// peerLimits are the limits of a connection until it is a link or a tunnel. The header of an
// upgrade request has a few hundred bytes.
var peerLimits = brserver.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}

func (f *Fleet) servePeers(l net.Listener) {
	if err := f.server.Serve(l); err != nil {
		f.cfg.Log.Error().Err(err).Msg("peer listener failed")
	}
}

// Leave marks the daemon as not ready, announces to the other daemons that this one is
// leaving, and transfers the leadership of the replicated log and this replica's vote to other
// replicas. Requests are still served. Close is called after Leave has returned, since the
// replica votes until then.
func (f *Fleet) Leave(ctx context.Context) {
	f.leaving.Store(true)
	f.paths.server.Leave()
	f.proxy.DisableKeepAlives()
	f.node.Leave()
	f.core.Leave(ctx)
}

// Drain stops serving callers by plan, and then waits until the tunnels have ended over which
// other daemons reach endpoints. Leave is called before. If ctx ends first, Drain returns its
// error.
func (f *Fleet) Drain(ctx context.Context, plan brdrain.Plan) error {
	if err := f.proxy.Drain(ctx, plan); err != nil {
		return err
	}
	return f.paths.server.Drain(ctx)
}

// Flush sends what endpoints have announced to the other daemons, so that a planned stop
// loses none of it. It is called between the last announcement and Close, and waits until
// flushTimeout has passed or ctx ends at the latest.
func (f *Fleet) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	f.node.Flush(ctx)
}

// flushTimeout limits the wait for daemons that read slowly or publish all the time.
const flushTimeout = 250 * time.Millisecond

// Close stops the daemon and waits until it has stopped.
func (f *Fleet) Close() {
	f.core.Close()
	close(f.stop)
	f.node.Close()
	f.links.Close()
	f.paths.dialer.Close()
	f.paths.server.Close()
	if err := f.server.Close(); err != nil {
		f.cfg.Log.Warn().Err(err).Msg("closing the peer listener failed")
	}
	f.wg.Wait()
	f.proxy.Close()
	f.pool.Close()
	if err := f.metrics.Close(); err != nil {
		f.cfg.Log.Warn().Err(err).Msg("closing the metrics exporter failed")
	}
}

// Ready reports whether this daemon can serve callers: it has a policy, isn't
// leaving, and has an endpoint or has been running for longer than readyTimeout.
func (f *Fleet) Ready() bool {
	if f.leaving.Load() || f.proxy.Table() == nil {
		return false
	}
	return f.endpoints.count() > 0 || f.cfg.Clock.Now().Sub(f.started) > readyTimeout
}

// readyTimeout is the time after the start from which on a daemon with a policy is
// ready even without any endpoint.
const readyTimeout = 3 * time.Second

// Proxy returns the HTTP handler for callers.
func (f *Fleet) Proxy() *brproxy.Proxy { return f.proxy }

// Buffers returns the limit of all unfinished requests of the process.
func (f *Fleet) Buffers() *brbuffer.Budget { return f.cfg.Buffers }

// Pool returns the connection pool for endpoints.
func (f *Fleet) Pool() *brconn.Pool { return f.pool }

// replicas returns the known daemons with a replica, including this one.
func (f *Fleet) replicas() []brcontrol.Peer {
	var peers []brcontrol.Peer
	for _, d := range f.node.Daemons() {
		if d.Replica {
			peers = append(peers, brcontrol.Peer{ID: d.ID, Address: d.Address})
		}
	}
	return peers
}

// mayBootstrap reports whether this daemon's replica may bootstrap a new group.
func (f *Fleet) mayBootstrap() bool {
	return f.cfg.Bootstrap &&
		brcore.ShouldBootstrap(f.cfg.Address, f.cfg.Seeds(), f.node.Daemons(), f.cfg.Clock.Now().Sub(f.started))
}

func (f *Fleet) onLink(address string, open bool) {
	f.cfg.Log.Info().Str("daemon", address).Bool("open", open).Msg("link to a daemon changed")
}

// runDaemons periodically passes the daemons that aren't leaving to the proxy. One that
// is lost stays among them for the lifetime of its record, so that the shares of limits
// that it may still use while it is cut off aren't given to others.
func (f *Fleet) runDaemons() {
	joined := false
	for {
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(daemonsInterval):
		}
		domain := 0
		var active []string
		daemons := f.node.Daemons()
		f.setRelays(f.relays(daemons))
		for _, d := range daemons {
			if d.Leaving {
				continue
			}
			active = append(active, d.ID)
			if d.FailureDomain == f.cfg.FailureDomain {
				domain++
			}
		}
		slices.Sort(active)
		f.proxy.SetDaemons(active)
		if !joined && f.hasJoined() {
			joined = true
			f.proxy.ApplyEvent(brplace.FleetJoined{})
		}
		f.daemons.Store(int64(len(active)))
		f.domainDaemons.Store(int64(domain))
	}
}

const daemonsInterval = 250 * time.Millisecond

// onRecord applies a new version of a record.
func (f *Fleet) onRecord(r brgossip.Record) {
	switch r.Kind() {
	case kindEndpoint:
		f.applyEndpointRecord(r)
	case kindEvacuation:
		f.applyEvacuationRecord(r)
	case kindLimit:
		f.applyLimitRecord(r)
	case kindLoad, kindDomainLoad:
		f.applyLoadRecord(r)
	case kindQuotaUsage:
		f.applyQuotaUsageRecord(r)
	case kindConcurrency:
		f.applyConcurrencyRecord(r)
	case kindPolicy:
		f.applyPolicyRecord(r)
	case kindShare:
		f.applyShareRecord(r)
	case kindTally:
		f.applyTallyRecord(r)
	case kindEvidence:
		f.applyEvidenceRecord(r)
	case kindPath:
		f.applyPathRecord(r)
	case kindPause:
		f.applyPauseRecord(r)
	}
}

func (f *Fleet) onExpired(r brgossip.Record) {
	switch r.Kind() {
	case kindEndpoint:
		f.paths.dialer.Forget(f.endpoints.remove(r.Name()))
		f.proxy.ApplyEvent(brplace.EndpointLost{ID: r.Name()})
		f.cfg.Log.Info().Str("endpoint", r.Name()).Msg("endpoint removed because its record expired")
	case kindLimit:
		f.limitExpired(r)
	case kindLoad:
		delete(f.loadSeqs, r.Name())
		f.proxy.PeerLost(r.Name())
	case kindDomainLoad:
		delete(f.loadSeqs, r.Name())
		// If the daemon still reports to the whole fleet, that adds its load again.
		f.proxy.ApplyEvent(brplace.PeerLost{Daemon: r.Name()})
	case kindConcurrency:
		f.proxy.ApplyEvent(brplace.ConcurrencyReported{Daemon: r.Name()})
	case kindEvidence:
		f.evidenceExpired(r)
	case kindPath:
		f.setPartitioned(r.Name(), pathRecord{})
	}
}
