package brpool

import (
	"time"

	"bramleyroute/brqueue"
)

const (
	// rateGain is the weight of the last second in the drain and arrival rates.
	rateGain = 0.3
	// leastPart is the part of the drain rate that a tier is assumed to get
	// however much work of higher tiers arrives.
	leastPart = 0.05
	// overdueAfter is the time after a grant at which a missing start is noted:
	// the window and a second for the messages.
	overdueAfter = GrantWindow + time.Second

	defaultRetry = time.Second
	leastRetry   = 200 * time.Millisecond
	mostRetry    = time.Minute
	retryJitter  = 0.25
)

// load measures the work that arrives and that ends.
type load struct {
	drain   float64                // expected tokens ended per second while requests waited; 0 when unknown
	arrival [brqueue.Tiers]float64 // expected tokens submitted per second
	arrived [brqueue.Tiers]int     // in this second
	ended   int                    // in this second
	emptied bool                   // the queue was empty at some time in this second
}

func (l *load) arrive(tier, tokens int) { l.arrived[tier-1] += tokens }

// available returns the tokens per second that a tier gets of the drain rate
// after what arrives in higher tiers, 0 when the drain rate is unknown.
func (l *load) available(tier int) float64 {
	rate := l.drain
	for t := range tier - 1 {
		rate -= l.arrival[t]
	}
	return max(rate, leastPart*l.drain)
}

// measure ends a second that took elapsed. The drain rate is only learned from
// seconds in which requests waited throughout, since otherwise it shows the
// demand and not the capacity.
func (l *load) measure(elapsed time.Duration) {
	s := elapsed.Seconds()
	for t := range l.arrival {
		l.arrival[t] += rateGain * (float64(l.arrived[t])/s - l.arrival[t])
		l.arrived[t] = 0
	}
	if !l.emptied && l.ended > 0 {
		rate := float64(l.ended) / s
		if l.drain == 0 {
			l.drain = rate
		}
		l.drain += rateGain * (rate - l.drain)
	}
	l.ended, l.emptied = 0, false
}

// retryAfter returns the time in which the queued work of a tier and those
// above it drains, with a jitter of 25% either way.
func (p *Pool) retryAfter(tier int) time.Duration {
	wait := defaultRetry
	if p.load.drain > 0 {
		tokens := 0
		for t := 1; t <= tier; t++ {
			tokens += p.queue.TierTokens(t)
		}
		wait = time.Duration(float64(tokens) / p.load.drain * float64(time.Second))
	}
	wait = min(mostRetry, max(leastRetry, wait))
	unit := float64(p.opts.Rand()>>11) / (1 << 53)
	return time.Duration(float64(wait) * (1 - retryJitter + 2*retryJitter*unit))
}

func (p *Pool) tick(now time.Time) {
	if p.recovering {
		p.endRecovery(now)
	}
	p.noteChanges(now, p.table.Tick(now))
	if p.owner && !p.recovering && !p.releasing {
		p.refuseShed(p.queue.Expire(now), "deadline")
	}
	if p.second.IsZero() {
		p.second = now
	}
	if elapsed := now.Sub(p.second); elapsed >= time.Second {
		p.second = now
		p.load.measure(elapsed)
		p.finished.expire(now)
		p.expireAbsences(now)
		p.checkGrants(now)
		p.reportSamples(elapsed)
	}
}

// checkGrants notes grants that were never started and ends the requests of
// lost entries.
func (p *Pool) checkGrants(now time.Time) {
	for _, r := range p.sorted(func(r *request) bool {
		return r.state == granted && !r.noted && now.Sub(r.granted) >= overdueAfter || !r.orphaned.IsZero() && !now.Before(r.orphaned)
	}) {
		if !r.orphaned.IsZero() && !now.Before(r.orphaned) {
			p.counters.Orphaned++
			p.close(now, r, false)
			continue
		}
		r.noted = true
		p.emit(NoteGrantOverdue{RequestID: r.ID, EntryID: r.entry})
	}
}
