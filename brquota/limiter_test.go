package brquota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// exchangeReports passes the report of each limiter to all others.
func exchangeReports(now time.Time, all []*Limiter, names []string) {
	for i, l := range all {
		for j, o := range all {
			if i != j {
				l.PeerReported(now, names[j], o.Report())
			}
		}
	}
}

// TestQuotaOverDaemons guards against a customer that gets its limit once per
// daemon: ten daemons together have to admit the limit within 10%.
func TestQuotaOverDaemons(t *testing.T) {
	const (
		daemons  = 10
		rate     = 1000.0
		burst    = 1000.0
		cost     = 10.0
		step     = 50 * time.Millisecond // between two reports
		duration = 8 * time.Second
	)
	start := time.Unix(0, 0)
	var all []*Limiter
	var names []string
	for i := range daemons {
		l := NewLimiter(Config{})
		l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
		all, names = append(all, l), append(names, string(rune('a'+i)))
	}
	exchangeReports(start, all, names)
	admitted := 0.0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		for _, l := range all {
			for range 4 { // demand of eight times the limit over all daemons
				if _, ok := l.Spend(now, "c", cost); ok {
					admitted += cost
				}
			}
		}
		exchangeReports(now, all, names)
	}
	limit := rate*duration.Seconds() + burst
	if admitted > limit*1.1 || admitted < limit*0.9 {
		t.Errorf("admitted %.0f, want %.0f within 10%%", admitted, limit)
	}
}

// TestQuotaOverManyDaemons guards against two failures in a large fleet, where
// reports are old: all daemons admit a customer far beyond its rate at the same
// time, and a customer within its rate is refused.
func TestQuotaOverManyDaemons(t *testing.T) {
	const (
		daemons  = 86
		rate     = 330000.0
		burst    = 330000.0
		cost     = 3000.0
		step     = 25 * time.Millisecond
		age      = 16 // steps between two reports of a daemon, as under load
		duration = 8 * time.Second
	)
	for _, c := range []struct {
		demand      float64 // of the rate
		least, most float64 // of the limit or the demand, whichever is less
	}{{8, 0.9, 1.1}, {0.7, 0.97, 1}} {
		rng := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1000, 0)
		var all []*Limiter
		for range daemons {
			l := NewLimiter(Config{Tolerance: 0.1, Random: rng.Float64})
			l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
			l.SetDaemonCount(daemons)
			all = append(all, l)
		}
		demanded, admitted := 0.0, 0.0
		for round := 0; time.Duration(round)*step < duration; round++ {
			now := start.Add(time.Duration(round) * step)
			for i, l := range all {
				for rng.Float64() < c.demand*rate*step.Seconds()/cost/daemons/(1+c.demand*rate*step.Seconds()/cost/daemons) {
					demanded += cost
					if _, ok := l.Spend(now, "c", cost); ok {
						admitted += cost
					}
				}
				if (round+i)%age != 0 {
					continue
				}
				for j, o := range all {
					if i != j {
						o.PeerReported(now, strconv.Itoa(i), l.Report())
					}
				}
			}
		}
		limit := min(demanded, rate*duration.Seconds()+burst)
		if admitted > c.most*limit || admitted < c.least*limit {
			t.Errorf("demand of %.1f of the rate: admitted %.3f of %.0f, outside of the allowed range", c.demand, admitted/limit, limit)
		}
	}
}

