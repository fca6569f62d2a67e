package brquota

import (
	"maps"
	"math"
	"time"
)

const (
	// basePeerTimeout is the age of the last report of a daemon at which the daemon
	// counts as disconnected, in a small fleet. Daemons report at least twice per second.
	// It limits the time for which daemons separated by a network partition spend the
	// same quota. In a large fleet reports are less frequent and take longer, so that it
	// grows by peerTimeoutPerDaemon for each daemon.
	basePeerTimeout      = 800 * time.Millisecond
	peerTimeoutPerDaemon = 4 * time.Millisecond

	// silenceCheckInterval is the minimum time between two checks for silent daemons,
	// whose cost is proportional to the number of daemons.
	silenceCheckInterval = 50 * time.Millisecond

	// maxFirstUptime is the uptime of a daemon up to which the totals in its first report
	// count. Those of a daemon that was disconnected are older than the buckets.
	maxFirstUptime = 2 * time.Second

	// lostRetention is the time for which the totals of a lost daemon are kept.
	lostRetention = time.Minute

	// rateWindow is the averaging time of the rates of another daemon.
	rateWindow = 500 * time.Millisecond
)

// peer holds the totals of another daemon, and its rates, which are assumed to continue
// until its next report.
type peer struct {
	customers   map[string]Totals  // latest totals of each customer
	requests    map[string]float64 // latest number of requests, by service
	retries     map[string]float64 // latest number of retries, by service
	reportedAt  time.Time
	active      bool               // its report is younger than the peer timeout
	estimatedTo time.Time          // time until which the buckets hold its estimated usage, if not active
	spendRates  map[string]float64 // moving average of quota spent per second, by customer
	demandRates map[string]float64 // moving average of quota requested per second, by customer
	joinedLate  bool               // its usage before the first report that names a customer isn't counted
	lost        bool               // PeerLost was called since its last report
}

// PeerReported applies the latest totals of another daemon. Usage before the first
// report received from it counts if the daemon has just started, and not earlier than
// this one.
func (l *Limiter) PeerReported(now time.Time, daemon string, r Report) {
	l.refill(now)
	p := l.peers[daemon]
	if p == nil || p.lost {
		if p != nil {
			l.addUnseen(p, r)
			l.lostPeers--
		}
		p = l.newPeer(now, r)
		l.peers[daemon] = p
	}
	l.deactivate(p)
	l.applyTotals(now, p, r)
	p.reportedAt = now
	l.activate(p)
	if l.withholding && l.activePeers+1 >= l.daemonCount {
		l.restore()
	}
	for service, n := range r.Requests {
		l.addRetries(service, retryRatio*(n-p.requests[service]))
		p.requests[service] = n
	}
	for service, n := range r.Retries {
		l.addRetries(service, 0)
		l.retries[service] = max(-retryBurst, l.retries[service]-(n-p.retries[service]))
		p.retries[service] = n
	}
}

// PeerLost tells that another daemon has stopped sending reports. Its totals are kept for
// lostRetention.
func (l *Limiter) PeerLost(daemon string) {
	p := l.peers[daemon]
	if p == nil || p.lost {
		return
	}
	l.deactivate(p)
	p.lost = true
	l.lostPeers++
}

// forgetLost removes the lost peers whose last report is older than lostRetention.
func (l *Limiter) forgetLost(now time.Time) {
	for daemon, p := range l.peers {
		if p.lost && now.Sub(p.reportedAt) >= lostRetention {
			delete(l.peers, daemon)
			l.lostPeers--
		}
	}
}

// addUnseen adds the quota that p spent while it was lost to the buckets. What it spent
// of a customer that r leaves out isn't known, so that nothing is restored then.
func (l *Limiter) addUnseen(p *peer, r Report) {
	for customer, b := range l.buckets {
		totals, ok := r.Customers[customer]
		if !ok {
			b.unseen = math.Inf(1)
			continue
		}
		estimated := p.spendRates[customer] * p.estimatedTo.Sub(p.reportedAt).Seconds()
		b.unseen += float64(totals.Spent-p.customers[customer].Spent) - estimated
	}
}

// restore adds the quota that was withheld from the buckets while daemons were
// disconnected, less what these spent, now that all daemons report. The reduced refill
// stands for the unknown usage of the disconnected daemons and is more than that. A
// daemon that others didn't lose would stay below their level: while a customer demands
// more than its rate the whole fleet spends as much as each copy is refilled, so that it
// would admit nothing. If a lost daemon hasn't returned, its usage isn't known and
// nothing is restored.
func (l *Limiter) restore() {
	l.withholding = false
	for _, b := range l.buckets {
		if l.lostPeers == 0 {
			b.level = min(b.level+max(0, b.withheld-b.unseen), b.burst)
		}
		b.withheld, b.unseen = 0, 0
	}
}

