package brquota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// fleetLoad is the load of one customer on a large fleet whose reports are late.
type fleetLoad struct {
	daemons  int
	rate     float64       // of the customer, units per second; its burst is one second of it
	cost     float64       // mean of a request, in units; exponentially distributed
	demand   float64       // as a multiple of rate
	interval time.Duration // between two reports of a daemon
	delay    time.Duration // largest delay of a report; each one has a random part of it
}

// run replays the load for duration and returns the fraction of the demanded units that
// was admitted, and the admitted units as a fraction of the limit of the customer over
// that time.
func (f fleetLoad) run(duration time.Duration) (ofDemand, ofLimit float64) {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var all []*Limiter
	for range f.daemons {
		l := NewLimiter(Config{Tolerance: 0.1, Random: rng.Float64})
		l.SetLimits(map[string]Limit{"c": {Rate: f.rate, Burst: f.rate}})
		l.SetDaemonCount(f.daemons)
		all = append(all, l)
	}
	type delivery struct {
		daemon int
		report Report
	}
	deliveries := map[int][]delivery{} // by step
	demanded, admitted := 0.0, 0.0
	for round := 0; time.Duration(round)*step < duration; round++ {
		now := start.Add(time.Duration(round) * step)
		for n := f.demand * f.rate * step.Seconds() / f.cost; n > 0; n-- {
			if rng.Float64() >= n {
				continue
			}
			cost := f.cost * rng.ExpFloat64()
			demanded += cost
			if _, ok := all[rng.IntN(f.daemons)].Spend(now, "c", cost); ok {
				admitted += cost
			}
		}
		for i, l := range all {
			if (round+i)%int(f.interval/step) == 0 {
				due := round + int(rng.Float64()*float64(f.delay/step))
				deliveries[due] = append(deliveries[due], delivery{i, l.Report()})
			}
		}
		for _, d := range deliveries[round] {
			for j, o := range all {
				if j != d.daemon {
					o.PeerReported(now, strconv.Itoa(d.daemon), d.report)
				}
			}
		}
		delete(deliveries, round)
	}
	return admitted / demanded, admitted / (f.rate*duration.Seconds() + f.rate)
}

// TestQuotaWithLateReports guards against refusing a customer within its rate because
// the reports of a large fleet are late: 150 daemons with little processor time, reports
// every 400 ms that take up to 800 ms more. A customer beyond its rate must get it, and
// not more.
func TestQuotaWithLateReports(t *testing.T) {
	for _, test := range []struct {
		name                   string
		demand                 float64
		leastDemand, mostLimit float64 // bounds of the results of run
		leastLimit             float64
	}{
		{"half of its rate", 0.55, 0.99, 1, 0},
		{"nearly its rate", 0.9, 0.97, 1, 0},
		{"a little beyond", 1.25, 0, 1.1, 0.9},
		{"far beyond", 8, 0, 1.1, 0.9},
	} {
		load := fleetLoad{daemons: 150, rate: 150_000, cost: 2_500, demand: test.demand, interval: 400 * time.Millisecond, delay: 800 * time.Millisecond}
		ofDemand, ofLimit := load.run(10 * time.Second)
		t.Logf("%s: admitted %.3f of the demand, %.3f of the limit", test.name, ofDemand, ofLimit)
		if ofDemand < test.leastDemand || ofLimit > test.mostLimit || ofLimit < test.leastLimit {
			t.Errorf("%s: admitted %.3f of the demand and %.3f of the limit, want at least %.2f, and between %.2f and %.2f",
				test.name, ofDemand, ofLimit, test.leastDemand, test.leastLimit, test.mostLimit)
		}
	}
}
