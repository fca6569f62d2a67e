package brload

import (
	"cmp"
	"slices"
	"time"

	"bramleyroute/brfake"
	"bramleyroute/brprefix"
	"bramleyroute/brwire"
)

// Waste counts prompt tokens that engines computed for nothing.
type Waste struct {
	Computed   int            `json:"computed"`            // all, by the engines' counts
	Cached     int            `json:"cached"`              // served from caches, by the engines' counts
	Unfinished int            `json:"unfinished"`          // of requests that were canceled, by the engines' counts
	Late       int            `json:"late"`                // of whole answers whose first token was late
	Missed     int            `json:"missed"`              // of answers in time, although another engine had them cached
	Scheduler  map[string]int `json:"scheduler,omitempty"` // by cause, by the scheduler's counts
}

// Sum returns the wasted tokens by the engines' counts and the answers.
func (w Waste) Sum() int { return w.Unfinished + w.Late + w.Missed }

// Percent returns the wasted part of the computed tokens in percent.
func (w Waste) Percent() float64 { return 100 * float64(w.Sum()) / float64(max(1, w.Computed)) }

// measureWaste derives the wasted prefill from the outcomes and the engines'
// counts. What was cached elsewhere is what the answers so far had put into the
// caches at the arrival of a request, as warm follows them.
func measureWaste(warm *warmth, outcomes []Outcome, counts []brfake.Counts) Waste {
	var w Waste
	for _, c := range counts {
		w.Computed += c.PrefillComputed
		w.Cached += c.PrefillCached
		w.Unfinished += c.PrefillWasted
	}
	for _, e := range warm.events(outcomes) {
		if e.store {
			warm.store(e.outcome)
			continue
		}
		a := e.outcome.Last()
		computed := a.Usage.PromptTokens - a.Usage.CachedTokens
		switch {
		case !e.outcome.FirstInTime():
			w.Late += computed
		default:
			w.Missed += min(computed, max(0, warm.elsewhere(e.outcome)-a.Usage.CachedTokens))
		}
	}
	return w
}

// warmth follows the prefix caches of engines by their answers, as caches of a
// number of blocks, least recently used first out.
type warmth struct {
	blocks int
	caches map[string][]uint64 // by engine; the last is the most recently used
}

type warmthEvent struct {
	at      time.Time
	store   bool // first token; otherwise the arrival
	outcome Outcome
}

func newWarmth(blocks int) *warmth { return &warmth{blocks: blocks, caches: map[string][]uint64{}} }

// events returns the arrivals and first tokens of the whole answers by time.
func (w *warmth) events(outcomes []Outcome) []warmthEvent {
	var out []warmthEvent
	for _, o := range outcomes {
		if a := o.Last(); a.Whole {
			out = append(out, warmthEvent{o.Due, false, o}, warmthEvent{a.First, true, o})
		}
	}
	slices.SortStableFunc(out, func(a, b warmthEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return out
}

func (w *warmth) store(o Outcome) {
	_, hashes := brprefix.Hashes(o.Prompt, maxBlocks)
	engine := o.Last().Endpoint
	fresh := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		fresh[h] = true
	}
	kept := slices.DeleteFunc(w.caches[engine], func(h uint64) bool { return fresh[h] })
	kept = append(kept, hashes...)
	w.caches[engine] = kept[max(0, len(kept)-w.blocks):]
}

// maxBlocks bounds the prefix blocks that are looked at of one prompt.
const maxBlocks = 4096

// elsewhere returns the most tokens of o's prompt that an engine other than its
// own has cached.
func (w *warmth) elsewhere(o Outcome) int {
	_, hashes := brprefix.Hashes(o.Prompt, maxBlocks)
	most := 0
	for engine, cache := range w.caches {
		if engine == o.Last().Endpoint {
			continue
		}
		n := 0
		for n < len(hashes) && slices.Contains(cache, hashes[n]) {
			n++
		}
		most = max(most, n)
	}
	return most * brwire.PrefixBlockTokens
}
