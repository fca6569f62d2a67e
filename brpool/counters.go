package brpool

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brqueue"
	"bramleyroute/brwire"
)

// WasteCause is the reason why prefilled prompt tokens were wasted.
type WasteCause uint8

// Causes of waste.
const (
	WasteShed      WasteCause = iota // shed after the start
	WasteCanceled                    // canceled by the caller
	WasteLost                        // lost with the engine
	WasteCacheMiss                   // prefilled although another endpoint had them cached
	WasteLate                        // first token after the deadline
	numWasteCauses
)

// String returns the name of c in snake case.
func (c WasteCause) String() string {
	return [...]string{"shed", "canceled", "lost", "cache_missed", "deadline_passed"}[c]
}

// Counters holds counts since the creation of the Pool. Arrays by tier start with
// tier 1.
type Counters struct {
	Granted    int
	Completed  [brqueue.Tiers]int // completed with a whole response
	Goodput    [brqueue.Tiers]int // completed with the first token by the deadline
	GoodTokens [brqueue.Tiers]int // prompt and output tokens of Goodput
	Shed       [brqueue.Tiers]int // removed from the queue because of overload
	Failed     int
	Orphaned   int                 // ended because their entry was lost
	Prefilled  int                 // prompt tokens that were not served from a cache
	Wasted     [numWasteCauses]int // part of Prefilled, by WasteCause
	Refused    map[brerror.Kind]int

	shedNoted [brqueue.Tiers]int // part of Shed already reported in the timeline
}

// countDone updates the counters at the end of a request that was started.
func (p *Pool) countDone(now time.Time, r *request, m brwire.Done) {
	tier := r.Tier - 1
	prompt := m.PromptTokens
	if prompt == 0 {
		prompt = r.submit.PromptTokens
	}
	prefilled := max(0, prompt-m.CachedTokens)
	first := r.firstTokenAt
	if first.IsZero() {
		first = now
		if p.opts.Kind != brwire.KindService {
			first = now.Add(m.FirstToken - m.Duration)
		}
	}
	late := first.After(r.deadline)
	p.counters.Prefilled += prefilled
	switch {
	case m.OK:
		p.counters.Completed[tier]++
		if !late {
			p.counters.Goodput[tier]++
			p.counters.GoodTokens[tier] += prompt + m.OutputTokens
			p.counters.Wasted[WasteCacheMiss] += min(prefilled, r.flight.AvoidablePrefill(m.CachedTokens))
			return
		}
		p.counters.Wasted[WasteLate] += prefilled
		return
	case m.Kind == brerror.Canceled:
		p.counters.Wasted[WasteCanceled] += prefilled
	case m.Kind == brerror.DeadlineExceeded:
		p.counters.Wasted[WasteLate] += prefilled
	case m.Kind == brerror.Overloaded || m.Kind == brerror.ShuttingDown:
		p.counters.Wasted[WasteShed] += prefilled
	default:
		p.counters.Wasted[WasteLost] += prefilled
	}
	p.counters.Failed++
}
