package brquota

import (
	"testing"
	"time"
)

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
