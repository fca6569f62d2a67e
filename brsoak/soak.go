package brsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Config is one run of the soak.
type Config struct {
	Seed    uint64
	Size    Size
	Callers int
	Dir     string // for the processes' files; it must exist
	Network int    // 0 to 100; runs at the same time need different ones
	Adapter Adapter
	// Logf is told what is done; nil means nobody.
	Logf func(format string, args ...any)
}

// Report is what a run has seen.
type Report struct {
	Seed       uint64
	Faults     []Fault
	Attempts   int
	Good       int // with a whole good answer
	Violations []Violation
}

const (
	startTime   = 20 * time.Second // for a fleet to start and serve
	recoverTime = 15 * time.Second // after the last fault
	// steadyTime is how long the fleet must serve at the end, and steadyShare the
	// part of the requests of unlimited callers that must get a good answer then.
	steadyTime  = 2 * time.Second
	steadyShare = 0.9
)

// The services of the policy: StreamService answers streams, PlainService other
// requests.
const (
	StreamService = "engine"
	PlainService  = "plain"
)

// run is one soak in progress.
type run struct {
	cfg       Config
	adapter   *Adapter
	history   *History
	client    *http.Client
	procs     []*process
	addresses []Addresses
	links     []*Proxy // to the daemons' peer listeners
	wg        sync.WaitGroup

	mu        sync.Mutex
	endpoints []*endpoint
	started   int // endpoints so far
}

// Run starts a fleet, plays the plan of the seed on it and reports what was seen.
// It returns an error when the fleet can't be started.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Logf == nil {
		cfg.Logf = func(string, ...any) {}
	}
	r := &run{cfg: cfg, adapter: &cfg.Adapter, history: NewHistory(), client: newClient()}
	report := Report{Seed: cfg.Seed, Faults: Plan(cfg.Seed, cfg.Size)}
	ctx, cancel := context.WithCancel(ctx)
	defer r.close()
	defer cancel()
	if err := r.startFleet(); err != nil {
		return report, err
	}
	if err := r.awaitServing(ctx, startTime); err != nil {
		return report, err
	}
	traffic, stop := context.WithCancel(ctx)
	r.startTraffic(traffic)
	r.play(ctx, report.Faults)
	r.checkRecovery(ctx)
	stop()
	r.wg.Wait()
	r.history.Finish()
	report.Violations = r.history.Violations()
	report.Attempts, report.Good = r.history.Counts()
	return report, nil
}

func (r *run) vm(i int) VM {
	return VM{
		Name: fmt.Sprint("d", i), IP: fmt.Sprintf("127.%d.0.%d", 20+r.cfg.Network, i+1), Zone: fmt.Sprint("zone-", i%3),
		Replica: i < r.cfg.Size.Replicas, First: true,
	}
}

func (r *run) startFleet() error {
	var seeds []VM
	for i := range min(3, r.cfg.Size.Daemons) {
		seeds = append(seeds, r.vm(i))
	}
	for i := range r.cfg.Size.Daemons {
		vm := r.vm(i)
		dir := filepath.Join(r.cfg.Dir, vm.Name)
		vm.Seeds, vm.DataDir, vm.ListenPeer = seeds, filepath.Join(dir, "data"), vm.IP+":17700"
		if err := os.MkdirAll(vm.DataDir, 0o755); err != nil {
			return fmt.Errorf("brsoak: %w", err)
		}
		address := r.adapter.Addresses(vm)
		link, err := NewProxy(address.Peers, vm.ListenPeer)
		if err != nil {
			return err
		}
		r.links = append(r.links, link)
		p := &process{vm: vm, adapter: r.adapter, dir: dir}
		r.procs, r.addresses = append(r.procs, p), append(r.addresses, address)
		if err := p.start(); err != nil {
			return err
		}
	}
	for range r.cfg.Size.Endpoints {
		e, err := r.newEndpoint(len(r.endpoints))
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
	}
	return nil
}

// newEndpoint starts the next endpoint at a place in the list. Every other place
// is of the plain service.
func (r *run) newEndpoint(place int) (*endpoint, error) {
	r.mu.Lock()
	r.started++
	n := r.started
	r.mu.Unlock()
	service := StreamService
	if place%2 == 1 {
		service = PlainService
	}
	address := fmt.Sprintf("127.%d.1.%d:8080", 20+r.cfg.Network, n)
	return startEndpoint(r, fmt.Sprint("e", n), service, fmt.Sprint("zone-", place%3), address)
}

func (r *run) anyDaemon() (int, Addresses) {
	i := rand.IntN(len(r.addresses))
	return i, r.addresses[i]
}

func (r *run) startTraffic(ctx context.Context) {
	r.wg.Go(func() { r.operate(ctx) })
	r.wg.Go(func() { r.read(ctx) })
	for i := range r.cfg.Callers {
		c := Unlimited
		if i%4 == 0 {
			c = Limited
		}
		r.wg.Go(func() { r.call(ctx, i, c) })
	}
}

// play carries the faults out at their times and returns when all have ended.
func (r *run) play(ctx context.Context, faults []Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			sleep(ctx, time.Until(start.Add(f.At)))
			if ctx.Err() != nil {
				return
			}
			r.cfg.Logf("seed %d: %v", r.cfg.Seed, f)
			r.inject(ctx, f)
		})
	}
	wg.Wait()
}

