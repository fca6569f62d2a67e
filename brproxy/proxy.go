package brproxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"
	"bramleyroute/brconcurrency"
	"bramleyroute/brconn"
	"bramleyroute/brdrain"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brquarantine"
	"bramleyroute/brquota"
	"bramleyroute/brserver"

	"github.com/rs/zerolog"
)

// tickInterval is the interval of placement ticks and of the closing of expired
// connections to endpoints.
const tickInterval = 50 * time.Millisecond

// limitLinesPerSecond bounds the log lines on learned limits. Each endpoint of a large fleet
// changes its limit every few seconds.
const limitLinesPerSecond = 5

// Config configures a Proxy.
type Config struct {
	Dialect       Dialect
	Pool          *brconn.Pool // required
	Daemon        string       // ID of this daemon
	FailureDomain string       // failure domain of this daemon
	// LearnConcurrency is as in brplace.Config.
	LearnConcurrency bool
	Quota            brquota.Config
	// ShareByCustomer says that requests of customers which receive more than their share of
	// the fleet come after those of the others of the same rank.
	ShareByCustomer bool
	// CallerReadTimeout is the time after which a caller that reads nothing of its response is
	// disconnected, which ends the run at the endpoint; 0 means no limit.
	CallerReadTimeout time.Duration
	// LimitMemory says that the tokens which the fleet has outstanding at an endpoint are
	// bounded by the memory of its engine.
	LimitMemory bool
	// QuotaSlackTokens is the number of tokens by which a customer with a quota in
	// tokens may exceed its limit in any window of time.
	QuotaSlackTokens float64
	// ReportsChanged is called when PlacementReport and QuotaReport have changed. It must
	// not block. It may be nil.
	ReportsChanged func()
	// SelectVersion returns the required and the excluded endpoint version for a
	// request, empty for none, according to the rollouts in progress; nil means no
	// restriction.
	SelectVersion func(service, route string) (version, excluded string)
	// OnResult is called with the result of each conclusive dispatch, for the
	// evaluation of rollouts. It may be nil.
	OnResult func(VersionResult)
	// OnLeaving is called when a response states that its endpoint is leaving, with the
	// endpoint as it was at the dispatch. It may be nil.
	OnLeaving func(e brplace.Endpoint)
	// OnLimit is called with the limit that a response states, if it is to be published
	// to the other daemons. It may be nil.
	OnLimit func(brplace.LimitLearned)
	// OnPause is called when an endpoint asks for a pause, with the endpoint as it was at the
	// dispatch. Relayed says that it asked another daemon, over whose connection the request
	// went. It may be nil.
	OnPause func(e brplace.Endpoint, pause time.Duration, relayed bool)
	// OnEvidence is called with new evidence on parts of prompts, to be published to the
	// other daemons. It must not block. It may be nil.
	OnEvidence func([]brquarantine.Change)
	// PathWorks reports whether this daemon has a direct path to the endpoint at address,
	// or can't tell. It is called when the endpoint has ended the connection of a run, as
	// it seems. It may be nil.
	PathWorks func(ctx context.Context, address string) bool
	// OnFirstByte is called for each completed request with the time from its arrival
	// to the first byte of the response. It may be nil.
	OnFirstByte func(time.Duration)
	// Buffers limits the memory of the requests of callers, with that of all other requests
	// of the process; nil means a limit of its own of brbuffer.DefaultBytes.
	Buffers *brbuffer.Budget
	// MaxConns is the number of connections of callers above which one gives way to a new
	// one; 0 means no limit.
	MaxConns int
	Log      zerolog.Logger
	Clock    brclock.Clock // nil means the system clock
}

// VersionResult is the result of one dispatch, attributed to the version of the
// endpoint.
type VersionResult struct {
	Service, Route, Version string
	Succeeded               bool
	// LatencyRatio is the ratio of the time to the first byte to its expected value;
	// 0 if there was no first byte.
	LatencyRatio float64
}

