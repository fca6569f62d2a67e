package brpool

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brqueue"
	"bramleyroute/brwire"
)

// WasteCause says why prefilled prompt tokens were of no use.
type WasteCause uint8

// The causes.
const (
	WasteShed     WasteCause = iota // shed after the start
	WasteCanceled                   // by the caller
	WasteLost                       // with the engine
	WasteMissed                     // prefilled although another endpoint had it cached
	WasteLate                       // the first token came after the deadline
	wasteCauses
)

// String returns the snake case name of c.
func (c WasteCause) String() string {
	return [...]string{"shed", "canceled", "lost", "cache_missed", "deadline_passed"}[c]
}

// Counters count from the creation of the Pool. Arrays by tier start with tier 1.
type Counters struct {
	Granted    int
	Completed  [brqueue.Tiers]int // answered in full
	Goodput    [brqueue.Tiers]int // of Completed, with the first token by the deadline
	GoodTokens [brqueue.Tiers]int // prompt and output tokens of Goodput
	Shed       [brqueue.Tiers]int // taken from the queue because of overload
	Failed     int
	Orphaned   int              // ended because their entry was lost
	Prefilled  int              // prompt tokens that were not served from a cache
	Wasted     [wasteCauses]int // of Prefilled, by WasteCause
	Refused    map[brerror.Kind]int

	noted [brqueue.Tiers]int // of Shed, that were noted in the timeline
}

// count counts the end of a request that was started.
func (p *Pool) count(now time.Time, r *request, m brwire.Done) {
	tier := r.Tier - 1
	prompt := m.PromptTokens
	if prompt == 0 {
		prompt = r.submit.PromptTokens
	}
	prefilled := max(0, prompt-m.CachedTokens)
	first := r.first
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
			p.counters.Wasted[WasteMissed] += min(prefilled, r.flight.Missed(m.CachedTokens))
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
