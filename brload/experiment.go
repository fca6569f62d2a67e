package brload

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

var experiments = map[string]func(ctx context.Context, x Experiment) (Result, error){
	"overload":   overload,
	"headofline": headOfLine,
	"prefill":    prefill,
	"latency":    latency,
	"throughput": throughput,
}

// Experiments returns the names of the experiments.
func Experiments() []string { return slices.Sorted(maps.Keys(experiments)) }

// Run runs the experiment with the given name and writes its tables to x.Out. The
// error lists all violated invariants.
func Run(ctx context.Context, name string, x Experiment) (Result, error) {
	run := experiments[name]
	if run == nil {
		return Result{}, fmt.Errorf("unknown experiment %q", name)
	}
	r, err := run(ctx, x)
	if err != nil {
		return r, err
	}
	r.Name, r.Seed = name, x.Seed
	WriteTable(x.Out, r)
	return r, r.Errors()
}

// bursts doubles the rate for the first quarter of every 2 s.
var bursts = BurstPattern{Period: 2 * time.Second, Length: 500 * time.Millisecond, Factor: 2}

// overload sends the standard mix at several multiples of the capacity.
func overload(ctx context.Context, x Experiment) (Result, error) {
	return ramp(ctx, x, StandardMix(), x.loads(0.7, 1, 1.5, 3))
}

// ramp sends a mix at several multiples of the capacity, one after the other.
func ramp(ctx context.Context, x Experiment, m Mix, loads []float64) (Result, error) {
	f, err := newFleet(ctx, x, m)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	r := Result{Capacity: f.calibrate(ctx, x, m)}
	for i, load := range loads {
		p := Plan{Seed: x.Seed + uint64(i)*100, Rate: load * r.Capacity, Length: x.Length, Bursts: bursts, Mix: m}
		ph, err := f.runPhase(ctx, p, fmt.Sprintf("%.1f", load))
		if err != nil {
			return r, err
		}
		r.Phases = append(r.Phases, ph)
	}
	return r, nil
}

// questionShare is the arrival rate of questions in the headofline experiment, as a
// fraction of the capacity.
const questionShare = 0.3

// headOfLine sends the questions of travelers alone, and then the same rate of
// questions while drafts arrive at three times the capacity.
func headOfLine(ctx context.Context, x Experiment) (Result, error) {
	m := StandardMix().WithRoutes("question", "draft", "proof")
	f, err := newFleet(ctx, x, m)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	r := Result{Capacity: f.calibrate(ctx, x, m)}
	rate := questionShare * r.Capacity
	alone := Plan{Seed: x.Seed, Rate: rate, Length: x.Length, Mix: m.WithRoutes("question")}
	ph, err := f.runPhase(ctx, alone, "alone")
	if err != nil {
		return r, err
	}
	r.Phases = append(r.Phases, ph)
	for i := range m.Classes {
		m.Classes[i].Share = map[string]float64{"question": rate, "draft": 3 * r.Capacity, "proof": 0.01 * r.Capacity}[m.Classes[i].Route]
	}
	both := Plan{Seed: x.Seed, Rate: rate + 3*r.Capacity, Length: x.Length, Mix: m}
	ph, err = f.runPhase(ctx, both, "behind drafts")
	r.Phases = append(r.Phases, ph)
	return r, err
}

// prefill sends prompts with mostly shared prefixes, below and above the capacity.
func prefill(ctx context.Context, x Experiment) (Result, error) {
	return ramp(ctx, x, PrefixMix(), x.loads(0.5, 0.7, 1, 1.5))
}

func (x Experiment) loads(defaults ...float64) []float64 {
	if len(x.Loads) > 0 {
		return x.Loads
	}
	return defaults
}