// newPeer returns the state of a daemon before its first report r.
func (l *Limiter) newPeer(now time.Time, r Report) *peer {
	p := &peer{
		customers: map[string]Totals{}, requests: map[string]float64{}, retries: map[string]float64{},
		reportedAt: now, estimatedTo: now, spendRates: map[string]float64{}, demandRates: map[string]float64{},
	}
	if r.Uptime < maxFirstUptime && r.Uptime <= now.Sub(l.startedAt) {
		p.reportedAt, p.estimatedTo = now.Add(-r.Uptime), now.Add(-r.Uptime)
		return p
	}
	p.joinedLate = true
	maps.Copy(p.customers, r.Customers)
	maps.Copy(p.requests, r.Requests)
	maps.Copy(p.retries, r.Retries)
	return p
}

// applyTotals deducts the usage of a peer since its last report from the buckets, less
// the estimate that they hold, and updates its rates. A customer without totals in r has
// none.
func (l *Limiter) applyTotals(now time.Time, p *peer, r Report) {
	elapsed := now.Sub(p.reportedAt)
	for customer, totals := range r.Customers {
		if _, ok := p.customers[customer]; ok {
			continue
		}
		if !p.joinedLate {
			totals = Totals{}
		}
		p.customers[customer] = totals
	}
	for customer, prev := range p.customers {
		limit := l.limits[customer]
		if limit.Rate <= 0 {
			continue
		}
		totals, ok := r.Customers[customer]
		if !ok && p.demandRates[customer] == 0 && p.spendRates[customer] == 0 {
			continue
		}
		if !ok {
			totals = prev
		}
		spent := float64(totals.Spent - prev.Spent)
		estimated := p.spendRates[customer] * p.estimatedTo.Sub(p.reportedAt).Seconds()
		l.bucket(now, customer, limit).level -= spent - estimated
		updateRate(p.spendRates, customer, spent, elapsed)
		updateRate(p.demandRates, customer, float64(totals.Demand-prev.Demand), elapsed)
		p.customers[customer] = totals
	}
}

// updateRate updates the moving average rate of a customer with the increase of a
// total in the elapsed time between two reports.
func updateRate(rates map[string]float64, customer string, added float64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := rates[customer]
	rate += averageWeight(elapsed) * (max(0, added)/elapsed.Seconds() - rate)
	if rate < minRate {
		rate = 0
	}
	rates[customer] = rate
}

// peerTimeout returns the age of the last report of a daemon at which the daemon counts
// as disconnected.
func (l *Limiter) peerTimeout() time.Duration {
	return basePeerTimeout + time.Duration(l.daemonCount)*peerTimeoutPerDaemon
}

// disconnectSilent ends the estimates of the peers whose last report is older than the
// peer timeout. It checks at most every silenceCheckInterval.
func (l *Limiter) disconnectSilent(now time.Time) {
	if now.Sub(l.lastCheck) < silenceCheckInterval {
		return
	}
	l.lastCheck = now
	l.forgetLost(now)
	timeout := l.peerTimeout()
	for _, p := range l.peers {
		if now.Sub(p.reportedAt) >= timeout {
			l.deactivate(p)
		}
	}
}

// deactivate removes the rates of a peer from the buckets, as of the last refill, if it
// is active.
func (l *Limiter) deactivate(p *peer) {
	if !p.active {
		return
	}
	p.active, p.estimatedTo = false, l.lastRefill
	l.activePeers--
	for customer := range p.demandRates {
		if b := l.buckets[customer]; b != nil {
			b.addRates(p, customer, -1)
		}
	}
}

// activate adds the rates of a peer to the buckets.
func (l *Limiter) activate(p *peer) {
	p.active = true
	l.activePeers++
	for customer := range p.demandRates {
		if b := l.buckets[customer]; b != nil {
			b.addRates(p, customer, 1)
		}
	}
}

// addRates adds the rates of a peer, times sign, to those of a customer's bucket.
func (b *bucket) addRates(p *peer, customer string, sign float64) {
	b.demandRate = max(0, b.demandRate+sign*p.demandRates[customer])
	b.spendRate = max(0, b.spendRate+sign*p.spendRates[customer])
}
