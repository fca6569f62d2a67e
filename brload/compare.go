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

// Experiment holds what every experiment is given.
type Experiment struct {
	Binaries string // folder of the built bramleyroute and brfake
	Seed     uint64
	Length   time.Duration // of the arrivals of one phase
	Loads    []float64     // multiples of the capacity; nil means the experiment's own
	Capacity float64       // requests per second taken as the capacity; 0 means that it is measured
	Out      io.Writer     // of the table
}

// Result is the account of one experiment.
type Result struct {
	Name     string  `json:"name"`
	Seed     uint64  `json:"seed"`
	Capacity float64 `json:"capacity"` // requests per second that the engines of one target end when saturated
	Phases   []Phase `json:"phases,omitempty"`

	Latency    []LatencyRow    `json:"latency,omitempty"`
	Steps      []LatencyRow    `json:"steps,omitempty"` // of latency, between the events in the entry
	Throughput []ThroughputRow `json:"throughput,omitempty"`
	Memory     []MemoryRow     `json:"memory,omitempty"`
}

// Phase is one load, played on every target at the same time.
type Phase struct {
	Name    string   `json:"name"`
	Load    float64  `json:"load"` // arrivals per second
	Reports []Report `json:"reports"`
}

// Errors returns the broken invariants of all phases.
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

// The small fleet of the experiments: three daemons, and for each of the four
// targets four engines of its own, so that all are measured at the same time.
const (
	fleetDaemons  = 3
	fleetEngines  = 4
	fleetBatch    = 8
	fleetBlocks   = 512                   // of the 1,184 of PrefixMix
	fleetPrefill  = 50 * time.Microsecond // the default of brfake
	fleetStep     = 10 * time.Millisecond
	fleetSequence = 500 * time.Microsecond

	calibration = 4 * time.Second
	settle      = 300 * time.Millisecond // before counts are read after a phase
)

// fleet is a system with a target for the entries and for each baseline.
type fleet struct {
	*System
	lanes    []lane
	capacity int // that engines announce, in tokens: what their batch holds of the mix
}

// lane is a target with its own engines.
type lane struct {
	target  Target
	engines []Engine
	system  bool // behind the entries
	warm    *warmth
}

func newFleet(ctx context.Context, x Experiment, m Mix) (*fleet, error) {
	s, err := NewSystem(x.Binaries)
	if err != nil {
		return nil, err
	}
	f := &fleet{System: s, capacity: int(fleetBatch * m.MeanTokens())}
	if err := f.open(ctx, m); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) open(ctx context.Context, m Mix) error {
	daemons, err := f.StartDaemons(ctx, fleetDaemons, 0, m)
	if err != nil {
		return err
	}
	var callers, peers []string
	for _, d := range daemons {
		callers, peers = append(callers, d.Caller), append(peers, d.Peer)
	}
	own, err := f.engines(ctx, "own", peers)
	if err != nil {
		return err
	}
	if err := f.WaitEngines(ctx, own); err != nil {
		return err
	}
	robin, err := f.engines(ctx, "robin", nil)
	if err != nil {
		return err
	}
	first, err := f.engines(ctx, "first", nil)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	reports := ListenReports(l)
	least, err := f.engines(ctx, "least", []string{l.Addr().String()})
	if err != nil {
		return err
	}
	f.lanes = []lane{
		{Entries(callers), own, true, newWarmth(fleetBlocks)},
		{RoundRobin(Model, robin), robin, false, newWarmth(fleetBlocks)},
		{LeastOutstanding(Model, least, reports), least, false, newWarmth(fleetBlocks)},
		{FirstCome(Model, first), first, false, newWarmth(fleetBlocks)},
	}
	return nil
}

func (f *fleet) engines(ctx context.Context, name string, daemons []string) ([]Engine, error) {
	return f.StartFakes(ctx, Fakes{Name: name, Count: fleetEngines, MaxBatch: fleetBatch, Capacity: f.capacity,
		CacheBlocks: fleetBlocks, Prefill: fleetPrefill, StepBase: fleetStep, StepPerSeq: fleetSequence, Daemons: daemons, GOMAXPROCS: 1})
}

