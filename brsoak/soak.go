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

// Config configures one soak run.
type Config struct {
	Seed    uint64
	Size    Size
	Callers int    // number of concurrent callers
	Dir     string // existing directory for the files of the processes
	Network int    // 0 to 100; must differ between concurrent runs
	Adapter Adapter
	// Logf logs the progress; nil disables logging.
	Logf func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     []Fault
	Attempts   int
	Good       int // attempts with a complete response and status 200
	Violations []Violation
}

const (
	startTimeout    = 20 * time.Second // limit for the fleet to start and serve
	recoveryTimeout = 15 * time.Second // limit for the fleet to recover after the last fault
	// recoveryWindow is how long the fleet must serve at the end of a run, and
	// minGoodShare the fraction of the requests of unlimited callers that must
	// succeed in that time.
	recoveryWindow = 2 * time.Second
	minGoodShare   = 0.9
)

// The services of the policy. StreamService serves streams and PlainService serves
// all other requests.
const (
	StreamService = "engine"
	PlainService  = "plain"
)

// run is a soak run in progress.
type run struct {
	cfg         Config
	adapter     *Adapter
	history     *History
	client      *http.Client
	processes   []*process
	addresses   []Addresses
	linkProxies []*Proxy // forward connections to the peer listeners of the daemons
	wg          sync.WaitGroup

	mu               sync.Mutex
	endpoints        []*endpoint
	endpointsStarted int // number of endpoints started so far
}

// Run starts a fleet, injects the faults that Plan returns for the seed and reports
// the result. It returns an error if the fleet cannot be started.
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
	if err := r.awaitServing(ctx, startTimeout); err != nil {
		return report, err
	}
	traffic, stop := context.WithCancel(ctx)
	r.startTraffic(traffic)
	r.injectAll(ctx, report.Faults)
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
		Name: fmt.Sprint("d", i), IP: fmt.Sprintf("127.%d.0.%d", 20+r.cfg.Network, i+1), FailureDomain: fmt.Sprint("zone-", i%3),
		Replica: i < r.cfg.Size.Replicas, Bootstrap: true,
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
		r.linkProxies = append(r.linkProxies, link)
		p := &process{vm: vm, adapter: r.adapter, dir: dir}
		r.processes, r.addresses = append(r.processes, p), append(r.addresses, address)
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

// newEndpoint starts a new endpoint for an index of the endpoint list. Odd indexes
// belong to the plain service.
func (r *run) newEndpoint(index int) (*endpoint, error) {
	r.mu.Lock()
	r.endpointsStarted++
	n := r.endpointsStarted
	r.mu.Unlock()
	service := StreamService
	if index%2 == 1 {
		service = PlainService
	}
	address := fmt.Sprintf("127.%d.1.%d:8080", 20+r.cfg.Network, n)
	return startEndpoint(r, fmt.Sprint("e", n), service, fmt.Sprint("zone-", index%3), address)
}

func (r *run) randomDaemon() (int, Addresses) {
	i := rand.IntN(len(r.addresses))
	return i, r.addresses[i]
}

func (r *run) startTraffic(ctx context.Context) {
	r.wg.Go(func() { r.runOperator(ctx) })
	r.wg.Go(func() { r.runReader(ctx) })
	r.wg.Go(func() { r.runEvacuations(ctx) })
	for i := range r.cfg.Callers {
		c := Unlimited
		if i%4 == 0 {
			c = Limited
		}
		r.wg.Go(func() { r.runCaller(ctx, i, c) })
	}
}

// injectAll injects the faults at their times and returns when all have ended.
func (r *run) injectAll(ctx context.Context, faults []Fault) {
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
	switch f.Kind {
	case Kill:
		r.recordDisturbance(f.Target, from, f.Duration, func() { r.restart(ctx, f.Target, f.Duration, false) })
	case LoseDisk:
		r.recordDisturbance(f.Target, from, f.Duration, func() { r.restart(ctx, f.Target, f.Duration, true) })
	case KillAll:
		r.recordDisturbance(allDaemons, from, f.Duration, func() { r.killAll(ctx, f.Duration) })
	case Freeze:
		r.recordDisturbance(f.Target, from, f.Duration, func() { r.processes[f.Target].freeze(f.Duration) })
	case DisruptPeers:
		r.recordDisturbance(f.Target, from, f.Duration, func() { impair(ctx, r.linkProxies[f.Target], f) })
	case Terminate:
		r.terminate(ctx, f)
	case Reload:
		r.processes[f.Target].signalIfRunning(syscall.SIGHUP)
	case DisruptEndpoint:
		r.recordDisturbance(allDaemons, from, f.Duration, func() { impair(ctx, r.endpointAt(f.Target).proxy, f) })
	case AbortResponses:
		e := r.endpointAt(f.Target)
		e.aborting.Store(true)
		sleep(ctx, f.Duration)
		e.aborting.Store(false)
	case CrashEndpoint:
		r.recordDisturbance(allDaemons, from, f.Duration, func() { r.replaceEndpoint(ctx, f, (*endpoint).crash) })
	case DrainEndpoint:
		r.replaceEndpoint(ctx, f, func(e *endpoint) { e.drain(ctx) })
	default:
		panic("brsoak: unknown fault")
	}
}

