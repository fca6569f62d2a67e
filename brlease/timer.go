package brlease

import "time"

// driftDivisor is the part of a duration that a holder gives up for clocks that
// run apart: 1/100.
const driftDivisor = 100

// ValidUntil returns the time at which a holder stops acting on a lease whose
// granted or renewed term it asked for at sent: sent + d less 1% of d.
func ValidUntil(sent time.Time, d time.Duration) time.Time {
	return sent.Add(d - d/driftDivisor)
}

// Holding is what the holder knows about its lease. Times carry the holder's
// monotonic clock.
type Holding struct {
	Name  string
	Epoch uint64
	Until time.Time
}

// Hold returns the holding of a lease that was granted to a command sent at sent.
func Hold(l Lease, sent time.Time) Holding {
	return Holding{Name: l.Name, Epoch: l.Epoch, Until: ValidUntil(sent, l.Duration)}
}

// With returns h after a renewal that was sent at sent and granted as l. The
// holding never gets shorter, so answers may arrive in any order. A lease of
// another name or epoch changes nothing.
func (h Holding) With(l Lease, sent time.Time) Holding {
	if l.Name != h.Name || l.Epoch != h.Epoch || l.Released {
		return h
	}
	return h.Extended(ValidUntil(sent, l.Duration))
}

// Extended returns h valid until the given time, or h when that is earlier.
func (h Holding) Extended(until time.Time) Holding {
	if until.After(h.Until) {
		h.Until = until
	}
	return h
}

// Valid reports whether the holder may act at now.
func (h Holding) Valid(now time.Time) bool { return h.Epoch > 0 && now.Before(h.Until) }

// Timers are the leader's view of which leases lapsed. Its zero value knows no
// lease; a leader starts with NewTimers. Times carry the leader's monotonic
// clock. It is not safe for concurrent use.
type Timers struct{ timers map[string]timer }

type timer struct {
	term Term
	due  time.Time
}

// NewTimers returns the timers of a leader that was elected at now. Every held
// lease starts its full duration again, since the new leader doesn't know when
// the former one applied the last renewal.
func NewTimers(now time.Time, leases []Lease) *Timers {
	t := &Timers{}
	for _, l := range leases {
		t.Applied(now, l)
	}
	return t
}

// Applied starts the timer of a lease that was granted, renewed or released by
// a command applied at now.
func (t *Timers) Applied(now time.Time, l Lease) {
	if t.timers == nil {
		t.timers = map[string]timer{}
	}
	if !l.Held() {
		delete(t.timers, l.Name)
		return
	}
	t.timers[l.Name] = timer{term: l.Term(), due: now.Add(l.Duration)}
}

// Lapsed returns the term of a lease whose duration passed without a renewal.
// The leader puts it into the next acquisition.
func (t *Timers) Lapsed(now time.Time, name string) (Term, bool) {
	e, ok := t.timers[name]
	if !ok || now.Before(e.due) {
		return Term{}, false
	}
	return e.term, true
}