func (r *run) inject(ctx context.Context, f Fault) {
	from := time.Now()
	switch f.Act {
	case Kill:
		r.disturb(f.Target, from, f.For, func() { r.restart(ctx, f.Target, f.For, false) })
	case LoseDisk:
		r.disturb(f.Target, from, f.For, func() { r.restart(ctx, f.Target, f.For, true) })
	case KillAll:
		r.disturb(allDaemons, from, f.For, func() { r.killAll(ctx, f.For) })
	case Freeze:
		r.disturb(f.Target, from, f.For, func() { r.procs[f.Target].freeze(f.For) })
	case CutPeers:
		r.disturb(f.Target, from, f.For, func() { cut(ctx, r.links[f.Target], f) })
	case Terminate:
		r.terminate(ctx, f)
	case Reload:
		r.procs[f.Target].trySignal(syscall.SIGHUP)
	case CutEndpoint:
		r.disturb(allDaemons, from, f.For, func() { cut(ctx, r.endpointAt(f.Target).proxy, f) })
	case BreakEndpoint:
		e := r.endpointAt(f.Target)
		e.breaking.Store(true)
		sleep(ctx, f.For)
		e.breaking.Store(false)
	case CrashEndpoint:
		r.disturb(allDaemons, from, f.For, func() { r.replaceEndpoint(ctx, f, (*endpoint).crash) })
	case DrainEndpoint:
		r.replaceEndpoint(ctx, f, func(e *endpoint) { e.leave(ctx) })
	default:
		panic("brsoak: unknown act")
	}
}

// settleTime is how long after a fault its traces may show.
const settleTime = 1500 * time.Millisecond

// disturb notes that a daemon is disturbed while f runs and a little longer.
func (r *run) disturb(daemon int, from time.Time, d time.Duration, f func()) {
	r.history.Disturbs(daemon, from, from.Add(d+settleTime))
	f()
	r.history.Disturbs(daemon, from, time.Now().Add(settleTime))
}

func (r *run) restart(ctx context.Context, i int, down time.Duration, loseDisk bool) {
	p := r.procs[i]
	p.kill()
	if loseDisk {
		if err := p.loseDisk(); err != nil {
			r.cfg.Logf("%v", err)
		}
	}
	sleep(ctx, down)
	r.start(p)
}

func (r *run) killAll(ctx context.Context, down time.Duration) {
	for _, p := range r.procs {
		p.kill()
	}
	sleep(ctx, down)
	for _, p := range r.procs {
		r.start(p)
	}
}

func (r *run) start(p *process) {
	if err := p.start(); err != nil {
		r.cfg.Logf("%v", err)
	}
}

// terminate stops a daemon as an operator does. Only a fault beside it excuses
// what gets lost.
func (r *run) terminate(ctx context.Context, f Fault) {
	p := r.procs[f.Target]
	from := time.Now()
	if !p.terminate() {
		r.history.Disturbs(f.Target, from, time.Now())
		r.cfg.Logf("seed %d: daemon %d was killed after its grace period", r.cfg.Seed, f.Target)
	}
	down := time.Now()
	sleep(ctx, f.For)
	r.start(p)
	r.history.Disturbs(f.Target, down.Add(exitTime), time.Now().Add(settleTime))
}

// exitTime is how long after a daemon's end its callers still see what the end cut
// off.
const exitTime = 100 * time.Millisecond

func cut(ctx context.Context, p *Proxy, f Fault) {
	p.Set(f.Mode)
	sleep(ctx, f.For)
	p.Set(Pass)
}

func (r *run) endpointAt(i int) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[i]
}

// replaceEndpoint starts another endpoint and ends the one at a place.
func (r *run) replaceEndpoint(ctx context.Context, f Fault, end func(*endpoint)) {
	next, err := r.newEndpoint(f.Target)
	if err != nil {
		r.cfg.Logf("%v", err)
		return
	}
	r.mu.Lock()
	old := r.endpoints[f.Target]
	r.endpoints[f.Target] = next
	r.mu.Unlock()
	end(old)
	sleep(ctx, f.For)
}

// awaitServing puts the first policy in force and waits until every daemon is ready.
func (r *run) awaitServing(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !r.put(ctx, 1) {
		return fmt.Errorf("brsoak: seed %d: the first policy wasn't acknowledged in %v", r.cfg.Seed, limit)
	}
	for i := range r.procs {
		for !r.ready(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("brsoak: seed %d: daemon %d isn't ready after %v", r.cfg.Seed, i, limit)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (r *run) ready(ctx context.Context, i int) bool {
	req, err := r.adapter.Ready(r.addresses[i].Ready)
	if err != nil {
		panic(fmt.Sprintf("brsoak: ready: %v", err))
	}
	status, _, err := r.do(ctx, req, operatorTimeout)
	return err == nil && status == http.StatusOK
}

// checkRecovery waits until all daemons are ready, show the newest policy and
// serve, and notes it when they don't in time.
func (r *run) checkRecovery(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	for i, address := range r.addresses {
		for !r.ready(limit, i) || !r.readAt(limit, i, address) {
			if limit.Err() != nil {
				r.history.Breaks(Recovers, fmt.Sprintf("daemon %d isn't ready or shows no policy", i))
				return
			}
			sleep(limit, 50*time.Millisecond)
		}
	}
	for limit.Err() == nil {
		from := time.Now()
		sleep(limit, steadyTime)
		if r.history.served(from) >= steadyShare {
			return
		}
	}
	r.history.Breaks(Recovers, "too few requests get a good answer")
}

func (r *run) close() {
	for _, p := range r.procs {
		p.kill()
	}
	r.wg.Wait()
	r.mu.Lock()
	endpoints := r.endpoints
	r.mu.Unlock()
	for _, e := range endpoints {
		e.crash()
	}
	for _, l := range r.links {
		l.Close()
	}
	r.client.CloseIdleConnections()
}
