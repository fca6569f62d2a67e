package brload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"bramleyroute/brfake"
	"bramleyroute/brtimeline"
)

// Experiment holds the parameters common to all experiments.
type Experiment struct {
	Binaries string // directory of the built bramleyroute and brfake
	Seed     uint64
	Length   time.Duration // length of the arrivals of one phase
	Loads    []float64     // multiples of the capacity; nil means the default of the experiment
	Capacity float64       // capacity in requests per second; 0 means that it is measured
	Out      io.Writer     // receives the tables
}

// Result is the result of one experiment.
type Result struct {
	Name     string  `json:"name"`
	Seed     uint64  `json:"seed"`
	Capacity float64 `json:"capacity"` // requests per second that the engines of one target complete when saturated
	Phases   []Phase `json:"phases,omitempty"`

	Latency    []LatencyRow    `json:"latency,omitempty"`
	Steps      []LatencyRow    `json:"steps,omitempty"` // latencies between the events in the entry
	Throughput []ThroughputRow `json:"throughput,omitempty"`
	Memory     []MemoryRow     `json:"memory,omitempty"`
}

// Phase is the result of one load, which is sent to all targets at the same time.
type Phase struct {
	Name    string   `json:"name"`
	Load    float64  `json:"load"` // arrivals per second
	Reports []Report `json:"reports"`
}

// Errors returns the violated invariants of all phases.
func (r Result) Errors() error {
	var all []error
	for _, p := range r.Phases {
		for _, t := range p.Reports {
			for _, e := range t.Errors {
				all = append(all, fmt.Errorf("%s: %s: %s", p.Name, t.Name, e))
			}
		}
	}
	return errors.Join(all...)
}

// The small fleet of the experiments has three daemons. Each of the four targets has
// four engines of its own, so that all targets are measured at the same time.
const (
	fleetDaemons  = 3
	fleetEngines  = 4
	fleetBatch    = 8
	fleetBlocks   = 512                   // of 1184 blocks in the prefixes of PrefixMix
	fleetPrefill  = 50 * time.Microsecond // the default of brfake
	fleetStep     = 10 * time.Millisecond
	fleetSequence = 500 * time.Microsecond

	calibrationTime = 4 * time.Second
	settleTime      = 300 * time.Millisecond // before a phase starts, and before its counts are read
)

// fleet is a system with one target for the entries and one for each baseline.
type fleet struct {
	*System
	groups   []targetGroup
	capacity int // announced by the engines, in tokens; a full batch of mean requests
}

// targetGroup is a target with its own engines.
type targetGroup struct {
	target        Target
	engines       []Engine
	behindEntries bool // requests are sent through the entries
	caches        *cacheModel
}

func newFleet(ctx context.Context, x Experiment, m Mix) (*fleet, error) {
	s, err := NewSystem(x.Binaries)
	if err != nil {
		return nil, err
	}
	f := &fleet{System: s, capacity: int(fleetBatch * m.MeanTokens())}
	if err := f.setUp(ctx, m); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) setUp(ctx context.Context, m Mix) error {
	daemons, err := f.StartDaemons(ctx, fleetDaemons, 0, m)
	if err != nil {
		return err
	}
	var callers, peers []string
	for _, d := range daemons {
		callers, peers = append(callers, d.Caller), append(peers, d.Peer)
	}
	systemEngines, err := f.startEngines(ctx, "own", peers)
	if err != nil {
		return err
	}
	if err := f.WaitEngines(ctx, systemEngines); err != nil {
		return err
	}
	robinEngines, err := f.startEngines(ctx, "robin", nil)
	if err != nil {
		return err
	}
	firstComeEngines, err := f.startEngines(ctx, "first", nil)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	reports := ListenReports(l)
	leastEngines, err := f.startEngines(ctx, "least", []string{l.Addr().String()})
	if err != nil {
		return err
	}
	f.groups = []targetGroup{
		{EntryTarget(callers), systemEngines, true, newCacheModel(fleetBlocks)},
		{RoundRobin(Model, robinEngines), robinEngines, false, newCacheModel(fleetBlocks)},
		{LeastOutstanding(Model, leastEngines, reports), leastEngines, false, newCacheModel(fleetBlocks)},
		{FirstComeFirstServed(Model, firstComeEngines), firstComeEngines, false, newCacheModel(fleetBlocks)},
	}
	return nil
}

func (f *fleet) startEngines(ctx context.Context, name string, daemons []string) ([]Engine, error) {
	return f.StartFakeEngines(ctx, FakeEngines{Name: name, Count: fleetEngines, MaxBatch: fleetBatch, Capacity: f.capacity,
		CacheBlocks: fleetBlocks, Prefill: fleetPrefill, StepBase: fleetStep, StepPerSeq: fleetSequence, Daemons: daemons, GOMAXPROCS: 1})
}

