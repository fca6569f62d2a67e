package brpool

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// BenchmarkStep measures one request from its submission over its grant to its
// end, for several numbers of endpoints and of requests queued behind it.
func BenchmarkStep(b *testing.B) {
	for _, endpoints := range []int{20, 217, 2600} {
		for _, waiting := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("endpoints=%d/queued=%d", endpoints, waiting), func(b *testing.B) {
				benchmarkStep(b, endpoints, waiting)
			})
		}
	}
}

func benchmarkStep(b *testing.B, endpoints, waiting int) {
	p := newPool(brwire.KindEngine)
	p.Step(start, SetLimits{Model: brconfig.Model{QueueTokens: 1 << 40}})
	p.Step(start, Takeover{Epoch: 1})
	for i := range endpoints {
		p.Step(start, announce(fmt.Sprint("e", i), "v1", 1, 10_000))
	}
	hashes := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}
	n := 0
	submitNext := func(now time.Time, tier int) []Effect {
		n++
		ev := submit("a", testID(now, n), tier, 900)
		ev.Submit.Customer = fmt.Sprint("c", n%860)
		ev.Submit.PrefixHashes = hashes
		ev.Submit.Deadline = time.Hour
		return p.Step(now, ev)
	}
	for p.queue.Len() < waiting {
		submitNext(start, 4)
	}
	b.ReportAllocs()
	b.ResetTimer()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if i%100 == 0 {
			p.Step(now, Tick{})
		}
		if i%1000 == 999 {
			b.StopTimer()
			for e := range endpoints {
				p.Step(now, announce(fmt.Sprint("e", e), "v1", uint64(2+i), 10_000))
			}
			b.StartTimer()
		}
		for _, e := range submitNext(now, 1) {
			g, ok := e.(SendGrant)
			if !ok {
				continue
			}
			id, number := g.Grant.RequestID, g.Grant.Number
			p.Step(now, Started{"a", brwire.Started{RequestID: id, Epoch: 1, Number: number}})
			p.Step(now, FirstToken{"a", brwire.FirstToken{RequestID: id, Epoch: 1, Number: number, Elapsed: 50 * time.Millisecond}})
			p.Step(now, Done{"a", brwire.Done{RequestID: id, Epoch: 1, Number: number, OK: true, Outcome: brerror.Ran,
				PromptTokens: 900, OutputTokens: 80, FirstToken: 50 * time.Millisecond, Duration: time.Second}})
		}
	}
	b.StopTimer()
	if p.counters.Granted < b.N || p.queue.Len() < waiting {
		b.Fatalf("granted %d requests, want at least %d; %d queued", p.counters.Granted, b.N, p.queue.Len())
	}
}