// Proxy is the reverse proxy of one daemon. It is safe for concurrent use.
type Proxy struct {
	cfg       Config
	table     atomic.Pointer[brpolicy.Table]
	policySet chan struct{} // closed when the first policy is set
	stats     Stats
	drain     *drainState

	server *brserver.Server

	mu              sync.Mutex
	placement       *brplace.State
	limiter         *brquota.Limiter
	waiting         map[uint64]chan brplace.Effect
	lastPlacementID uint64
	quarantine      *brquarantine.State
	runs            map[*attempt]run
	quarantined     chan struct{} // closed and replaced when a part is quarantined
	path            pathState
	durations       brdrain.Durations
	limitsLog       zerolog.Logger // for changes of learned limits
	shares          shares
	beyond          map[string]float64 // customers that receive more than their share; see brfair.Beyond

	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns a running Proxy without a policy. It panics if cfg.Pool or a required
// function of cfg.Dialect is nil. The caller must call Close.
func New(cfg Config) *Proxy {
	d := cfg.Dialect
	if d.Decode == nil || d.EncodeHeader == nil || d.NotRun == nil || d.Misdirected == nil || d.Leaving == nil ||
		d.RateLimit == nil || d.RejectionLimit == nil || cfg.Pool == nil {
		panic("brproxy: nil Pool or Dialect function in Config")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	if cfg.ReportsChanged == nil {
		cfg.ReportsChanged = func() {}
	}
	if cfg.Buffers == nil {
		cfg.Buffers = brbuffer.New(brbuffer.Config{Log: cfg.Log, Clock: cfg.Clock})
	}
	p := &Proxy{
		cfg: cfg,
		placement: brplace.New(brplace.Config{
			Daemon: cfg.Daemon, FailureDomain: cfg.FailureDomain, Random: rand.Float64, LearnConcurrency: cfg.LearnConcurrency,
		}),
		limiter:   brquota.NewLimiter(cfg.Quota),
		waiting:   map[uint64]chan brplace.Effect{},
		policySet: make(chan struct{}),
		drain:     newDrainState(),

		quarantine:  brquarantine.New(cfg.Daemon),
		runs:        map[*attempt]run{},
		quarantined: make(chan struct{}),
		path:        pathState{unjudged: map[string][]lostRun{}},
		stop:        make(chan struct{}),
		limitsLog:   cfg.Log.Sample(&zerolog.BurstSampler{Burst: limitLinesPerSecond, Period: time.Second}),
	}
	p.server = brserver.New(brserver.Config{
		Handler: p, Limits: p.limits, StateKeepAlive: true, Buffers: cfg.Buffers, MaxConns: cfg.MaxConns, Log: cfg.Log, Clock: cfg.Clock,
	})
	p.wg.Go(p.tick)
	return p
}

// Close closes all listeners and connections of Serve, stops the background goroutines
// and waits for them.
func (p *Proxy) Close() {
	close(p.stop)
	p.server.Close()
	p.wg.Wait()
}

// SetPolicy replaces the policy in force. It must not be called concurrently.
func (p *Proxy) SetPolicy(t *brpolicy.Table) {
	limits := map[string]brquota.Limit{}
	for _, c := range t.Policy().Customers {
		limit := brquota.Limit{Rate: c.Rate, Burst: c.Burst}
		if c.QuotaInTokens {
			limit.Slack = p.cfg.QuotaSlackTokens
		}
		limits[c.Name] = limit
	}
	p.mu.Lock()
	p.limiter.SetLimits(limits)
	p.step(brplace.ColdLimitsChanged{Limits: coldLimits(t.Policy())})
	if p.cfg.LimitMemory {
		p.step(brplace.MemoryLimitsChanged{Tokens: memoryLimits(t.Policy())})
	}
	p.mu.Unlock()
	if p.table.Swap(t) == nil {
		close(p.policySet)
	}
}

// coldLimits returns the limits of the services whose endpoints take fewer requests while
// they are cold.
func coldLimits(policy brpolicy.Policy) map[string]brplace.ColdLimit {
	limits := map[string]brplace.ColdLimit{}
	for _, s := range policy.Services {
		if s.ColdRate > 0 {
			limits[s.Name] = brplace.ColdLimit{Rate: s.ColdRate, Duration: s.ColdStart}
		}
	}
	return limits
}

// memoryLimits returns the memory of the engines in tokens, by service.
func memoryLimits(policy brpolicy.Policy) map[string]int {
	limits := map[string]int{}
	for _, s := range policy.Services {
		if s.Engine != nil && s.Engine.KVCapacity > 0 {
			limits[s.Name] = s.Engine.KVCapacity
		}
	}
	return limits
}

// Table returns the policy in force, or nil.
func (p *Proxy) Table() *brpolicy.Table { return p.table.Load() }

// ApplyEvent applies an event to the placement.
func (p *Proxy) ApplyEvent(ev brplace.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(ev)
}

// PeerReported applies the latest quota totals of another daemon.
func (p *Proxy) PeerReported(daemon string, r brquota.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.PeerReported(p.cfg.Clock.Now(), daemon, r)
}

// PeerLost removes a daemon that has stopped sending reports.
func (p *Proxy) PeerLost(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.PeerLost(daemon)
	p.step(brplace.PeerLost{Daemon: daemon})
}

// SetDaemons sets the sorted IDs of all daemons, including this one.
func (p *Proxy) SetDaemons(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.SetDaemonCount(len(ids))
	p.step(brplace.FleetChanged{Daemons: ids})
}

// PlacementReport returns the usage of endpoints by this daemon, as
// brplace.State.Report does.
func (p *Proxy) PlacementReport(retention time.Duration) brplace.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.Report(p.cfg.Clock.Now(), retention)
}

// ConcurrencyReport returns what this daemon has counted of the responses of endpoints, as
// brplace.State.ConcurrencyReport does.
func (p *Proxy) ConcurrencyReport(retention time.Duration) brconcurrency.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.ConcurrencyReport(p.cfg.Clock.Now(), retention)
}

// QuotaReport returns the quota usage by this daemon.
func (p *Proxy) QuotaReport() brquota.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Report()
}

// step applies an event and sends each resulting effect to the waiting request that
// it concerns. The caller must hold p.mu.
func (p *Proxy) step(ev brplace.Event) {
	for _, e := range p.placement.Step(p.cfg.Clock.Now(), ev) {
		var id uint64
		switch e := e.(type) {
		case brplace.Dispatch:
			id = e.ID
		case brplace.Reject:
			id = e.ID
		case brplace.Suspended:
			p.cfg.Log.Warn().Str("endpoint", e.Endpoint).Str("cause", string(e.Cause)).Dur("for_ms", e.Duration).
				Float64("ended", e.Ended).Float64("failed", e.Failed).Msg("endpoint suspended")
			continue
		case brplace.ConcurrencyLimited:
			p.limitsLog.Info().Str("endpoint", e.Endpoint).Int("limit", e.Limit).Int("slots", e.Slots).Dur("unit_ms", e.Unit).
				Msg("number of requests that an endpoint takes well changed")
			continue
		}
		if ch := p.waiting[id]; ch != nil {
			delete(p.waiting, id)
			ch <- e
		}
	}
}

// tick runs the periodic work until Close is called.
func (p *Proxy) tick() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.cfg.Clock.After(tickInterval):
		}
		p.compareShares()
		p.ApplyEvent(brplace.Tick{})
		p.cfg.Pool.CloseExpired()
	}
}
