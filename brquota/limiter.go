package brquota

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minRefillInterval is the minimum time between two refills by Spend, whose cost is
	// proportional to the number of customers.
	minRefillInterval = 10 * time.Millisecond

	// baseReportAge is the expected age of the reports of other daemons in a small
	// fleet. reportAgePerDaemon is the increase for each daemon.
	baseReportAge      = 100 * time.Millisecond
	reportAgePerDaemon = 3 * time.Millisecond

	// maxRetryAfter limits the wait that Spend returns to a refused customer.
	maxRetryAfter = 5 * time.Second

	// reportRetention is the time for which a report holds the totals of a customer after
	// their last change, so that reports that are skipped by faster ones lose nothing.
	reportRetention = 2 * time.Second

	// minRate is the rate below which a customer counts as idle at a daemon, in units per
	// second.
	minRate = 1e-3
)

// Limit is the quota of one customer, in a unit of its own such as requests or
// tokens.
type Limit struct {
	Rate  float64 // refill rate per second; 0 means no limit
	Burst float64 // capacity of the bucket
	// Slack is the amount by which the customer may exceed its limit in any window of
	// time. A quarter of it is added to Burst.
	Slack float64
}

// Report holds the cumulative totals of one daemon since its start. It omits customers
// whose totals have not changed for reportRetention.
type Report struct {
	Customers map[string]Totals  `cbor:"customers,omitempty"`
	Requests  map[string]float64 `cbor:"requests,omitempty"` // number of requests, by service
	Retries   map[string]float64 `cbor:"retries,omitempty"`  // number of retries, by service
	Uptime    time.Duration      `cbor:"uptime,omitempty"`   // time over which the totals were counted
}

// Totals holds the cumulative quota of one customer at one daemon, in whole units. It is
// encoded as an array to keep reports short.
type Totals struct {
	_      struct{} `cbor:",toarray"`
	Spent  int64    // quota spent
	Demand int64    // quota requested including refused requests
}

// Config configures a Limiter.
type Config struct {
	// Tolerance is the fraction by which a customer may exceed its rate. A quarter
	// of it is added to the rate, since the copies of a bucket differ and a request
	// refused within the limit is lost. The rest covers requests that daemons admit
	// concurrently or during a network partition.
	Tolerance float64
	Random    func() float64 // returns uniform values in [0, 1); nil means math/rand/v2.Float64
}

// Limiter holds one daemon's copy of all buckets. It isn't safe for concurrent use.
type Limiter struct {
	cfg         Config
	limits      map[string]Limit
	buckets     map[string]*bucket    // by customer
	retries     map[string]float64    // available retries, by service
	own         map[string]*ownTotals // by customer
	requests    map[string]float64    // number of own requests, by service
	ownRetries  map[string]float64    // number of own retries, by service
	peers       map[string]*peer
	activePeers int       // number of peers that are active
	lostPeers   int       // number of peers that are lost
	daemonCount int       // number of daemons, including this one
	withholding bool      // quota was withheld from the buckets and not restored yet
	startedAt   time.Time // time of the first refill
	lastRefill  time.Time // time of the last refill of the buckets
	lastCheck   time.Time // time of the last check for silent peers
}

// ownTotals holds this daemon's totals of one customer.
type ownTotals struct {
	spent, demand float64
	changedAt     time.Time
}

// bucket is the token bucket of one customer.
type bucket struct {
	level       float64 // available quota; negative after a request larger than the level
	burst       float64 // upper bound of level
	spendRate   float64 // quota spent per second at the active peers
	demandRate  float64 // quota requested per second at the active peers
	ownDemand   float64 // moving average of the quota requested per second at this daemon
	ownRequests float64 // quota requested at this daemon since the last refill
	ownSpend    float64 // moving average of the quota spent per second at this daemon, less refunds
	ownSpent    float64 // quota spent at this daemon since the last refill, less refunds
	withheld    float64 // quota not refilled because daemons were disconnected; see restore
	unseen      float64 // quota spent by daemons while they were lost, as reported after their return
}

// demand returns the quota requested per second at all daemons.
func (b *bucket) demand() float64 { return b.demandRate + b.ownDemand }

// Rates are what a customer with a limit asks for and spends at all daemons, in quota per second.
type Rates struct {
	Demand, Spent float64
	Limit         float64 // the rate of its quota
}

// Rates returns the present rates of the customers that have asked for anything.
func (l *Limiter) Rates() map[string]Rates {
	rates := map[string]Rates{}
	for customer, b := range l.buckets {
		if limit := l.limits[customer].Rate; limit > 0 {
			rates[customer] = Rates{Demand: b.demand(), Spent: max(0, b.spendRate+b.ownSpend), Limit: limit}
		}
	}
	return rates
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(cfg Config) *Limiter {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Limiter{
		cfg:        cfg,
		buckets:    map[string]*bucket{},
		retries:    map[string]float64{},
		own:        map[string]*ownTotals{},
		requests:   map[string]float64{},
		ownRetries: map[string]float64{},
		peers:      map[string]*peer{},
	}
}

// SetLimits replaces the limits. The keys are customer names. A customer without an
// entry is not limited.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.limits = map[string]Limit{}
	for customer, limit := range limits {
		limit.Rate *= 1 + l.cfg.Tolerance/4
		limit.Burst += limit.Slack / 4
		l.limits[customer] = limit
	}
}

// SetDaemonCount sets the number of daemons, including this one. While some of them
// are disconnected, this daemon refills its buckets at a reduced rate, since the
// disconnected daemons may spend the rest.
func (l *Limiter) SetDaemonCount(n int) { l.daemonCount = n }

