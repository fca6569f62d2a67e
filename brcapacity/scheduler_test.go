package brcapacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brpool"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

var startTime = time.Unix(1_800_000_000, 0).UTC()

// requestID returns the n-th request ID created at a time.
func requestID(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// announcement returns an announcement of the i-th endpoint.
func announcement(i int, sequence uint64) brwire.Announce {
	return brwire.Announce{EndpointID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Kind: brwire.KindEngine,
		Model: "model-0", Region: "local", FailureDomain: "domain-a", Hardware: fmt.Sprint("generation-", i%4), Version: "2026-11-01", Incarnation: "8d2c4f9e-6f0e-4d4e-9a55-0f2f6f6d9d11",
		Sequence: sequence, MeasuredAgoMS: 900, RunningTokens: 20_000, WaitingTokens: 100, CapacityTokens: 60_000, ChecksFencing: true}
}

// submission returns the n-th request, whose ID was created at a time.
func submission(at time.Time, n int) brwire.Submit {
	return brwire.Submit{RequestID: requestID(at, n), Pool: "model-0@local", Customer: fmt.Sprintf("customer-%03d", n%860), Route: "drafting", Tier: 1 + n%5,
		Deadline: time.Hour, PromptTokens: 900, MaxTokens: 300, PrefixHashes: []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60, 5 << 60, 6 << 60, 7 << 60, 8 << 60, 9 << 60, 10 << 60, 11 << 60, 12 << 60, 13 << 60, 14 << 60}}
}

// newPool returns a pool that has been taken over and has a number of endpoints
// with a capacity in tokens each.
func newPool(endpoints, capacity int) *brpool.Pool {
	n := uint64(0)
	p := brpool.New(brpool.Options{Name: "model-0@local", Kind: brwire.KindEngine, Rand: func() uint64 { n += 0x9e3779b97f4a7c15; return n }})
	p.Step(startTime, brpool.SetLimits{Model: brconfig.Model{QueueTokens: 1 << 40}})
	p.Step(startTime, brpool.Takeover{Epoch: 1})
	for i := range endpoints {
		a := announcement(i, 1)
		a.CapacityTokens = capacity
		p.Step(startTime, brpool.EndpointReport{Announce: a})
	}
	return p
}

// heapBytes returns the size of the live heap in bytes after a garbage
// collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// runRequest steps a pool through all events of one request and reports
// whether the request was granted.
func runRequest(p *brpool.Pool, now time.Time, n int) bool {
	for _, e := range p.Step(now, brpool.Submit{EntryID: "vm-001", Submit: submission(now, n)}) {
		g, ok := e.(brpool.SendGrant)
		if !ok {
			continue
		}
		id, number := g.Grant.RequestID, g.Grant.Number
		p.Step(now, brpool.Started{EntryID: "vm-001", Started: brwire.Started{RequestID: id, Epoch: 1, Number: number}})
		p.Step(now, brpool.FirstToken{EntryID: "vm-001", FirstToken: brwire.FirstToken{RequestID: id, Epoch: 1, Number: number, Elapsed: 50 * time.Millisecond}})
		p.Step(now, brpool.Done{EntryID: "vm-001", Done: brwire.Done{RequestID: id, Epoch: 1, Number: number, OK: true, Outcome: brerror.Ran,
			PromptTokens: 900, OutputTokens: 280, FirstToken: 50 * time.Millisecond, Duration: 8 * time.Second}})
		return true
	}
	return false
}

// BenchmarkScheduler measures the time of one request, one endpoint report and
// one tick with different numbers of endpoints.
func BenchmarkScheduler(b *testing.B) {
	for _, endpoints := range []int{20, 217, 866} {
		b.Run(fmt.Sprintf("request/endpoints=%d", endpoints), func(b *testing.B) {
			p, n := newPool(endpoints, 60_000), 0
			for b.Loop() {
				n++
				if !runRequest(p, startTime.Add(time.Duration(n)*10*time.Microsecond), n) {
					b.Fatal("request not granted")
				}
			}
		})
		b.Run(fmt.Sprintf("report/endpoints=%d", endpoints), func(b *testing.B) {
			p, n := newPool(endpoints, 60_000), 0
			for b.Loop() {
				n++
				p.Step(startTime.Add(time.Duration(n)*time.Millisecond), brpool.EndpointReport{Announce: announcement(n%endpoints, uint64(2+n/endpoints))})
			}
		})
		b.Run(fmt.Sprintf("tick/endpoints=%d", endpoints), func(b *testing.B) {
			p, n := newPool(endpoints, 60_000), 0
			for b.Loop() {
				n++
				p.Step(startTime.Add(time.Duration(n)*time.Microsecond), brpool.Tick{})
			}
		})
	}
}