// TestTolerance guards against refusing a customer within its limit, and against
// exceeding the limit by more than the tolerance.
func TestTolerance(t *testing.T) {
	const (
		rate, burst, tolerance = 1000.0, 1000.0, 0.1
		seconds                = 8
	)
	now := time.Unix(0, 0)
	l := NewLimiter(Config{Tolerance: tolerance})
	l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
	admitted := 0.0
	for range seconds * 100 {
		for range 8 {
			if _, ok := l.Spend(now, "c", 10); ok {
				admitted += 10
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if limit := rate*seconds + burst; admitted < limit || admitted > limit*(1+tolerance) {
		t.Errorf("admitted %.0f, want from %.0f to that plus the tolerance", admitted, limit)
	}
}

// TestQuotaDuringPartition guards against daemons that each spend the whole limit
// during a network partition: after the cutoff no daemon receives any report.
func TestQuotaDuringPartition(t *testing.T) {
	const (
		daemons        = 10
		rate, burst    = 1000.0, 1000.0
		tolerance      = 0.1
		slack          = 800.0 // the excess that the users allow
		step           = 50 * time.Millisecond
		window, cutoff = 8 * time.Second, 4 * time.Second
	)
	start := time.Unix(0, 0)
	var all []*Limiter
	var names []string
	for i := range daemons {
		l := NewLimiter(Config{Tolerance: tolerance})
		l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
		l.SetDaemonCount(daemons)
		all, names = append(all, l), append(names, string(rune('a'+i)))
	}
	exchangeReports(start, all, names)
	admitted := 0.0
	for at := time.Duration(0); at < window; at += step {
		now := start.Add(at)
		for _, l := range all {
			for range 4 { // demand of eight times the limit over all daemons
				if _, ok := l.Spend(now, "c", 10); ok {
					admitted += 10
				}
			}
		}
		if at < cutoff {
			exchangeReports(now, all, names)
		}
	}
	if limit := (rate*window.Seconds()+burst)*(1+tolerance) + slack; admitted > limit {
		t.Errorf("admitted %.0f, want at most %.0f", admitted, limit)
	}
}

// TestRefund guards against charging customers for requests that did not run, at
// this daemon and at the ones that receive its reports.
func TestRefund(t *testing.T) {
	now := time.Unix(0, 0)
	l, other := NewLimiter(Config{}), NewLimiter(Config{})
	limits := map[string]Limit{"c": {Rate: 1, Burst: 100}}
	l.SetLimits(limits)
	other.SetLimits(limits)
	other.PeerReported(now, "l", l.Report())
	for range 50 {
		if _, ok := l.Spend(now, "c", 100); !ok {
			t.Fatal("Spend refused after a refund of the whole bucket, want it admitted")
		}
		l.Refund(now, "c", 100)
	}
	other.PeerReported(now, "l", l.Report())
	if _, ok := other.Spend(now, "c", 100); !ok {
		t.Error("Spend refused at another daemon that received the refund, want it admitted")
	}
}

// TestSpendReturnsWait guards against a Retry-After that ends while the bucket is
// still empty.
func TestSpendReturnsWait(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLimiter(Config{})
	l.SetLimits(map[string]Limit{"c": {Rate: 100, Burst: 100}})
	l.Spend(now, "c", 300)
	wait, ok := l.Spend(now, "c", 1)
	if ok || wait < 2*time.Second || wait > 2100*time.Millisecond {
		t.Fatalf("wait %v, ok %v, want a wait from 2s to 2.1s and false", wait, ok)
	}
	if _, ok := l.Spend(now.Add(wait), "c", 1); !ok {
		t.Error("Spend refused after the returned wait, want it admitted")
	}
}

// TestBacklogDelaysReturn guards against callers of a customer far beyond its rate that
// are told to come back at once, all at the same time, and are refused again.
func TestBacklogDelaysReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	random := 0.0
	l := NewLimiter(Config{Random: func() float64 { return random }})
	l.SetLimits(map[string]Limit{"c": {Rate: 1000, Burst: 1000}})
	l.PeerReported(now, "p", Report{Customers: map[string]Totals{"c": {}}, Uptime: time.Minute})
	for i := range 4 { // five times the rate at another daemon
		now = now.Add(500 * time.Millisecond)
		l.PeerReported(now, "p", Report{Customers: map[string]Totals{"c": {Spent: int64(700 * (i + 1)), Demand: int64(2500 * (i + 1))}}, Uptime: time.Minute})
	}
	random = 0.999
	wait, ok := l.Spend(now, "c", 10)
	if ok || wait < 3*time.Second || wait > maxRetryAfter {
		t.Errorf("wait %v, ok %v, want from 3s to %v and false", wait, ok, maxRetryAfter)
	}
	random = 0.5
	if other, _ := l.Spend(now, "c", 10); other >= wait {
		t.Errorf("second wait %v, want less than %v", other, wait)
	}
}

// TestRetryBudget guards against more retries over all daemons than the budget
// that the users require: a fifth of the requests plus a fixed slack.
func TestRetryBudget(t *testing.T) {
	const daemons, requests, slack = 10, 2000, 60
	now := time.Unix(0, 0)
	var all []*Limiter
	var names []string
	for i := range daemons {
		all, names = append(all, NewLimiter(Config{})), append(names, string(rune('a'+i)))
	}
	exchangeReports(now, all, names)
	retries := 0
	for i := range requests {
		l := all[i%daemons]
		l.CountRequest("s")
		if l.TakeRetry("s") {
			retries++
		}
		if i%50 == 0 {
			exchangeReports(now, all, names)
		}
	}
	if limit := requests/5 + slack; retries > limit {
		t.Errorf("%d retries, want at most %d", retries, limit)
	}
	if retries < requests/20 {
		t.Errorf("%d retries for %d failed requests, want at least a twentieth", retries, requests)
	}
}

// BenchmarkPeerReported measures applying the reports of a fleet, with 16 customers
// each and one report per millisecond, as in a large fleet.
func BenchmarkPeerReported(b *testing.B) {
	for _, daemons := range []int{10, 66, 400} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			l := NewLimiter(Config{Tolerance: 0.1})
			limits := map[string]Limit{}
			report := Report{Customers: map[string]Totals{}}
			for c := range 16 {
				limits[strconv.Itoa(c)] = Limit{Rate: 1000, Burst: 1000}
				report.Customers[strconv.Itoa(c)] = Totals{Spent: 10, Demand: 10}
			}
			l.SetLimits(limits)
			now := time.Unix(1000, 0)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				l.PeerReported(now, strconv.Itoa(i%daemons), report)
			}
		})
	}
}
