package brload

import (
	"cmp"
	"slices"
	"time"

	"bramleyroute/brfake"
	"bramleyroute/brprefix"
	"bramleyroute/brwire"
)

// Waste counts prompt tokens that engines computed unnecessarily.
type Waste struct {
	Computed   int            `json:"computed"`            // all computed tokens, by the counts of the engines
	Cached     int            `json:"cached"`              // tokens found in caches, by the counts of the engines
	Unfinished int            `json:"unfinished"`          // tokens of canceled requests, by the counts of the engines
	Late       int            `json:"late"`                // tokens of complete responses whose first token was late
	Missed     int            `json:"missed"`              // tokens of responses in time that another engine had cached
	Scheduler  map[string]int `json:"scheduler,omitempty"` // tokens by cause, by the counts of the scheduler
}

// Sum returns the number of wasted tokens, by the counts of the engines and the
// responses.
func (w Waste) Sum() int { return w.Unfinished + w.Late + w.Missed }

// Percent returns the wasted tokens as a percentage of the computed tokens.
func (w Waste) Percent() float64 { return 100 * float64(w.Sum()) / float64(max(1, w.Computed)) }

// measureWaste computes the wasted prefill from the outcomes and the counts of the
// engines. model estimates which prefixes other engines had cached when a request
// arrived, from the earlier responses; measureWaste updates it.
func measureWaste(model *cacheModel, outcomes []Outcome, counts []brfake.Counts) Waste {
	var w Waste
	for _, c := range counts {
		w.Computed += c.PrefillComputed
		w.Cached += c.PrefillCached
		w.Unfinished += c.PrefillWasted
	}
	for _, event := range model.events(outcomes) {
		if event.store {
			model.store(event.outcome)
			continue
		}
		a := event.outcome.LastAttempt()
		computed := a.Usage.PromptTokens - a.Usage.CachedTokens
		switch {
		case !event.outcome.FirstInTime():
			w.Late += computed
		default:
			w.Missed += min(computed, max(0, model.maxCachedElsewhere(event.outcome)-a.Usage.CachedTokens))
		}
	}
	return w
}

// cacheModel models the prefix caches of engines as LRU caches of a number of
// blocks. The responses determine their contents.
type cacheModel struct {
	blocks int                 // capacity of each cache
	caches map[string][]uint64 // by engine; the last block is the most recently used
}

type cacheEvent struct {
	at      time.Time
	store   bool // arrival of the first token; otherwise arrival of the request
	outcome Outcome
}

func newCacheModel(blocks int) *cacheModel {
	return &cacheModel{blocks: blocks, caches: map[string][]uint64{}}
}

// events returns the request arrivals and the first tokens of the complete
// responses, sorted by time.
func (m *cacheModel) events(outcomes []Outcome) []cacheEvent {
	var out []cacheEvent
	for _, o := range outcomes {
		if a := o.LastAttempt(); a.Complete {
			out = append(out, cacheEvent{o.Due, false, o}, cacheEvent{a.FirstTokenAt, true, o})
		}
	}
	slices.SortStableFunc(out, func(a, b cacheEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return out
}

func (m *cacheModel) store(o Outcome) {
	_, hashes := brprefix.Hashes(o.Prompt, maxBlocks)
	engine := o.LastAttempt().Endpoint
	stored := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		stored[h] = true
	}
	cache := slices.DeleteFunc(m.caches[engine], func(h uint64) bool { return stored[h] })
	cache = append(cache, hashes...)
	m.caches[engine] = cache[max(0, len(cache)-m.blocks):]
}

// maxBlocks limits the prefix blocks considered of one prompt.
const maxBlocks = 4096

// maxCachedElsewhere returns the largest number of tokens of o's prompt that any one
// engine other than its own has cached.
func (m *cacheModel) maxCachedElsewhere(o Outcome) int {
	_, hashes := brprefix.Hashes(o.Prompt, maxBlocks)
	maxBlocksCached := 0
	for engine, cache := range m.caches {
		if engine == o.LastAttempt().Endpoint {
			continue
		}
		n := 0
		for n < len(hashes) && slices.Contains(cache, hashes[n]) {
			n++
		}
		maxBlocksCached = max(maxBlocksCached, n)
	}
	return maxBlocksCached * brwire.PrefixBlockTokens
}
