package brquota

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// peerTimeout is the age of the last report of a daemon at which the daemon
	// counts as disconnected. Daemons report at least twice per second. It limits
	// the time for which daemons separated by a network partition spend the same
	// quota.
	peerTimeout = 800 * time.Millisecond

	// minRefillInterval is the minimum time between two refills of the buckets,
	// whose cost is proportional to the number of customers times the number of
	// daemons.
	minRefillInterval = 10 * time.Millisecond

	// baseReportAge is the expected age of the reports of other daemons in a small
	// fleet. reportAgePerDaemon is the increase for each daemon, since reports are
	// less frequent in a large fleet.
	baseReportAge      = 100 * time.Millisecond
	reportAgePerDaemon = 6 * time.Millisecond

	// maxRetryAfter limits the wait that Spend returns to a refused customer.
	maxRetryAfter = 5 * time.Second

	// rateWindow is the averaging time of the rates of another daemon.
	rateWindow = 500 * time.Millisecond

	// retryRatio is the number of retries that each request adds to the budget. It
	// is lower than the ratio required by the users, which also covers retries that
	// several daemons admit concurrently.
	retryRatio = 0.1
	// retryBurst is the maximum number of unused retries in a budget.
	retryBurst = 20
	// initialRetries is the budget of a daemon that has just started. It is less
	// than retryBurst, since the other daemons may just have spent the rest.
	initialRetries = 5
)

// Limit is the quota of one customer, in a unit of its own such as requests or
// tokens.
type Limit struct {
	Rate  float64 // refill rate per second; 0 means no limit
	Burst float64 // capacity of the bucket
}

// Report holds the cumulative totals of one daemon since its start.
type Report struct {
	Spent    map[string]float64 `cbor:"spent,omitempty"`    // quota spent, by customer
	Demand   map[string]float64 `cbor:"asked,omitempty"`    // quota requested including refused requests, by customer
	Requests map[string]float64 `cbor:"requests,omitempty"` // number of requests, by service
	Retries  map[string]float64 `cbor:"retries,omitempty"`  // number of retries, by service
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
	buckets     map[string]*bucket // by customer
	retries     map[string]float64 // available retries, by service
	own         Report
	peers       map[string]*peer
	daemonCount int       // number of daemons, including this one
	lastRefill  time.Time // time of the last refill of the buckets
}

// peer holds the latest report of another daemon and an estimate of its usage since
// that report.
type peer struct {
	report      Report
	reportedAt  time.Time
	spendRates  map[string]float64 // moving average of quota spent per second, by customer
	demandRates map[string]float64 // moving average of quota requested per second, by customer
	estimated   map[string]float64 // estimated usage deducted from the buckets since the report, by customer
}

// bucket is the token bucket of one customer.
type bucket struct {
	level  float64 // available quota; negative after a request larger than the level
	burst  float64 // upper bound of level
	demand float64 // quota requested per second at the other daemons, from their reports
}

// NewLimiter returns a Limiter without limits.
func NewLimiter(cfg Config) *Limiter {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Limiter{
		cfg:     cfg,
		buckets: map[string]*bucket{},
		retries: map[string]float64{},
		own:     newReport(),
		peers:   map[string]*peer{},
	}
}

func newReport() Report {
	return Report{Spent: map[string]float64{}, Demand: map[string]float64{}, Requests: map[string]float64{}, Retries: map[string]float64{}}
}

// SetLimits replaces the limits. The keys are customer names. A customer without an
// entry is not limited.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.limits = map[string]Limit{}
	for customer, limit := range limits {
		limit.Rate *= 1 + l.cfg.Tolerance/4
		l.limits[customer] = limit
	}
}

// SetDaemonCount sets the number of daemons, including this one. While some of them
// are disconnected, this daemon refills its buckets at a reduced rate, since the
// disconnected daemons may spend the rest.
func (l *Limiter) SetDaemonCount(n int) { l.daemonCount = n }

// activePeers returns the other daemons whose last report is younger than
// peerTimeout.
func (l *Limiter) activePeers(now time.Time) []*peer {
	var active []*peer
	for _, p := range l.peers {
		if now.Sub(p.reportedAt) < peerTimeout {
			active = append(active, p)
		}
	}
	return active
}

// refillShare returns the fraction of each rate at which this daemon refills its
// buckets when it receives reports from the given number of other daemons.
func (l *Limiter) refillShare(peers int) float64 {
	fraction := min(1, float64(peers+1)/float64(max(1, l.daemonCount)))
	// Daemons that receive reports from different subsets of the fleet count some
	// daemons more than once. The square keeps the sum of their rates below the
	// limit, at the expense of customers that use their whole quota.
	return fraction * fraction
}

// Spend deducts cost from the bucket of a customer. If the level of the bucket is
// too low, Spend returns false and the time after which to retry. The level is too
// low if it is less than one unit, or less than a random fraction of the demand at
// the other daemons within the expected age of their reports. Without that
// fraction, all daemons would admit a customer far beyond its rate at the same time
// whenever the bucket isn't empty. A cost above the level is admitted, so that large
// requests have the same chance as small ones; the level becomes negative and has
// to be refilled first.
func (l *Limiter) Spend(now time.Time, customer string, cost float64) (wait time.Duration, ok bool) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(now, customer, limit)
	l.own.Demand[customer] += cost
	if need := max(1, l.cfg.Random()*b.demand*l.expectedReportAge().Seconds()); b.level < need {
		wait := (need - b.level) / (limit.Rate * l.refillShare(len(l.activePeers(now)))) // seconds
		return min(time.Duration(wait*float64(time.Second))+time.Millisecond, maxRetryAfter), false
	}
	b.level -= cost
	l.own.Spent[customer] += cost
	return 0, true
}

