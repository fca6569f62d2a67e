package brquota

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// reportAge is the age of its last report from which on a daemon counts as not
	// heard from. Reports come twice a second at least. It bounds how long daemons
	// that were cut off from each other spend the same quota.
	reportAge = 800 * time.Millisecond

	// refillPause is the least time between two refills of the buckets, which cost
	// customers times daemons.
	refillPause = 10 * time.Millisecond

	// reportLag is the age of what is known of other daemons in a small fleet, and
	// lagSpread what each daemon adds, since reports are rarer in a large one.
	reportLag = 100 * time.Millisecond
	lagSpread = 6 * time.Millisecond
	// maxWait bounds what a refused customer is told to wait.
	maxWait = 5 * time.Second

	// rateTime is the time over which the rate of another daemon is averaged.
	rateTime = 500 * time.Millisecond

	// retryGain is the retries that each request allows. It is below the ratio of
	// the users' budget, which also counts what daemons admit at the same moment.
	retryGain = 0.1
	// retryBurst is the most retries that can be saved up.
	retryBurst = 20
	// startRetries are the retries of a daemon that starts: the others may have
	// spent the rest just before.
	startRetries = 5
)

// Limit is the quota of one customer, in its own unit.
type Limit struct {
	Rate  float64 // per second; 0 means no limit
	Burst float64
}

// Report is one daemon's running totals since its start.
type Report struct {
	Spent    map[string]float64 `cbor:"spent,omitempty"`    // by customer
	Asked    map[string]float64 `cbor:"asked,omitempty"`    // by customer, refused requests included
	Requests map[string]float64 `cbor:"requests,omitempty"` // by service
	Retries  map[string]float64 `cbor:"retries,omitempty"`  // by service
}

// Config is what a Ledger starts with.
type Config struct {
	// Tolerance is by how much a customer may exceed its rate. A quarter of it is
	// granted, since the copies of the buckets differ and a request that is
	// refused within the limit is a request lost; the rest covers what daemons
	// admit at the same moment, or while they are cut off from each other.
	Tolerance float64
	Random    func() float64 // uniform in [0, 1); nil means a generator of the standard library
}

// Ledger is one daemon's copy of all buckets. It isn't safe for concurrent use.
type Ledger struct {
	cfg     Config
	limits  map[string]Limit
	buckets map[string]*bucket // by customer
	retries map[string]float64 // retries left, by service
	own     Report
	peers   map[string]*peer
	daemons int       // that there are, this one included
	filled  time.Time // when the buckets were last refilled
}

// peer is the newest report of another daemon, and what it is taken to have spent
// since.
type peer struct {
	report  Report
	at      time.Time
	rates   map[string]float64 // moving average of what it spends in a second, by customer
	asked   map[string]float64 // the same of what it is asked for
	assumed map[string]float64 // taken off the buckets since the report, by customer
}

type bucket struct {
	level  float64
	burst  float64
	demand float64 // asked for in a second, over all daemons; from reports
}

// NewLedger returns a Ledger without limits.
func NewLedger(cfg Config) *Ledger {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Ledger{
		cfg:     cfg,
		buckets: map[string]*bucket{},
		retries: map[string]float64{},
		own:     newReport(),
		peers:   map[string]*peer{},
	}
}

func newReport() Report {
	return Report{Spent: map[string]float64{}, Asked: map[string]float64{}, Requests: map[string]float64{}, Retries: map[string]float64{}}
}

// SetLimits replaces the limits, by customer.
func (l *Ledger) SetLimits(limits map[string]Limit) {
	l.limits = map[string]Limit{}
	for customer, limit := range limits {
		limit.Rate *= 1 + l.cfg.Tolerance/4
		l.limits[customer] = limit
	}
}

// SetDaemons tells how many daemons there are, this one included. While some of
// them aren't heard from, this daemon spends only the part of each rate that
// corresponds to the others, since they may spend theirs.
func (l *Ledger) SetDaemons(n int) { l.daemons = n }

// heard returns the other daemons that have reported of late.
func (l *Ledger) heard(now time.Time) []*peer {
	var heard []*peer
	for _, p := range l.peers {
		if now.Sub(p.at) < reportAge {
			heard = append(heard, p)
		}
	}
	return heard
}

// share returns the part of each rate that this daemon adds to its buckets while it
// hears from some of the other daemons.
func (l *Ledger) share(heard int) float64 {
	part := min(1, float64(heard+1)/float64(max(1, l.daemons)))
	// Daemons that hear from different parts of the others overlap; the square
	// keeps their sum below the limit at some cost to customers at their limit.
	return part * part
}