// Measures the memory of a scheduler per endpoint, queued request and stored
// ID of an ended request.
func TestMeasureSchedulerMemory(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	for _, n := range []int{20, 217, 866} {
		before := heapBytes()
		p := newPool(n, 60_000)
		t.Logf("%d endpoints: %.1f KiB each", n, (heapBytes()-before)/1024/float64(n))
		runtime.KeepAlive(p)
	}
	for _, n := range []int{1_000, 10_000} {
		p := newPool(1, 10_000)
		before := heapBytes()
		for i := range n {
			p.Step(startTime, brpool.Submit{EntryID: "vm-001", Submit: submission(startTime, i)})
		}
		queued := 0
		for _, n := range p.Status().QueuedByTier {
			queued += n
		}
		t.Logf("%d queued requests: %.0f B each", queued, (heapBytes()-before)/float64(n))
		runtime.KeepAlive(p)
	}
	for _, n := range []int{10_000, 100_000} {
		p := newPool(20, 1<<30)
		before, granted := heapBytes(), 0
		for i := range n {
			if runRequest(p, startTime.Add(time.Duration(i)*10*time.Microsecond), i) {
				granted++
			}
		}
		t.Logf("%d IDs of ended requests: %.0f B each", granted, (heapBytes()-before)/float64(n))
		runtime.KeepAlive(p)
	}
}

// Measures a takeover, in which every entry reports the requests that it ran
// in the last 10 minutes.
func TestMeasureTakeover(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	const ended = 600 * 250 // requests of one pool in 10 minutes
	for _, entries := range []int{10, 100, 400} {
		p := newPool(217, 60_000)
		reports, size := make([]brwire.JoinReply, entries), 0
		var ids []string
		for i := range entries {
			r := brwire.JoinReply{EntryID: fmt.Sprintf("vm-%03d", i), Pool: "model-0@local", Epoch: 2, StartedAgo: time.Hour}
			ids = append(ids, r.EntryID)
			for k := range ended / entries {
				r.Ended = append(r.Ended, brwire.EndedRef{RequestID: requestID(startTime, i*ended+k), EndpointID: "engine-0001", Address: "10.1.100.100:8000", Customer: "customer-001", Ran: true})
			}
			data, err := brwire.Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			size += len(data)
			reports[i] = r
		}
		p.Step(startTime.Add(time.Second), brpool.Takeover{Epoch: 2, Entries: ids})
		began := processorTime()
		for _, r := range reports {
			p.Step(startTime.Add(time.Second), brpool.Recovered{Reply: r})
		}
		took := processorTime() - began
		at := time.Now()
		for _, r := range reports {
			data, _ := brwire.Encode(r)
			if _, err := brwire.Decode[brwire.JoinReply](data); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d entries: %d B in reports, %v to apply, %v to encode and decode, recovering %v, %d request IDs stored", entries, size, took, time.Since(at), p.Status().Recovering, p.Status().Finished)
	}
}

// Measures the size of the timeline's file and ring buffer for the events of one
// request at its entry and its scheduler.
func TestMeasureTimeline(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure")
	}
	const n = 1000
	dir := t.TempDir()
	before := heapBytes()
	r, err := brtimeline.NewRecorder(brtimeline.Options{Process: "vm-001", Clock: brtimeline.NewClock(brclock.System{}, time.Minute), Size: 10 * n, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	events := requestEvents("")
	for i := range n {
		for _, e := range requestEvents(requestID(startTime, i)) {
			r.Record(e)
		}
	}
	ring := heapBytes() - before
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d events and %.0f B of file per request; ring buffer of %d events: %.0f B each", len(events), float64(fileSize(t, dir))/n, 10*n, ring/(10*n))
}

// requestEvents returns the events that the entry and the scheduler record for a
// request.
func requestEvents(id string) []brtimeline.Event {
	pool, engine := "model-0@local", "engine-0001"
	return []brtimeline.Event{
		{Kind: brtimeline.RequestReceived, RequestID: id, Pool: pool, Detail: "received"},
		{Kind: brtimeline.RequestQueued, RequestID: id, Pool: pool, Tier: 1, Customer: "customer-001", Route: "drafting", Peer: "vm-001"},
		{Kind: brtimeline.RequestGranted, RequestID: id, Pool: pool, EndpointID: engine, Version: "2026-11-01", Epoch: 7, Peer: "vm-001", Detail: "sent"},
		{Kind: brtimeline.RequestGranted, RequestID: id, Pool: pool, EndpointID: engine, Epoch: 7, Detail: "granted"},
		{Kind: brtimeline.DispatchBegun, RequestID: id, Pool: pool, EndpointID: engine, Epoch: 7, Detail: "dispatched"},
		{Kind: brtimeline.FirstToken, RequestID: id, Pool: pool, EndpointID: engine, Epoch: 7, Detail: "first_token"},
		{Kind: brtimeline.RequestEnded, RequestID: id, Pool: pool, EndpointID: engine, Epoch: 7, Detail: "ended"},
	}
}