// refillShare returns the fraction of each rate at which this daemon refills its
// buckets when it receives reports from the given number of other daemons.
func (l *Limiter) refillShare(peers int) float64 {
	fraction := min(1, float64(peers+1)/float64(max(1, l.daemonCount)))
	// Daemons that receive reports from different subsets of the fleet count some
	// daemons more than once. The square keeps the sum of their rates below the
	// limit, at the expense of customers that use their whole quota.
	return fraction * fraction
}

// Spend deducts cost from the bucket of a customer. If Spend returns false, it also
// returns the time after which to retry.
//
// A customer whose demand at all daemons is within its rate is admitted while its
// bucket holds at least one unit. A cost above the level is admitted, so that large
// requests have the same chance as small ones; the level becomes negative and has to be
// refilled first.
//
// Of a customer beyond its rate each daemon admits the fraction of the demand that the
// rate covers, and up to three times that fraction while the bucket isn't empty. The
// copies of a bucket are as old as the reports, so that daemons which looked only at the
// level would all admit the customer at the same time whenever it isn't empty.
func (l *Limiter) Spend(now time.Time, customer string, cost float64) (wait time.Duration, ok bool) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(now, customer, limit)
	own := l.ownTotals(customer)
	own.demand += cost
	b.ownRequests += cost
	if b.level >= 1 && l.admits(b, limit) {
		b.level -= cost
		b.ownSpent += cost
		own.spent += cost
		return 0, true
	}
	return l.retryDelay(b, limit), false
}

// retryDelay returns the time after which a refused customer may be admitted: when its
// bucket holds a unit again, and when the rate has covered the demand of one second. It
// is random, so that refused requests don't all return at the same time.
func (l *Limiter) retryDelay(b *bucket, limit Limit) time.Duration {
	refill := max(0, 1-b.level) / (limit.Rate * l.refillShare(l.activePeers)) // seconds
	backlog := max(0, b.demand()/limit.Rate-1) * l.cfg.Random()               // seconds
	return min(time.Duration((refill+backlog)*float64(time.Second))+time.Millisecond, maxRetryAfter)
}

// ownTotals returns this daemon's totals of a customer, which are about to change.
func (l *Limiter) ownTotals(customer string) *ownTotals {
	own := l.own[customer]
	if own == nil {
		own = &ownTotals{}
		l.own[customer] = own
	}
	own.changedAt = l.lastRefill
	return own
}

// admits reports whether a request of a customer may be admitted with regard to what
// the other daemons may admit before their reports arrive.
func (l *Limiter) admits(b *bucket, limit Limit) bool {
	demand := b.demand()
	if demand <= limit.Rate || b.level >= demand*l.reportAge().Seconds() {
		return true
	}
	return l.cfg.Random() < limit.Rate/demand*(1+2*b.level/b.burst)
}

// reportAge returns the expected age of the reports of the other daemons.
func (l *Limiter) reportAge() time.Duration {
	if l.activePeers == 0 {
		return 0
	}
	return baseReportAge + time.Duration(l.daemonCount)*reportAgePerDaemon
}

// Refund returns to the bucket of a customer the cost of a request that did not
// run.
func (l *Limiter) Refund(now time.Time, customer string, cost float64) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return
	}
	b := l.bucket(now, customer, limit)
	b.level += cost
	b.ownSpent -= cost
	l.ownTotals(customer).spent -= cost
}

// bucket returns the bucket of a customer, last refilled at most minRefillInterval
// ago. It creates a full bucket if there is none.
func (l *Limiter) bucket(now time.Time, customer string, limit Limit) *bucket {
	if now.Sub(l.lastRefill) >= minRefillInterval {
		l.refill(now)
	}
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{level: limit.Burst}
		l.buckets[customer] = b
		for _, p := range l.peers {
			if p.active {
				b.addRates(p, customer, 1)
			}
		}
	}
	b.burst = limit.Burst
	b.level = min(b.level, b.burst)
	return b
}

// refill adds to the buckets the quota for the time since the last refill, less the
// estimated usage by the other daemons in that time. The estimate continues the rates of
// a daemon until it reports or is disconnected. Without it, daemons separated by a
// network partition would spend the same quota until the peer timeout.
func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill)
	first := l.lastRefill.IsZero()
	if elapsed <= 0 && !first {
		return
	}
	l.lastRefill = now
	if first {
		l.startedAt = now
		return
	}
	share := l.refillShare(l.activePeers)
	l.withholding = l.withholding || share < 1
	for customer, b := range l.buckets {
		rate := l.limits[customer].Rate
		b.level = min(b.level+elapsed.Seconds()*(rate*share-b.spendRate), b.burst)
		b.withheld += elapsed.Seconds() * rate * (1 - share)
		b.ownDemand += averageWeight(elapsed) * (b.ownRequests/elapsed.Seconds() - b.ownDemand)
		b.ownSpend += averageWeight(elapsed) * (b.ownSpent/elapsed.Seconds() - b.ownSpend)
		b.ownRequests, b.ownSpent = 0, 0
	}
	l.disconnectSilent(now)
}

// averageWeight returns the weight of a value measured over the elapsed time in a moving
// average over rateWindow.
func averageWeight(elapsed time.Duration) float64 {
	return min(1, elapsed.Seconds()/rateWindow.Seconds())
}

// Report returns the totals of this daemon.
func (l *Limiter) Report() Report {
	r := Report{
		Customers: map[string]Totals{}, Requests: maps.Clone(l.requests), Retries: maps.Clone(l.ownRetries),
		Uptime: l.lastRefill.Sub(l.startedAt),
	}
	for customer, own := range l.own {
		if l.lastRefill.Sub(own.changedAt) <= reportRetention {
			r.Customers[customer] = Totals{Spent: int64(math.Round(own.spent)), Demand: int64(math.Round(own.demand))}
		}
	}
	return r
}