// settleTime is how long after a fault its effects may still be observed.
const settleTime = 1500 * time.Millisecond

// recordDisturbance runs f and records a disturbance of the daemon that starts at
// from and ends settleTime after f returns. It also records the expected interval
// before it calls f, so that concurrent checks take it into account.
func (r *run) recordDisturbance(daemon int, from time.Time, d time.Duration, f func()) {
	r.history.RecordDisturbance(daemon, from, from.Add(d+settleTime))
	f()
	r.history.RecordDisturbance(daemon, from, time.Now().Add(settleTime))
}

func (r *run) restart(ctx context.Context, i int, down time.Duration, loseDisk bool) {
	p := r.processes[i]
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
	for _, p := range r.processes {
		p.kill()
	}
	sleep(ctx, down)
	for _, p := range r.processes {
		r.start(p)
	}
}

func (r *run) start(p *process) {
	if err := p.start(); err != nil {
		r.cfg.Logf("%v", err)
	}
}

// terminate stops a daemon with SIGTERM, as an operator does, and restarts it. A
// graceful stop records no disturbance before the exit, so responses that it loses
// count as violations unless another fault excuses them.
func (r *run) terminate(ctx context.Context, f Fault) {
	p := r.processes[f.Target]
	from := time.Now()
	if !p.terminate() {
		r.history.RecordDisturbance(f.Target, from, time.Now())
		r.cfg.Logf("seed %d: daemon %d did not exit within its grace period and was killed", r.cfg.Seed, f.Target)
	}
	down := time.Now()
	sleep(ctx, f.Duration)
	r.start(p)
	r.history.RecordDisturbance(f.Target, down.Add(exitSettleTime), time.Now().Add(settleTime))
}

// exitSettleTime is how long after the exit of a daemon its callers may still
// observe that the exit closed their connections.
const exitSettleTime = 100 * time.Millisecond

func impair(ctx context.Context, p *Proxy, f Fault) {
	p.Set(f.Mode)
	sleep(ctx, f.Duration)
	p.Set(Forward)
}

func (r *run) endpointAt(i int) *endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[i]
}

// replaceEndpoint starts a new endpoint in the place of the target and shuts the old
// one down.
func (r *run) replaceEndpoint(ctx context.Context, f Fault, shutdown func(*endpoint)) {
	next, err := r.newEndpoint(f.Target)
	if err != nil {
		r.cfg.Logf("%v", err)
		return
	}
	r.mu.Lock()
	old := r.endpoints[f.Target]
	r.endpoints[f.Target] = next
	r.mu.Unlock()
	shutdown(old)
	sleep(ctx, f.Duration)
}

// awaitServing applies the first policy and waits until every daemon is ready.
func (r *run) awaitServing(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !r.putPolicy(ctx, 1) {
		return fmt.Errorf("brsoak: seed %d: the first policy was not acknowledged within %v", r.cfg.Seed, limit)
	}
	for i := range r.processes {
		for !r.ready(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("brsoak: seed %d: daemon %d is not ready after %v", r.cfg.Seed, i, limit)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (r *run) ready(ctx context.Context, i int) bool {
	req, err := r.adapter.Ready(r.addresses[i].Ready)
	if err != nil {
		panic(fmt.Sprintf("brsoak: create readiness request: %v", err))
	}
	status, _, err := r.send(ctx, req, operatorTimeout)
	return err == nil && status == http.StatusOK
}

// checkRecovery waits until all daemons are ready, return a policy and serve. It
// records a violation if they do not in time.
func (r *run) checkRecovery(ctx context.Context) {
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i, address := range r.addresses {
		for !r.ready(recoveryCtx, i) || !r.readPolicy(recoveryCtx, i, address) {
			if recoveryCtx.Err() != nil {
				r.history.RecordViolation(Recovers, fmt.Sprintf("daemon %d is not ready or returns no policy", i))
				return
			}
			sleep(recoveryCtx, 50*time.Millisecond)
		}
	}
	for recoveryCtx.Err() == nil {
		from := time.Now()
		sleep(recoveryCtx, recoveryWindow)
		if r.history.goodShare(from) >= minGoodShare {
			return
		}
	}
	r.history.RecordViolation(Recovers, "too few requests succeed")
}

func (r *run) close() {
	for _, p := range r.processes {
		p.kill()
	}
	r.wg.Wait()
	r.mu.Lock()
	endpoints := r.endpoints
	r.mu.Unlock()
	for _, e := range endpoints {
		e.crash()
	}
	for _, l := range r.linkProxies {
		l.Close()
	}
	r.client.CloseIdleConnections()
}
