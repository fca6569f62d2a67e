package brpool

import (
	"time"

	"bramleyroute/brqueue"
)

const (
	// rateSmoothing is the weight of the last period in the drain and arrival rates.
	rateSmoothing = 0.3
	// minDrainFraction is the fraction of the drain rate assumed for a tier
	// regardless of the arrivals in higher tiers.
	minDrainFraction = 0.05
	// grantOverdueAfter is the time after a grant at which a missing start is
	// reported: the grant window plus one second for the messages.
	grantOverdueAfter = GrantWindow + time.Second

	// The default and the limits of the retry time in a refusal, and the fraction
	// of its jitter.
	defaultRetryAfter = time.Second
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = time.Minute
	retryJitter       = 0.25
)

// throughput measures the work that arrives and the work that ends.
type throughput struct {
	drainRate     float64                // expected tokens ended per second while requests were queued; 0 when unknown
	arrivalRate   [brqueue.Tiers]float64 // expected tokens submitted per second
	arrivedTokens [brqueue.Tiers]int     // expected tokens submitted in this period
	endedTokens   int                    // expected tokens ended in this period
	queueEmptied  bool                   // whether the queue was empty at some time in this period
}

func (tp *throughput) addArrival(tier, tokens int) { tp.arrivedTokens[tier-1] += tokens }

// availableRate returns the share of the drain rate, in tokens per second, that
// remains for a tier after the arrivals in higher tiers. It returns 0 when the
// drain rate is unknown.
func (tp *throughput) availableRate(tier int) float64 {
	rate := tp.drainRate
	for t := range tier - 1 {
		rate -= tp.arrivalRate[t]
	}
	return max(rate, minDrainFraction*tp.drainRate)
}

// update ends a period and updates the rates. The drain rate is learned only from
// periods in which requests were queued throughout. In other periods it would
// measure the demand instead of the capacity.
func (tp *throughput) update(elapsed time.Duration) {
	s := elapsed.Seconds()
	for t := range tp.arrivalRate {
		tp.arrivalRate[t] += rateSmoothing * (float64(tp.arrivedTokens[t])/s - tp.arrivalRate[t])
		tp.arrivedTokens[t] = 0
	}
	if !tp.queueEmptied && tp.endedTokens > 0 {
		rate := float64(tp.endedTokens) / s
		if tp.drainRate == 0 {
			tp.drainRate = rate
		}
		tp.drainRate += rateSmoothing * (rate - tp.drainRate)
	}
	tp.endedTokens, tp.queueEmptied = 0, false
}

// retryAfter returns the time in which the queued work of a tier and the higher
// tiers drains, with a jitter of 25% in both directions.
func (p *Pool) retryAfter(tier int) time.Duration {
	wait := defaultRetryAfter
	if p.rates.drainRate > 0 {
		tokens := 0
		for t := 1; t <= tier; t++ {
			tokens += p.queue.TierTokens(t)
		}
		wait = time.Duration(float64(tokens) / p.rates.drainRate * float64(time.Second))
	}
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	fraction := float64(p.opts.Rand()>>11) / (1 << 53)
	return time.Duration(float64(wait) * (1 - retryJitter + 2*retryJitter*fraction))
}

func (p *Pool) tick(now time.Time) {
	if p.recovering {
		p.endRecovery(now)
	}
	p.noteChanges(now, p.table.Tick(now))
	if p.owner && !p.recovering && !p.releasing {
		p.refuseShed(p.queue.ShedExpired(now), "deadline")
	}
	if p.periodStart.IsZero() {
		p.periodStart = now
	}
	if elapsed := now.Sub(p.periodStart); elapsed >= time.Second {
		p.periodStart = now
		p.rates.update(elapsed)
		p.finished.expire(now)
		p.expireDisconnectedBindings(now)
		p.checkGrants(now)
		p.reportSamples(elapsed)
	}
}

// checkGrants reports grants that were not started in time and closes expired
// requests of lost entries.
func (p *Pool) checkGrants(now time.Time) {
	for _, r := range p.sortedRequests(func(r *request) bool {
		return r.state == granted && !r.overdueNoted && now.Sub(r.grantedAt) >= grantOverdueAfter || !r.orphanedUntil.IsZero() && !now.Before(r.orphanedUntil)
	}) {
		if !r.orphanedUntil.IsZero() && !now.Before(r.orphanedUntil) {
			p.counters.Orphaned++
			p.closeRequest(now, r, false)
			continue
		}
		r.overdueNoted = true
		p.emit(NoteGrantOverdue{RequestID: r.ID, EntryID: r.entry})
	}
}
