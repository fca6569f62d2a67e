package brbaseline

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyroute/brwire"
)

// StepTime is the resolution of the engines.
const StepTime = 10 * time.Millisecond

const (
	engineMemory = 60_000 // tokens
	cacheBlocks  = 240    // a quarter of the memory, half of the mix's prefixes
	lostEvents   = 20     // one cache event in so many is lost
)

// Request is one request with its true lengths.
type Request struct {
	ID             string
	Class          int // index of the mix
	Tier           int
	Prompt, Output int      // tokens
	Blocks         []uint64 // hashes of the prefix that its template shares
	Arrival        time.Time
	Deadline       time.Time // of the first token
	Sent           time.Time // to its engine; zero before
	First, Done    time.Time // zero when it never came
	Cached         int       // prompt tokens served from the cache

	engine          *Engine
	left, generated float64 // prompt tokens to prefill, tokens out
	missed, filled  int
	gone            bool
}

func (r *Request) tokens() int { return r.Prompt + r.Output }

// Engine serves requests in arrival order within its memory. One prompt is
// prefilled at a time; all others decode, the more slowly the fuller the memory.
// Its prefix cache drops the least recently used block.
type Engine struct {
	ID      string
	prefill float64 // tokens per second
	token   float64 // seconds per token when empty

	queue, running []*Request
	used           int // tokens
	cache          map[uint64]time.Time
	events         []brwire.CacheEvent
	sequence       uint64
	loads, waits   []int // running and waiting tokens at each report
}

// newEngine returns the i-th engine. Every other one is of an older generation.
func newEngine(i int) *Engine {
	e := &Engine{ID: fmt.Sprintf("e%02d", i), prefill: 8000, token: 0.020, cache: map[uint64]time.Time{}}
	if i%2 == 1 {
		e.prefill, e.token = 4000, 0.035
	}
	return e
}

// room reports whether r would start at once.
func (e *Engine) room(r *Request) bool {
	return len(e.queue) == 0 && (e.used == 0 || e.used+r.tokens() <= engineMemory)
}

// step advances the engine by StepTime and returns the requests that got their
// first token or ended.
func (e *Engine) step(now time.Time, warmest func(r *Request) int) (firsts, ended []*Request) {
	for len(e.queue) > 0 && (e.used == 0 || e.used+e.queue[0].tokens() <= engineMemory) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.used += r.tokens()
		r.Cached = e.depth(r) * brwire.PrefixBlockTokens
		r.missed = max(0, warmest(r)*brwire.PrefixBlockTokens-r.Cached)
		r.left = float64(r.Prompt - r.Cached)
		e.running = append(e.running, r)
	}
	budget := e.prefill * StepTime.Seconds()
	rate := StepTime.Seconds() / (e.token * (1 + float64(e.used)/engineMemory))
	kept := e.running[:0]
	for _, r := range e.running {
		if r.left > 0 {
			part := min(budget, r.left)
			r.left, budget = r.left-part, budget-part
			r.filled = r.Prompt - r.Cached - int(r.left)
			if r.left == 0 {
				r.First = now
				e.store(now, r)
				firsts = append(firsts, r)
			}
		} else if r.generated += rate; r.generated >= float64(r.Output) {
			r.Done = now
			e.used -= r.tokens()
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	return firsts, ended
}

// depth returns how many leading blocks of r are cached.
func (e *Engine) depth(r *Request) int {
	for i, h := range r.Blocks {
		if _, ok := e.cache[h]; !ok {
			return i
		}
	}
	return len(r.Blocks)
}

func (e *Engine) store(now time.Time, r *Request) {
	for i, h := range r.Blocks {
		if _, ok := e.cache[h]; !ok {
			e.publish(brwire.CacheEvent{Hashes: []uint64{h}})
		}
		e.cache[h] = now.Add(-time.Duration(i)) // of one prefix the later blocks are dropped first
	}
	for len(e.cache) > cacheBlocks {
		var oldest uint64
		for h, at := range e.cache {
			if o, ok := e.cache[oldest]; !ok || at.Before(o) || at.Equal(o) && h < oldest {
				oldest = h
			}
		}
		delete(e.cache, oldest)
		e.publish(brwire.CacheEvent{Evicted: true, Hashes: []uint64{oldest}})
	}
}

func (e *Engine) publish(ev brwire.CacheEvent) {
	e.sequence++
	ev.Sequence = e.sequence
	e.events = append(e.events, ev)
}

// cancel takes a request out wherever it is.
func (e *Engine) cancel(r *Request) {
	for _, list := range []*[]*Request{&e.queue, &e.running} {
		for i, o := range *list {
			if o != r {
				continue
			}
			*list = append((*list)[:i], (*list)[i+1:]...)
			if list == &e.running {
				e.used -= r.tokens()
			}
			return
		}
	}
}

// announce returns the report of now with the load figures of lag reports ago.
func (e *Engine) announce(lag int, rng *rand.Rand) brwire.Announce {
	waiting := 0
	for _, r := range e.queue {
		waiting += r.tokens()
	}
	e.loads, e.waits = append(e.loads, e.used), append(e.waits, waiting)
	n := len(e.loads)
	at := max(0, n-1-lag)
	a := brwire.Announce{EndpointID: e.ID, Address: e.ID, Kind: brwire.KindEngine, Version: "v1", Incarnation: "1", Sequence: uint64(n),
		MeasuredAgoMS: int64(n-1-at) * 1000, RunningTokens: e.loads[at], WaitingTokens: e.waits[at], CapacityTokens: engineMemory}
	for _, ev := range e.events {
		if rng.IntN(lostEvents) > 0 {
			a.CacheEvents = append(a.CacheEvents, ev)
		}
	}
	e.events = nil
	return a
}
