package brproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconn"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brquota"

	"github.com/rs/zerolog"
)

// tickInterval drives the timers of the placement.
const tickInterval = 50 * time.Millisecond

// Config is what a Proxy runs with.
type Config struct {
	Dialect Dialect
	Pool    *brconn.Pool
	Daemon  string // id of this daemon
	Zone    string // failure domain of this daemon
	Quota   brquota.Config
	// Changed is told that the reports of Report have changed. It must not block.
	Changed func()
	// Steer returns how a request to a service is bound to a version, while a
	// rollout runs; nil means never.
	Steer func(service, route string) (version, avoid string)
	// Judged is told how requests to a service ended, for the rollout's judge; nil
	// means nobody.
	Judged func(Judgement)
	// FirstByte is told the time from the arrival of each answered request to the
	// first byte of its answer; nil means nobody.
	FirstByte func(time.Duration)
	Log       zerolog.Logger
	Clock     brclock.Clock // nil means the system's
}

// Judgement is what an answer says of the version that gave it.
type Judgement struct {
	Service, Route, Version string
	Good                    bool
	// Slowness is the time to the first byte in units of what is expected of the
	// request.
	Slowness float64
}

// Proxy is the callers' side of one daemon. It is safe for concurrent use.
type Proxy struct {
	cfg   Config
	table atomic.Pointer[brpolicy.Table]
	known chan struct{} // closed when the first policy is in force
	stats Stats
	drain drain

	callers callers

	mu      sync.Mutex
	place   *brplace.State
	ledger  *brquota.Ledger
	waiting map[uint64]chan brplace.Effect
	lastID  uint64

	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns a running Proxy without a policy.
func New(cfg Config) *Proxy {
	d := cfg.Dialect
	if d.Decode == nil || d.Outgoing == nil || d.NotRun == nil || d.Misdirected == nil || cfg.Pool == nil {
		panic("brproxy: config without Pool or a function of Dialect")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	if cfg.Changed == nil {
		cfg.Changed = func() {}
	}
	p := &Proxy{
		cfg:     cfg,
		place:   brplace.New(brplace.Config{Daemon: cfg.Daemon, Zone: cfg.Zone, Random: rand.Float64}),
		ledger:  brquota.NewLedger(cfg.Quota),
		waiting: map[uint64]chan brplace.Effect{},
		known:   make(chan struct{}),
		stop:    make(chan struct{}),
	}
	p.wg.Go(p.tick)
	return p
}

// Close ends all connections that Serve accepted, stops the timers and waits. The
// listener must be closed before.
func (p *Proxy) Close() {
	close(p.stop)
	p.callers.mu.Lock()
	servers := p.callers.servers
	p.callers.mu.Unlock()
	for _, s := range servers {
		// The only error is that of the listener, which has none.
		_ = s.server.Close()
	}
	p.wg.Wait()
}

// SetPolicy puts a policy in force. It is called by one goroutine.
func (p *Proxy) SetPolicy(t *brpolicy.Table) {
	limits := map[string]brquota.Limit{}
	for _, c := range t.Policy().Customers {
		limits[c.Name] = brquota.Limit{Rate: c.Rate, Burst: c.Burst}
	}
	p.mu.Lock()
	p.ledger.SetLimits(limits)
	p.mu.Unlock()
	if p.table.Swap(t) == nil {
		close(p.known)
	}
}

// Table returns the policy in force, or nil.
func (p *Proxy) Table() *brpolicy.Table { return p.table.Load() }

// Place applies an event about endpoints or other daemons.
func (p *Proxy) Place(ev brplace.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(ev)
}

// PeerReported takes the newest totals of another daemon.
func (p *Proxy) PeerReported(daemon string, r brquota.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.PeerReported(p.cfg.Clock.Now(), daemon, r)
}

// PeerLost forgets a daemon that has sent no report for too long.
func (p *Proxy) PeerLost(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.PeerLost(daemon)
	p.step(brplace.PeerLost{Daemon: daemon})
}

// SetDaemons tells how many daemons there are, this one included.
func (p *Proxy) SetDaemons(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.SetDaemons(n)
}

// Reports returns what this daemon tells the others.
func (p *Proxy) Reports() (brplace.Report, brquota.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Report(p.cfg.Clock.Now()), p.ledger.Report()
}

// step applies an event and hands the effects to the requests that wait.
func (p *Proxy) step(ev brplace.Event) {
	for _, e := range p.place.Step(p.cfg.Clock.Now(), ev) {
		var id uint64
		switch e := e.(type) {
		case brplace.Dispatch:
			id = e.ID
		case brplace.Reject:
			id = e.ID
		case brplace.Suspended:
			p.cfg.Log.Warn().Str("endpoint", e.Endpoint).Str("cause", string(e.Cause)).Dur("for_ms", e.For).
				Float64("ended", e.Ended).Float64("failed", e.Failed).Msg("endpoint suspended")
			continue
		}
		if ch := p.waiting[id]; ch != nil {
			delete(p.waiting, id)
			ch <- e
		}
	}
}

func (p *Proxy) tick() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.cfg.Clock.After(tickInterval):
		}
		p.Place(brplace.Tick{})
		p.cfg.Pool.Sweep()
	}
}
