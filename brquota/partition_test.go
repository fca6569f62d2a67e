package brquota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestCutDaemonsAdmitAgain guards against a daemon that admits nothing of a customer
// after it was cut off from some others, as long as the customer demands more than its
// limit: 11 daemons, two of which can't exchange reports with three for 5 s, while the
// customer demands eight times its limit everywhere.
func TestCutDaemonsAdmitAgain(t *testing.T) {
	const (
		daemons = 11
		rate    = 66_000.0
		cost    = 2_500.0
		step    = 10 * time.Millisecond
	)
	isCut := func(i, j int) bool { return i < 2 && j < 4 && j != i || j < 2 && i < 4 && i != j }
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var all []*Limiter
	for range daemons {
		l := NewLimiter(Config{Tolerance: 0.1, Random: rng.Float64})
		l.SetLimits(map[string]Limit{"c": {Rate: rate, Burst: rate}})
		l.SetDaemonCount(daemons)
		all = append(all, l)
	}
	heardAt := [daemons][daemons]time.Duration{}
	admitted, sum := [daemons]float64{}, 0.0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		cut := 3*time.Second <= now && now < 8*time.Second
		at := start.Add(now)
		for n := 8 * rate * step.Seconds() / cost; n > 0; n-- {
			if rng.Float64() >= n {
				continue
			}
			i, c := rng.IntN(daemons), cost*rng.ExpFloat64()
			if _, ok := all[i].Spend(at, "c", c); ok && now >= 10*time.Second {
				admitted[i] += c
				sum += c
			}
		}
		for i, l := range all {
			for j := range all {
				switch {
				case i == j:
				case (int(now/step)+j)%10 == 0 && !(cut && isCut(i, j)):
					l.PeerReported(at, strconv.Itoa(j), all[j].Report())
					heardAt[i][j] = now
				case now-heardAt[i][j] == 2*time.Second: // as brfleet's records expire
					l.PeerLost(strconv.Itoa(j))
				}
			}
		}
	}
	if limit := rate * 11; sum > limit*1.1 || sum < limit*0.9 {
		t.Errorf("admitted %.0f in 10 s after the cut, want between 0.9 and 1.1 times %.0f", sum, limit)
	}
	for i, a := range admitted {
		if a < sum/daemons/3 {
			t.Errorf("daemon %d admitted %.0f in 10 s after the cut, want at least a third of the mean %.0f", i, a, sum/daemons)
		}
	}
}

// TestReturnedDaemonWithIdleCustomer guards against a daemon that is heard of again and
// whose totals of a customer since its start are deducted at once, because its first
// report left the customer out.
func TestReturnedDaemonWithIdleCustomer(t *testing.T) {
	at := time.Unix(1000, 0)
	limits := map[string]Limit{"c": {Rate: 100, Burst: 100}}
	a, b := NewLimiter(Config{}), NewLimiter(Config{})
	a.SetLimits(limits)
	b.SetLimits(limits)
	a.Spend(at, "c", 1)
	for range 100 {
		at = at.Add(100 * time.Millisecond)
		b.Spend(at, "c", 10)
	}
	at = at.Add(3 * time.Second)
	b.bucket(at, "c", b.limits["c"]) // c is idle
	a.PeerReported(at, "b", b.Report())
	at = at.Add(100 * time.Millisecond)
	b.Spend(at, "c", 10)
	a.PeerReported(at, "b", b.Report())
	if _, ok := a.Spend(at, "c", 1); !ok {
		t.Errorf("level of the bucket is %.0f after another daemon spent 10 in 3 s, want the customer admitted", a.buckets["c"].level)
	}
}
