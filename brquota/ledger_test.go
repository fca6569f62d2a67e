package brquota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// exchange hands each ledger the reports of the others.
func exchange(now time.Time, all []*Ledger, names []string) {
	for i, l := range all {
		for j, o := range all {
			if i != j {
				l.PeerReported(now, names[j], o.Report())
			}
		}
	}
}

// TestQuotaOverDaemons guards against a customer that gets its limit once for each
// daemon: ten daemons together admit what the limit allows, and not much less.
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
	var all []*Ledger
	var names []string
	for i := range daemons {
		l := NewLedger(Config{})
		l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
		all, names = append(all, l), append(names, string(rune('a'+i)))
	}
	exchange(start, all, names)
	admitted := 0.0
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		for _, l := range all {
			for range 4 { // eight times the limit, over all daemons
				if _, ok := l.Spend(now, "c", cost); ok {
					admitted += cost
				}
			}
		}
		exchange(now, all, names)
	}
	limit := rate*duration.Seconds() + burst
	if admitted > limit*1.1 || admitted < limit*0.9 {
		t.Errorf("admitted %.0f, limit %.0f", admitted, limit)
	}
}

// TestQuotaOverManyDaemons guards against a customer far beyond its rate that is
// let in by all daemons of a large fleet at once, since their reports are old, and
// against one within its rate that is refused.
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
		least, most float64 // of what the limit allows or, if that is less, of what is asked for
	}{{8, 0.9, 1.1}, {0.7, 0.97, 1}} {
		rng := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1000, 0)
		var all []*Ledger
		for range daemons {
			l := NewLedger(Config{Tolerance: 0.1, Random: rng.Float64})
			l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
			l.SetDaemons(daemons)
			all = append(all, l)
		}
		asked, admitted := 0.0, 0.0
		for round := 0; time.Duration(round)*step < duration; round++ {
			now := start.Add(time.Duration(round) * step)
			for i, l := range all {
				for rng.Float64() < c.demand*rate*step.Seconds()/cost/daemons/(1+c.demand*rate*step.Seconds()/cost/daemons) {
					asked += cost
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
		bound := min(asked, rate*duration.Seconds()+burst)
		if admitted > c.most*bound || admitted < c.least*bound {
			t.Errorf("demand of %.1f of the rate: admitted %.3f of %.0f", c.demand, admitted/bound, bound)
		}
	}
}

// TestTolerance guards against a customer that is refused within its limit, and
// against more than the tolerance that the users state.
func TestTolerance(t *testing.T) {
	const (
		rate, burst, tolerance = 1000.0, 1000.0, 0.1
		seconds                = 8
	)
	now := time.Unix(0, 0)
	l := NewLedger(Config{Tolerance: tolerance})
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
		t.Errorf("admitted %.0f, limit %.0f", admitted, limit)
	}
}

// TestQuotaWhileCutOff guards against daemons that don't hear from each other and
// each spend the whole limit: from one moment on nobody's reports arrive.
func TestQuotaWhileCutOff(t *testing.T) {
	const (
		daemons        = 10
		rate, burst    = 1000.0, 1000.0
		tolerance      = 0.1
		slack          = 800.0 // as large a part of the rate as the users state
		step           = 50 * time.Millisecond
		window, cutoff = 8 * time.Second, 4 * time.Second
	)
	start := time.Unix(0, 0)
	var all []*Ledger
	var names []string
	for i := range daemons {
		l := NewLedger(Config{Tolerance: tolerance})
		l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: burst}})
		l.SetDaemons(daemons)
		all, names = append(all, l), append(names, string(rune('a'+i)))
	}
	exchange(start, all, names)
	admitted := 0.0
	for at := time.Duration(0); at < window; at += step {
		now := start.Add(at)
		for _, l := range all {
			for range 4 { // eight times the limit, over all daemons
				if _, ok := l.Spend(now, "c", 10); ok {
					admitted += 10
				}
			}
		}
		if at < cutoff {
			exchange(now, all, names)
		}
	}
	if limit := (rate*window.Seconds()+burst)*(1+tolerance) + slack; admitted > limit {
		t.Errorf("admitted %.0f, limit %.0f", admitted, limit)
	}
}

// TestRefund guards against requests that did not run and use up the quota.
func TestRefund(t *testing.T) {
	now := time.Unix(0, 0)
	l, other := NewLedger(Config{}), NewLedger(Config{})
	limits := map[string]Limit{"c": {Rate: 1, Burst: 100}}
	l.SetLimits(limits)
	other.SetLimits(limits)
	other.PeerReported(now, "l", l.Report())
	for range 50 {
		if _, ok := l.Spend(now, "c", 100); !ok {
			t.Fatal("refunded quota was not there")
		}
		l.Refund(now, "c", 100)
	}
	other.PeerReported(now, "l", l.Report())
	if _, ok := other.Spend(now, "c", 100); !ok {
		t.Error("another daemon counts what was refunded")
	}
}

// TestSpendTellsWhenToComeBack guards against a Retry-After at which the bucket is
// still empty.
func TestSpendTellsWhenToComeBack(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLedger(Config{})
	l.SetLimits(map[string]Limit{"c": {Rate: 100, Burst: 100}})
	l.Spend(now, "c", 300)
	wait, ok := l.Spend(now, "c", 1)
	if ok || wait < 2*time.Second || wait > 2100*time.Millisecond {
		t.Fatalf("wait %v, ok %v", wait, ok)
	}
	if _, ok := l.Spend(now.Add(wait), "c", 1); !ok {
		t.Error("refused at the time that was told")
	}
}

// TestRetryBudget guards against retries beyond the users' budget of a fifth of
// the requests and a fixed slack, over all daemons.
func TestRetryBudget(t *testing.T) {
	const daemons, requests, slack = 10, 2000, 60
	now := time.Unix(0, 0)
	var all []*Ledger
	var names []string
	for i := range daemons {
		all, names = append(all, NewLedger(Config{})), append(names, string(rune('a'+i)))
	}
	exchange(now, all, names)
	retries := 0
	for i := range requests {
		l := all[i%daemons]
		l.CountRequest("s")
		if l.TakeRetry("s") {
			retries++
		}
		if i%50 == 0 {
			exchange(now, all, names)
		}
	}
	if limit := requests/5 + slack; retries > limit {
		t.Errorf("%d retries, limit %d", retries, limit)
	}
	if retries < requests/20 {
		t.Errorf("%d retries for %d failed requests", retries, requests)
	}
}

// BenchmarkPeerReported takes the reports of a fleet of daemons, 16 customers
// each, as often as a large fleet sends them.
func BenchmarkPeerReported(b *testing.B) {
	for _, daemons := range []int{10, 66, 400} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			l := NewLedger(Config{Tolerance: 0.1})
			limits := map[string]Limit{}
			report := newReport()
			for c := range 16 {
				limits[strconv.Itoa(c)] = Limit{Rate: 1000, Burst: 1000}
				report.Spent[strconv.Itoa(c)] = 10
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
