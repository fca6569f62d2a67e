package brload

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the throughput experiment: one daemon with all roles, in front of
// engines that are faster than the daemon.
const (
	throughputTime    = 4 * time.Second
	throughputStreams = 256
	streamTokens      = 2000
	waitingRequests   = 1000
	streamingRequests = 400
	// clockTicks is the number of clock ticks per second in /proc. It is 100 on all
	// Linux architectures that Go supports.
	clockTicks = 100
)

// ThroughputRow is the measured throughput of one daemon.
type ThroughputRow struct {
	Workload      string         `json:"work"`
	MaxProcs      int            `json:"gomaxprocs"`
	Requests      float64        `json:"requests_per_second"`
	Tokens        float64        `json:"tokens_per_second"`
	Cores         float64        `json:"cores"` // CPU time of the daemon per second
	TokensPerCore float64        `json:"tokens_per_core_second"`
	Failed        map[string]int `json:"failed"` // by error kind; "connection" if there is none
}

// MemoryRow is the growth of the resident memory of a daemon per request.
type MemoryRow struct {
	State    string  `json:"state"` // waiting or streaming
	Requests int     `json:"requests"`
	KiB      float64 `json:"kib_per_request"`
}

// throughput measures the throughput of one daemon with GOMAXPROCS 1 and 4, and its
// memory per request.
func throughput(ctx context.Context, x Experiment) (Result, error) {
	var r Result
	for _, procs := range []int{1, 4} {
		rows, err := measureThroughput(ctx, x, procs)
		if err != nil {
			return r, err
		}
		r.Throughput = append(r.Throughput, rows...)
	}
	rows, err := memory(ctx, x)
	r.Memory = rows
	return r, err
}

func measureThroughput(ctx context.Context, x Experiment, procs int) ([]ThroughputRow, error) {
	s, _, err := startSmallSystem(ctx, x, 1, procs, FakeEngines{Name: "engine", Count: 2, MaxBatch: throughputStreams, Capacity: 50_000_000,
		CacheBlocks: 64, StepBase: time.Millisecond, GOMAXPROCS: 4})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var rows []ThroughputRow
	for _, w := range []struct {
		work            string
		streams, tokens int
	}{{"short requests, 4 tokens", 64, 4}, {"streams, 2,000 tokens", throughputStreams, streamTokens}} {
		row, err := saturate(ctx, s.daemons[0], w.streams, w.tokens, x.Seed)
		if err != nil {
			return rows, err
		}
		row.Workload, row.MaxProcs = w.work, procs
		rows = append(rows, row)
	}
	return rows, nil
}

// saturate keeps a number of streams open on a daemon for throughputTime and
// measures the throughput.
func saturate(ctx context.Context, d Daemon, streams, tokens int, seed uint64) (ThroughputRow, error) {
	runCtx, cancel := context.WithTimeout(ctx, throughputTime)
	defer cancel()
	t := EntryTarget([]string{d.Caller})
	defer t.Close()
	var requests, received atomic.Int64
	var mu sync.Mutex
	failed := map[string]int{}
	before, err := cpuTime(d.PID)
	if err != nil {
		return ThroughputRow{}, err
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			for n := 0; runCtx.Err() == nil; n++ {
				a := t.Send(runCtx, shortRequest(seed, i, n, tokens))
				received.Add(int64(a.Tokens))
				switch {
				case a.Complete:
					requests.Add(1)
				case runCtx.Err() == nil:
					mu.Lock()
					failed[cmp.Or(a.Failure.Kind, "connection")]++
					mu.Unlock()
				}
			}
		})
	}
	<-runCtx.Done()
	elapsed := time.Since(begin).Seconds()
	after, err := cpuTime(d.PID)
	wg.Wait()
	cores := (after - before).Seconds() / elapsed
	row := ThroughputRow{Requests: float64(requests.Load()) / elapsed, Tokens: float64(received.Load()) / elapsed, Cores: cores, Failed: failed}
	row.TokensPerCore = row.Tokens / max(cores, 0.001)
	return row, err
}

// shortRequest returns an arrival with a short prompt and a response of the given
// number of tokens.
func shortRequest(seed uint64, stream, number, tokens int) Arrival {
	return Arrival{Customer: customers()[stream%5], Route: "question", Tier: 1, Output: tokens, MaxTokens: tokens,
		Prompt: fmt.Sprintf("probe %d %d %d", seed, stream, number), Deadline: time.Minute}
}

// memory measures the resident memory of the daemon per request, for requests that
// wait for a grant and for requests with an open stream.
func memory(ctx context.Context, x Experiment) ([]MemoryRow, error) {
	var rows []MemoryRow
	for _, w := range []struct {
		state       string
		n, capacity int
	}{{"waiting", waitingRequests, 1}, {"streaming", streamingRequests, 50_000_000}} {
		s, _, err := startSmallSystem(ctx, x, 1, 0, FakeEngines{Name: "engine", Count: 1, MaxBatch: 1024, Capacity: w.capacity, CacheBlocks: 64, StepBase: 100 * time.Millisecond})
		if err != nil {
			return rows, err
		}
		row, err := measureMemory(ctx, s.daemons[0], w.n, x.Seed)
		s.Close()
		if err != nil {
			return rows, err
		}
		row.State = w.state
		rows = append(rows, row)
	}
	return rows, nil
}

// holdDuration is how long the requests are open before the memory is measured.
const holdDuration = 3 * time.Second

func measureMemory(ctx context.Context, d Daemon, n int, seed uint64) (MemoryRow, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := EntryTarget([]string{d.Caller})
	defer t.Close()
	t.Send(runCtx, shortRequest(seed, 0, -1, 2)) // excludes one-time allocations from the measurement
	before, err := residentKiB(d.PID)
	if err != nil {
		return MemoryRow{}, err
	}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { t.Send(runCtx, shortRequest(seed, i, 0, streamTokens)) })
	}
	sleep(ctx, holdDuration)
	after, err := residentKiB(d.PID)
	cancel()
	wg.Wait()
	return MemoryRow{Requests: n, KiB: float64(after-before) / float64(n)}, err
}

// cpuTime returns the CPU time of a process from /proc (proc(5): fields 14 and 15).
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc stat of process %d has only %d fields after the command name", pid, len(fields))
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// residentKiB returns the resident memory of a process from /proc.
func residentKiB(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.Atoi(strings.Fields(v)[0])
		}
	}
	return 0, fmt.Errorf("/proc status of process %d has no VmRSS", pid)
}

func writeThroughput(w io.Writer, rows []ThroughputRow, memory []MemoryRow) {
	fmt.Fprint(w, "| Workload | GOMAXPROCS | requests/s | tokens/s | cores used | tokens per core second | failed |\n|"+strings.Repeat("---|", 7)+"\n")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %d | %.0f | %.0f | %.2f | %.0f | %s |\n", r.Workload, r.MaxProcs, r.Requests, r.Tokens, r.Cores, r.TokensPerCore, formatCounts(r.Failed))
	}
	fmt.Fprint(w, "\n| State | requests | resident KiB per request |\n|---|---|---|\n")
	for _, r := range memory {
		fmt.Fprintf(w, "| %s | %d | %.1f |\n", r.State, r.Requests, r.KiB)
	}
	fmt.Fprintln(w)
}