// Close closes the targets and stops the processes.
func (f *fleet) Close() {
	for _, g := range f.groups {
		g.target.Close()
	}
	f.System.Close()
}

// calibrate returns the requests per second that the engines of the first come,
// first served target complete when saturated, or x.Capacity if it is set.
func (f *fleet) calibrate(ctx context.Context, x Experiment, m Mix) float64 {
	if x.Capacity > 0 {
		return x.Capacity
	}
	g := f.groups[len(f.groups)-1]
	m.Salt = "calibration." // keeps the prefixes of the phases out of the caches
	arrivals := Plan{Seed: x.Seed + 1000, Rate: 1000, Length: time.Hour, Limit: 4000, Mix: m}.Arrivals()
	queue := make(chan Arrival, len(arrivals))
	for _, a := range arrivals {
		a.Deadline = time.Hour
		queue <- a
	}
	close(queue)
	runCtx, cancel := context.WithTimeout(ctx, calibrationTime)
	defer cancel()
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for range 2 * fleetEngines * fleetBatch {
		wg.Go(func() {
			for a := range queue {
				if runCtx.Err() != nil {
					return
				}
				if g.target.Send(runCtx, a).Complete && time.Since(begin) > calibrationTime/4 {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return float64(completed) / (calibrationTime * 3 / 4).Seconds()
}

// runPhase sends one plan to all targets at the same time.
func (f *fleet) runPhase(ctx context.Context, p Plan, name string) (Phase, error) {
	arrivals := p.Arrivals()
	before, err := f.snapshot(ctx)
	if err != nil {
		return Phase{}, err
	}
	start := time.Now().Add(settleTime)
	outcomes := make([][]Outcome, len(f.groups))
	var wg sync.WaitGroup
	for i, g := range f.groups {
		wg.Go(func() { outcomes[i] = SendArrivals(ctx, start, arrivals, g.target) })
	}
	wg.Wait()
	sleep(ctx, settleTime)
	after, err := f.snapshot(ctx)
	if err != nil {
		return Phase{}, err
	}
	ph := Phase{Name: name, Load: p.Rate}
	for i, g := range f.groups {
		r := Summarize(g.target.Name, p.Length, outcomes[i])
		r.Waste = measureWaste(g.caches, outcomes[i], after.prefillSince(before, i))
		r.Errors = checkRuns(outcomes[i], after.engines[i])
		if g.behindEntries {
			r.Waste.Scheduler = after.schedulerWasteSince(before)
			t, err := f.Timeline(ctx, start)
			if err != nil {
				return Phase{}, err
			}
			r.Errors = append(r.Errors, f.checkTimeline(outcomes[i], t.Events)...)
		}
		ph.Reports = append(ph.Reports, r)
	}
	return ph, nil
}

// checkTimeline checks the order of shedding. It reports a timeline with dropped
// events, since it cannot be checked.
func (f *fleet) checkTimeline(outcomes []Outcome, events []brtimeline.Event) []string {
	for _, e := range events {
		if e.Kind == brtimeline.EventsDropped {
			return []string{"the timeline dropped events; the order of shedding was not checked"}
		}
	}
	return checkShed(outcomes, events)
}

// snapshot holds the values of all counters at one time.
type snapshot struct {
	engines [][]brfake.Counts // by target group
	wasted  map[string]int    // counted by the scheduler, by cause
}

func (f *fleet) snapshot(ctx context.Context) (snapshot, error) {
	var s snapshot
	for _, g := range f.groups {
		var list []brfake.Counts
		for _, e := range g.engines {
			c, err := counts(ctx, e)
			if err != nil {
				return s, err
			}
			list = append(list, c)
		}
		s.engines = append(s.engines, list)
	}
	p, _ := f.Pool(ctx)
	s.wasted = p.WastedPrefill
	if s.wasted == nil {
		s.wasted = map[string]int{}
	}
	s.wasted["prefilled"] = p.Prefilled
	return s, nil
}

// prefillSince returns the counts of one target group, with the prefill counts
// relative to an earlier snapshot.
func (s snapshot) prefillSince(earlier snapshot, group int) []brfake.Counts {
	out := append([]brfake.Counts(nil), s.engines[group]...)
	for i, c := range earlier.engines[group] {
		out[i].PrefillComputed -= c.PrefillComputed
		out[i].PrefillCached -= c.PrefillCached
		out[i].PrefillWasted -= c.PrefillWasted
	}
	return out
}

func (s snapshot) schedulerWasteSince(earlier snapshot) map[string]int {
	out := map[string]int{}
	for cause, n := range s.wasted {
		out[cause] = n - earlier.wasted[cause]
	}
	return out
}