// Spend takes cost from a customer's bucket. It reports false, and the time after
// which there is room again, when the bucket holds too little: less than one unit,
// or less than a random part of what all daemons are asked for until they hear of
// each other. Without that part all of them let in a customer far beyond its rate
// at once, whenever the bucket holds something. A request that costs more than what
// is left is admitted, so that large requests have the same chance as small ones;
// the bucket makes up for it afterwards.
func (l *Ledger) Spend(now time.Time, customer string, cost float64) (wait time.Duration, ok bool) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(now, customer, limit)
	l.own.Asked[customer] += cost
	if need := max(1, l.cfg.Random()*b.demand*l.lag().Seconds()); b.level < need {
		wait := (need - b.level) / (limit.Rate * l.share(len(l.heard(now)))) // seconds
		return min(time.Duration(wait*float64(time.Second))+time.Millisecond, maxWait), false
	}
	b.level -= cost
	l.own.Spent[customer] += cost
	return 0, true
}

// lag returns how old the reports of the other daemons are taken to be.
func (l *Ledger) lag() time.Duration { return reportLag + time.Duration(l.daemons)*lagSpread }

// Refund gives back what a request took that was not run.
func (l *Ledger) Refund(now time.Time, customer string, cost float64) {
	limit := l.limits[customer]
	if limit.Rate <= 0 {
		return
	}
	l.bucket(now, customer, limit).level += cost
	l.own.Spent[customer] -= cost
}

// bucket returns a customer's bucket, refilled up to a short time ago.
func (l *Ledger) bucket(now time.Time, customer string, limit Limit) *bucket {
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

// refill adds to the buckets what the time since the last refill allows, less what
// the other daemons are taken to have spent in it.
func (l *Ledger) refill(now time.Time) {
	passed := now.Sub(l.filled)
	if passed < refillPause {
		return
	}
	first := l.filled.IsZero()
	l.filled = now
	if first {
		return
	}
	heard := l.heard(now)
	share := l.share(len(heard))
	for customer, b := range l.buckets {
		b.level += passed.Seconds() * l.limits[customer].Rate * share
		b.demand = 0
		for _, p := range heard {
			b.level -= p.assume(customer, passed)
			b.demand += p.asked[customer]
		}
		b.level = min(b.level, b.burst)
	}
}

// assume returns what the daemon is taken to have spent in a time: as much as
// before, until it reports or counts as not heard from. Without it, daemons that
// lose contact would spend the same quota at first.
func (p *peer) assume(customer string, passed time.Duration) float64 {
	rate := p.rates[customer]
	if rate == 0 {
		return 0
	}
	spent := rate * passed.Seconds()
	p.assumed[customer] += spent
	return spent
}

// CountRequest counts the first dispatch of a request to a service.
func (l *Ledger) CountRequest(service string) {
	l.own.Requests[service]++
	l.gain(service, retryGain)
}

// TakeRetry reports whether the service's budget allows another dispatch of a
// request, and counts it if so.
func (l *Ledger) TakeRetry(service string) bool {
	l.gain(service, 0)
	if l.retries[service] < 1 {
		return false
	}
	l.retries[service]--
	l.own.Retries[service]++
	return true
}

func (l *Ledger) gain(service string, n float64) {
	level, ok := l.retries[service]
	if !ok {
		level = startRetries
	}
	l.retries[service] = min(retryBurst, level+n)
}

// Report returns a copy of this daemon's totals.
func (l *Ledger) Report() Report {
	return Report{
		Spent: maps.Clone(l.own.Spent), Asked: maps.Clone(l.own.Asked),
		Requests: maps.Clone(l.own.Requests), Retries: maps.Clone(l.own.Retries),
	}
}

// PeerReported takes the newest totals of another daemon. What it took before
// its first report here isn't known and isn't counted.
func (l *Ledger) PeerReported(now time.Time, daemon string, r Report) {
	p := l.peers[daemon]
	if p == nil {
		l.peers[daemon] = &peer{report: r, at: now, rates: map[string]float64{}, asked: map[string]float64{}, assumed: map[string]float64{}}
		return
	}
	old := p.report
	for customer, spent := range r.Spent {
		if limit := l.limits[customer]; limit.Rate > 0 {
			b := l.bucket(now, customer, limit)
			b.level -= spent - old.Spent[customer] - p.assumed[customer]
			learn(p.rates, customer, spent-old.Spent[customer], now.Sub(p.at))
		}
	}
	for customer, asked := range r.Asked {
		learn(p.asked, customer, asked-old.Asked[customer], now.Sub(p.at))
	}
	p.report, p.at = r, now
	clear(p.assumed)
	for service, n := range r.Requests {
		l.gain(service, retryGain*(n-old.Requests[service]))
	}
	for service, n := range r.Retries {
		l.gain(service, 0)
		l.retries[service] = max(-retryBurst, l.retries[service]-(n-old.Retries[service]))
	}
}

// learn takes what was added to a total between two reports into its rate.
func learn(rates map[string]float64, customer string, added float64, passed time.Duration) {
	if passed <= 0 {
		return
	}
	weight := min(1, passed.Seconds()/rateTime.Seconds())
	rates[customer] += weight * (max(0, added)/passed.Seconds() - rates[customer])
}

// PeerLost forgets a daemon.
func (l *Ledger) PeerLost(daemon string) { delete(l.peers, daemon) }
