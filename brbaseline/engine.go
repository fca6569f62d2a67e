package brbaseline

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bramleyroute/brwire"
)

// StepTime is the length of a simulation step.
const StepTime = 10 * time.Millisecond

const (
	engineMemory  = 60_000 // tokens
	cacheBlocks   = 240    // a quarter of the memory, half of the prefixes of the workload
	eventsPerLoss = 20     // one of this many cache events is lost
)

// Request is a request with its actual lengths and its state in the simulation.
type Request struct {
	ID                    string
	Class                 int // index of its class in the workload
	Tier                  int
	Prompt, Output        int      // tokens
	Blocks                []uint64 // hashes of the blocks of the prefix shared by its template
	Arrival               time.Time
	Deadline              time.Time // for the first token
	Sent                  time.Time // when it was sent to its engine; zero before that
	FirstTokenAt, EndedAt time.Time // when the first token came and the request ended; zero if not
	Cached                int       // prompt tokens found in the engine's cache

	engine                     *Engine
	remainingPrompt, generated float64 // prompt tokens to prefill, output tokens generated
	avoidable, prefilled       int     // prompt tokens cached only on another engine, prompt tokens prefilled
	closed                     bool    // ended, canceled or refused
}

// tokens returns the memory in tokens that r takes on an engine.
func (r *Request) tokens() int { return r.Prompt + r.Output }

// Engine is a synthetic engine. It starts requests in arrival order within its
// memory. Prompts are prefilled one at a time. Prefilled requests decode
// concurrently, and more slowly the more memory is used. The prefix cache evicts
// the least recently used block.
type Engine struct {
	ID          string
	prefillRate float64 // tokens per second
	tokenTime   float64 // seconds per output token with empty memory

	queue, running                 []*Request
	usedTokens                     int
	cache                          map[uint64]time.Time // time of the last use by block hash
	events                         []brwire.CacheEvent
	sequence                       uint64
	runningReports, waitingReports []int // running and waiting tokens by report
}

// newEngine returns the i-th engine. Every second engine is of an older, slower
// generation.
func newEngine(i int) *Engine {
	e := &Engine{ID: fmt.Sprintf("e%02d", i), prefillRate: 8000, tokenTime: 0.020, cache: map[uint64]time.Time{}}
	if i%2 == 1 {
		e.prefillRate, e.tokenTime = 4000, 0.035
	}
	return e
}

// hasRoom reports whether r would start without waiting.
func (e *Engine) hasRoom(r *Request) bool {
	return len(e.queue) == 0 && (e.usedTokens == 0 || e.usedTokens+r.tokens() <= engineMemory)
}

// step advances the engine by StepTime and returns the requests that got their
// first token and those that ended. The function maxCachedBlocks returns the
// largest number of leading blocks of a request that any engine has cached.
func (e *Engine) step(now time.Time, maxCachedBlocks func(r *Request) int) (firstTokens, ended []*Request) {
	for len(e.queue) > 0 && (e.usedTokens == 0 || e.usedTokens+e.queue[0].tokens() <= engineMemory) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.usedTokens += r.tokens()
		r.Cached = e.cachedBlocks(r) * brwire.PrefixBlockTokens
		r.avoidable = max(0, maxCachedBlocks(r)*brwire.PrefixBlockTokens-r.Cached)
		r.remainingPrompt = float64(r.Prompt - r.Cached)
		e.running = append(e.running, r)
	}
	budget := e.prefillRate * StepTime.Seconds()
	rate := StepTime.Seconds() / (e.tokenTime * (1 + float64(e.usedTokens)/engineMemory))
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.remainingPrompt > 0 {
			tokens := min(budget, r.remainingPrompt)
			r.remainingPrompt, budget = r.remainingPrompt-tokens, budget-tokens
			r.prefilled = r.Prompt - r.Cached - int(r.remainingPrompt)
			if r.remainingPrompt == 0 {
				r.FirstTokenAt = now
				e.cachePrefix(now, r)
				firstTokens = append(firstTokens, r)
			}
		} else if r.generated += rate; r.generated >= float64(r.Output) {
			r.EndedAt = now
			e.usedTokens -= r.tokens()
			ended = append(ended, r)
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	return firstTokens, ended
}

// cachedBlocks returns the number of leading blocks of r that are cached.
func (e *Engine) cachedBlocks(r *Request) int {
	for i, h := range r.Blocks {
		if _, ok := e.cache[h]; !ok {
			return i
		}
	}
	return len(r.Blocks)
}

// cachePrefix adds the blocks of r to the cache and evicts the oldest blocks
// beyond cacheBlocks.
func (e *Engine) cachePrefix(now time.Time, r *Request) {
	for i, h := range r.Blocks {
		if _, ok := e.cache[h]; !ok {
			e.publish(brwire.CacheEvent{Hashes: []uint64{h}})
		}
		e.cache[h] = now.Add(-time.Duration(i)) // within a prefix, later blocks are evicted first
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

// publish adds a cache event to the next report.
func (e *Engine) publish(ev brwire.CacheEvent) {
	e.sequence++
	ev.Sequence = e.sequence
	e.events = append(e.events, ev)
}

// cancel removes a waiting or running request.
func (e *Engine) cancel(r *Request) {
	for _, list := range []*[]*Request{&e.queue, &e.running} {
		for i, o := range *list {
			if o != r {
				continue
			}
			*list = append((*list)[:i], (*list)[i+1:]...)
			if list == &e.running {
				e.usedTokens -= r.tokens()
			}
			return
		}
	}
}

// announce returns the current report with the load figures of lag reports
// before. Each cache event is lost with a probability of 1/eventsPerLoss.
func (e *Engine) announce(lag int, rng *rand.Rand) brwire.Announce {
	waiting := 0
	for _, r := range e.queue {
		waiting += r.tokens()
	}
	e.runningReports, e.waitingReports = append(e.runningReports, e.usedTokens), append(e.waitingReports, waiting)
	n := len(e.runningReports)
	at := max(0, n-1-lag)
	a := brwire.Announce{EndpointID: e.ID, Address: e.ID, Kind: brwire.KindEngine, Version: "v1", Incarnation: "1", Sequence: uint64(n),
		MeasuredAgoMS: int64(n-1-at) * 1000, RunningTokens: e.runningReports[at], WaitingTokens: e.waitingReports[at], CapacityTokens: engineMemory}
	for _, ev := range e.events {
		if rng.IntN(eventsPerLoss) > 0 {
			a.CacheEvents = append(a.CacheEvents, ev)
		}
	}
	e.events = nil
	return a
}