// expectedReportAge returns the expected age of the reports of the other daemons.
func (l *Limiter) expectedReportAge() time.Duration {
	return baseReportAge + time.Duration(l.daemonCount)*reportAgePerDaemon
}

// Refund returns to the bucket of a customer the cost of a request that did not
// run.
func (l *Limiter) Refund(now time.Time, customer string, cost float64) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return
	}
	l.bucket(now, customer, limit).level += cost
	l.own.Spent[customer] -= cost
}

// bucket returns the bucket of a customer, last refilled at most minRefillInterval
// ago. It creates a full bucket if there is none.
func (l *Limiter) bucket(now time.Time, customer string, limit Limit) *bucket {
	l.refill(now)
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{level: limit.Burst}
		l.buckets[customer] = b
	}
	b.burst = limit.Burst
	b.level = min(b.level, b.burst)
	return b
}

// refill adds to the buckets the quota for the time since the last refill, less the
// estimated usage by the other daemons in that time.
func (l *Limiter) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill)
	if elapsed < minRefillInterval {
		return
	}
	first := l.lastRefill.IsZero()
	l.lastRefill = now
	if first {
		return
	}
	active := l.activePeers(now)
	share := l.refillShare(len(active))
	for customer, b := range l.buckets {
		b.level += elapsed.Seconds() * l.limits[customer].Rate * share
		b.demand = 0
		for _, p := range active {
			b.level -= p.estimateSpent(customer, elapsed)
			b.demand += p.demandRates[customer]
		}
		b.level = min(b.level, b.burst)
	}
}

// estimateSpent returns the estimated usage by the other daemon in the elapsed
// time, at its average rate. The estimate applies until the daemon reports or
// reaches peerTimeout. Without it, daemons separated by a network partition would
// spend the same quota until peerTimeout.
func (p *peer) estimateSpent(customer string, elapsed time.Duration) float64 {
	rate := p.spendRates[customer]
	if rate == 0 {
		return 0
	}
	spent := rate * elapsed.Seconds()
	p.estimated[customer] += spent
	return spent
}

// CountRequest counts the first dispatch of a request to a service and adds to the
// retry budget of the service.
func (l *Limiter) CountRequest(service string) {
	l.own.Requests[service]++
	l.addRetries(service, retryRatio)
}

// TakeRetry reports whether the retry budget of the service allows another dispatch
// of a request, and if so deducts one retry.
func (l *Limiter) TakeRetry(service string) bool {
	l.addRetries(service, 0)
	if l.retries[service] < 1 {
		return false
	}
	l.retries[service]--
	l.own.Retries[service]++
	return true
}

// addRetries adds n retries to the budget of a service, up to retryBurst.
func (l *Limiter) addRetries(service string, n float64) {
	level, ok := l.retries[service]
	if !ok {
		level = initialRetries
	}
	l.retries[service] = min(retryBurst, level+n)
}

// Report returns a copy of the totals of this daemon.
func (l *Limiter) Report() Report {
	return Report{
		Spent: maps.Clone(l.own.Spent), Demand: maps.Clone(l.own.Demand),
		Requests: maps.Clone(l.own.Requests), Retries: maps.Clone(l.own.Retries),
	}
}

// PeerReported applies the latest totals of another daemon. Usage before the first
// report received from it is unknown and not counted.
func (l *Limiter) PeerReported(now time.Time, daemon string, r Report) {
	p := l.peers[daemon]
	if p == nil {
		l.peers[daemon] = &peer{report: r, reportedAt: now, spendRates: map[string]float64{}, demandRates: map[string]float64{}, estimated: map[string]float64{}}
		return
	}
	prev := p.report
	for customer, spent := range r.Spent {
		if limit := l.limits[customer]; limit.Rate > 0 {
			b := l.bucket(now, customer, limit)
			b.level -= spent - prev.Spent[customer] - p.estimated[customer]
			updateRate(p.spendRates, customer, spent-prev.Spent[customer], now.Sub(p.reportedAt))
		}
	}
	for customer, asked := range r.Demand {
		updateRate(p.demandRates, customer, asked-prev.Demand[customer], now.Sub(p.reportedAt))
	}
	p.report, p.reportedAt = r, now
	clear(p.estimated)
	for service, n := range r.Requests {
		l.addRetries(service, retryRatio*(n-prev.Requests[service]))
	}
	for service, n := range r.Retries {
		l.addRetries(service, 0)
		l.retries[service] = max(-retryBurst, l.retries[service]-(n-prev.Retries[service]))
	}
}

// updateRate updates the moving average rate of a customer with the increase of a
// total in the elapsed time between two reports.
func updateRate(rates map[string]float64, customer string, added float64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
	rates[customer] += weight * (max(0, added)/elapsed.Seconds() - rates[customer])
}

// PeerLost removes another daemon.
func (l *Limiter) PeerLost(daemon string) { delete(l.peers, daemon) }
