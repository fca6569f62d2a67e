package brload

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"bramleyroute/brpool"
	"bramleyroute/brtimeline"
)

// Parameters of the latency experiment, which alternates between direct calls of an
// engine and calls through entries.
const (
	latencyPairs   = 400
	latencyWorkers = 4
	latencyTokens  = 8
	latencyPrompt  = 64 // tokens
)

// LatencyRow is the latency of one path to an engine, or of one step in the entry.
type LatencyRow struct {
	Path  string    `json:"way"`
	First Quantiles `json:"first_token"`
	Total Quantiles `json:"total"`
}

// latency measures the same requests sent directly to an engine, through the entry
// that owns the pool, and through an entry that does not.
func latency(ctx context.Context, x Experiment) (Result, error) {
	s, engines, err := startSmallSystem(ctx, x, 3, 0, FakeEngines{Name: "engine", Count: 1, MaxBatch: 64, Capacity: 1_000_000,
		CacheBlocks: 64, Prefill: time.Microsecond, StepBase: time.Millisecond})
	if err != nil {
		return Result{}, err
	}
	defer s.Close()
	p, ok := s.Pool(ctx)
	if !ok {
		return Result{}, fmt.Errorf("the pool has no reachable owner")
	}
	targets := []Target{DirectTarget(Model, engines[0].Address)}
	nonOwnerAdded := false
	for _, d := range s.daemons {
		t := EntryTarget([]string{d.Caller})
		t.Name = "entry that owns the pool"
		if d.ID != p.Owner {
			if nonOwnerAdded {
				continue
			}
			nonOwnerAdded, t.Name = true, "entry beside the owner"
		}
		targets = append(targets, t)
	}
	begin := time.Now()
	rows, err := interleave(ctx, targets, x.Seed)
	for _, w := range targets {
		w.Close()
	}
	if err != nil {
		return Result{Latency: rows}, err
	}
	t, err := s.Timeline(ctx, begin)
	return Result{Latency: rows, Steps: steps(t.Events)}, err
}

// steps returns the latencies between consecutive events of requests in their entry.
func steps(events []brtimeline.Event) []LatencyRow {
	kinds := []brtimeline.Kind{brtimeline.RequestReceived, brtimeline.RequestGranted, brtimeline.DispatchBegun, brtimeline.FirstToken}
	type key struct {
		id   string
		kind brtimeline.Kind
	}
	at := map[key]time.Time{}
	for _, e := range events {
		at[key{e.RequestID, e.Kind}] = e.Stamp.Time()
	}
	var rows []LatencyRow
	for i, k := range kinds[1:] {
		l := NewLatency()
		for e, t := range at {
			if from, ok := at[key{e.id, kinds[i]}]; ok && e.kind == k && e.id != "" {
				l.Record(t.Sub(from))
			}
		}
		rows = append(rows, LatencyRow{Path: kinds[i].String() + " to " + k.String(), First: l.Quantiles()})
	}
	return rows
}

// interleave sends the requests of each worker to every target in turn.
func interleave(ctx context.Context, targets []Target, seed uint64) ([]LatencyRow, error) {
	class := Class{Route: "question", Tier: 1, Share: 1, Body: Range{latencyPrompt, latencyPrompt}, Output: Range{latencyTokens, latencyTokens}, DeadlineMS: 5000}
	m := StandardMix()
	m.Classes = []Class{class}
	arrivals := Plan{Seed: seed, Rate: 1000, Length: time.Hour, Limit: latencyPairs * latencyWorkers, Mix: m}.Arrivals()
	first, total := make([]Latency, len(targets)), make([]Latency, len(targets))
	for i := range targets {
		first[i], total[i] = NewLatency(), NewLatency()
	}
	type sample struct {
		targetIndex  int
		first, total time.Duration
		err          error
	}
	samples := make(chan sample)
	for w := range latencyWorkers {
		go func() {
			for n, a := range arrivals[w*latencyPairs : (w+1)*latencyPairs] {
				for k := range targets {
					targetIndex := (k + n) % len(targets) // rotates the order, so that no target always follows the same other
					begin := time.Now()
					response := targets[targetIndex].Send(ctx, a)
					e := sample{targetIndex: targetIndex, first: response.FirstTokenAt.Sub(begin), total: response.LastTokenAt.Sub(begin)}
					if !response.Complete {
						e.err = fmt.Errorf("%s: %s %w", targets[targetIndex].Name, response.Failure.Kind, orUnexpectedEOF(response.Err))
					}
					samples <- e
				}
			}
		}()
	}
	var failed error
	for range latencyPairs * latencyWorkers * len(targets) {
		e := <-samples
		if e.err != nil {
			failed = e.err
			continue
		}
		first[e.targetIndex].Record(e.first)
		total[e.targetIndex].Record(e.total)
	}
	var rows []LatencyRow
	for i, w := range targets {
		rows = append(rows, LatencyRow{w.Name, first[i].Quantiles(), total[i].Quantiles()})
	}
	return rows, failed
}

// startupDelay is the time after the start of an entry in which request IDs created
// by callers get the response unknown_outcome: brpool.ClockSkew and a margin.
const startupDelay = brpool.ClockSkew + time.Second

// startSmallSystem starts daemons and one group of engines that announce to them,
// and waits until requests are accepted.
func startSmallSystem(ctx context.Context, x Experiment, daemons, maxProcs int, f FakeEngines) (*System, []Engine, error) {
	s, err := NewSystem(x.Binaries)
	if err != nil {
		return nil, nil, err
	}
	m := StandardMix()
	for i := range m.Classes {
		m.Classes[i].DeadlineMS = int(time.Minute / time.Millisecond) // permits the waiting that is measured
	}
	all, err := s.StartDaemons(ctx, daemons, maxProcs, m)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	for _, d := range all {
		f.Daemons = append(f.Daemons, d.Peer)
	}
	engines, err := s.StartFakeEngines(ctx, f)
	if err == nil {
		err = s.WaitEngines(ctx, engines)
	}
	sleep(ctx, startupDelay)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, engines, nil
}

func writeLatency(w io.Writer, rows, steps []LatencyRow) {
	fmt.Fprint(w, "| Path | requests | first token p50 / p95 / p99, ms | added | complete response p50 / p95 / p99, ms | added |\n|"+strings.Repeat("---|", 6)+"\n")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %d | %s | %s | %s | %s |\n", r.Path, r.First.Count, r.First, r.First.minus(rows[0].First), r.Total, r.Total.minus(rows[0].Total))
	}
	fmt.Fprint(w, "\n| Step in the entry | requests | p50 / p95 / p99, ms |\n|---|---|---|\n")
	for _, r := range steps {
		fmt.Fprintf(w, "| %s | %d | %s |\n", r.Path, r.First.Count, r.First)
	}
	fmt.Fprintln(w)
}

func (q Quantiles) minus(o Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - o.P50, P95: q.P95 - o.P95, P99: q.P99 - o.P99}
}