// Close ends the targets and the processes.
func (f *fleet) Close() {
	for _, l := range f.lanes {
		l.target.Close()
	}
	f.System.Close()
}

// calibrate returns the requests per second that the engines of the first come
// target end when it always has more requests than places, unless x names it.
func (f *fleet) calibrate(ctx context.Context, x Experiment, m Mix) float64 {
	if x.Capacity > 0 {
		return x.Capacity
	}
	l := f.lanes[len(f.lanes)-1]
	m.Salt = "calibration." // leaves the caches without the prefixes of the phases
	arrivals := Plan{Seed: x.Seed + 1000, Rate: 1000, Length: time.Hour, Limit: 4000, Mix: m}.Arrivals()
	work := make(chan Arrival, len(arrivals))
	for _, a := range arrivals {
		a.Deadline = time.Hour
		work <- a
	}
	close(work)
	run, cancel := context.WithTimeout(ctx, calibration)
	defer cancel()
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for range 2 * fleetEngines * fleetBatch {
		wg.Go(func() {
			for a := range work {
				if run.Err() != nil {
					return
				}
				if l.target.Send(run, a).Whole && time.Since(begin) > calibration/4 {
					mu.Lock()
					ended++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return float64(ended) / (calibration * 3 / 4).Seconds()
}

// play sends one plan to every target at the same time.
func (f *fleet) play(ctx context.Context, p Plan, name string) (Phase, error) {
	arrivals := p.Arrivals()
	before, err := f.snapshot(ctx)
	if err != nil {
		return Phase{}, err
	}
	start := time.Now().Add(settle)
	outcomes := make([][]Outcome, len(f.lanes))
	var wg sync.WaitGroup
	for i, l := range f.lanes {
		wg.Go(func() { outcomes[i] = Play(ctx, start, arrivals, l.target) })
	}
	wg.Wait()
	sleep(ctx, settle)
	after, err := f.snapshot(ctx)
	if err != nil {
		return Phase{}, err
	}
	ph := Phase{Name: name, Load: p.Rate}
	for i, l := range f.lanes {
		r := Account(l.target.Name, p.Length, outcomes[i])
		r.Waste = measureWaste(l.warm, outcomes[i], after.since(before, i))
		r.Errors = checkRuns(outcomes[i], after.engines[i])
		if l.system {
			r.Waste.Scheduler = after.scheduler(before)
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

// checkTimeline checks the order of shedding, and that the events are complete.
func (f *fleet) checkTimeline(outcomes []Outcome, events []brtimeline.Event) []string {
	for _, e := range events {
		if e.Kind == brtimeline.EventsDropped {
			return []string{"the timeline dropped events, so the order of shedding was not checked"}
		}
	}
	return checkShed(outcomes, events)
}

// snapshot is the state of all counters at one time.
type snapshot struct {
	engines [][]brfake.Counts // by lane
	wasted  map[string]int    // by the scheduler, by cause
}

func (f *fleet) snapshot(ctx context.Context) (snapshot, error) {
	var s snapshot
	for _, l := range f.lanes {
		var list []brfake.Counts
		for _, e := range l.engines {
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

// since returns the prefill counts of one lane since an earlier snapshot.
func (s snapshot) since(o snapshot, lane int) []brfake.Counts {
	out := append([]brfake.Counts(nil), s.engines[lane]...)
	for i, c := range o.engines[lane] {
		out[i].PrefillComputed -= c.PrefillComputed
		out[i].PrefillCached -= c.PrefillCached
		out[i].PrefillWasted -= c.PrefillWasted
	}
	return out
}

func (s snapshot) scheduler(o snapshot) map[string]int {
	out := map[string]int{}
	for cause, n := range s.wasted {
		out[cause] = n - o.wasted[cause]
	}
	return out
}
