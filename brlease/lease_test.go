package brlease

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brerror"
	"pgregory.net/rapid"
)

// Guards against two simultaneous holders: a lapsed lease must be granted only
// after its holder has stopped, with clock rates that differ by just under 1%,
// delayed renewals and leader changes.
func TestNoTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		elapsed := time.Duration(0)
		slow := rapid.IntRange(0, 9).Draw(t, "holder's clock slower, per mille")
		holderNow := func(at time.Duration) time.Time { return start.Add(at - at*time.Duration(slow)/1000) }
		table, timers, holding := NewTable(nil), NewTimers(start, nil), Holding{}
		l, _ := table.Acquire(Acquire{Name: "p", Holder: "a", Duration: 3 * time.Second})
		timers.Update(start, l)
		holding = NewHolding(l, holderNow(0))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0: // a delayed renewal
				sent := holderNow(elapsed)
				elapsed += time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay")) * time.Millisecond
				if l, err := table.Renew(Renew{"p", "a", 1}); err == nil {
					timers.Update(start.Add(elapsed), l)
					holding = holding.WithRenewal(l, sent)
				}
			case 1:
				timers = NewTimers(start.Add(elapsed), table.List())
			case 2:
				term, lapsed := timers.Lapsed(start.Add(elapsed), "p")
				if !lapsed {
					continue
				}
				if _, err := table.Acquire(Acquire{Name: "p", Holder: "b", Duration: time.Second, Lapsed: &term}); err != nil {
					t.Fatal(err)
				}
				if holding.Valid(holderNow(elapsed)) {
					t.Fatalf("at %v the lease of a is still valid after b acquired it", elapsed)
				}
				return
			}
		}
	})
}

// Guards against granting an epoch twice and against renewals or releases by a
// former holder.
func TestTable(t *testing.T) {
	table := &Table{}
	steps := []struct {
		name  string
		do    func() (Lease, error)
		epoch uint64
		kind  brerror.Kind // Internal represents success
	}{
		{"first", func() (Lease, error) { return table.Acquire(Acquire{"p", "a", time.Second, nil}) }, 1, brerror.Internal},
		{"held", func() (Lease, error) { return table.Acquire(Acquire{"p", "b", time.Second, nil}) }, 1, brerror.NotOwner},
		{"held by itself", func() (Lease, error) { return table.Acquire(Acquire{"p", "a", time.Second, nil}) }, 1, brerror.NotOwner},
		{"renew", func() (Lease, error) { return table.Renew(Renew{"p", "a", 1}) }, 1, brerror.Internal},
		{"renewed after the timer", func() (Lease, error) { return table.Acquire(Acquire{"p", "b", time.Second, &Term{1, 0}}) }, 1, brerror.NotOwner},
		{"other renews", func() (Lease, error) { return table.Renew(Renew{"p", "b", 1}) }, 1, brerror.NotOwner},
		{"release", func() (Lease, error) { return table.Release(Release{"p", "a", 1}) }, 1, brerror.Internal},
		{"renew released", func() (Lease, error) { return table.Renew(Renew{"p", "a", 1}) }, 1, brerror.NotOwner},
		{"after release", func() (Lease, error) { return table.Acquire(Acquire{"p", "b", time.Second, nil}) }, 2, brerror.Internal},
		{"lapsed", func() (Lease, error) { return table.Acquire(Acquire{"p", "a", time.Second, &Term{2, 0}}) }, 3, brerror.Internal},
		{"old epoch", func() (Lease, error) { return table.Release(Release{"p", "a", 1}) }, 3, brerror.NotOwner},
		{"short", func() (Lease, error) { return table.Acquire(Acquire{"p", "a", 0, nil}) }, 0, brerror.InvalidRequest},
	}
	for _, s := range steps {
		l, err := s.do()
		if e := brerror.From(err); l.Epoch != s.epoch || (e == nil) != (s.kind == brerror.Internal) || e != nil && e.Kind != s.kind {
			t.Errorf("%s: unexpected result: epoch %d, error %v", s.name, l.Epoch, err)
		}
	}
}

func Example() {
	var table Table
	sent := time.Unix(100, 0)
	l, _ := table.Acquire(Acquire{Name: "pool/large@gauteng", Holder: "vm-3", Duration: 3 * time.Second})
	h := NewHolding(l, sent)
	fmt.Println(h.Epoch, h.Until.Sub(sent), h.Valid(sent.Add(3*time.Second)))
	// Output: 1 2.97s false
}
