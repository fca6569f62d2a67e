package brlease

import "time"

// driftDivisor determines the fraction of a lease duration, 1/100, by which a holder
// stops early to allow for different clock rates.
const driftDivisor = 100

// ValidUntil returns the time at which a holder must stop using a lease of duration
// d whose grant or renewal it requested at sent: sent + d less 1% of d.
func ValidUntil(sent time.Time, d time.Duration) time.Time {
	return sent.Add(d - d/driftDivisor)
}

// Holding is the state of a lease at its holder. Times carry the holder's monotonic
// clock reading.
type Holding struct {
	Name  string
	Epoch uint64
	Until time.Time
}

// NewHolding returns the holding of a lease that was requested at sent and granted
// as l.
func NewHolding(l Lease, sent time.Time) Holding {
	return Holding{Name: l.Name, Epoch: l.Epoch, Until: ValidUntil(sent, l.Duration)}
}

// WithRenewal returns h updated by a renewal that was requested at sent and granted
// as l. A renewal never shortens the holding, so replies may arrive in any order. If
// l is released or has another name or epoch, WithRenewal returns h unchanged.
func (h Holding) WithRenewal(l Lease, sent time.Time) Holding {
	if l.Name != h.Name || l.Epoch != h.Epoch || l.Released {
		return h
	}
	return h.Extended(ValidUntil(sent, l.Duration))
}

// Extended returns h with Until set to until, or h unchanged if until is not later.
func (h Holding) Extended(until time.Time) Holding {
	if until.After(h.Until) {
		h.Until = until
	}
	return h
}

// Valid reports whether the holder may use the lease at now.
func (h Holding) Valid(now time.Time) bool { return h.Epoch > 0 && now.Before(h.Until) }

// Timers tracks the lapse of leases at the leader. The zero value has no leases; a
// leader starts with NewTimers. Times carry the leader's monotonic clock reading.
// It is not safe for concurrent use.
type Timers struct{ byName map[string]timer }

type timer struct {
	term Term
	due  time.Time
}

// NewTimers returns the timers of a leader elected at now. The full duration of
// every held lease starts again, since the time at which the previous leader
// applied the last renewal is not replicated.
func NewTimers(now time.Time, leases []Lease) *Timers {
	t := &Timers{}
	for _, l := range leases {
		t.Update(now, l)
	}
	return t
}

// Update restarts the timer of a lease granted or renewed by a command applied at
// now. It removes the timer if the lease was released.
func (t *Timers) Update(now time.Time, l Lease) {
	if t.byName == nil {
		t.byName = map[string]timer{}
	}
	if !l.Held() {
		delete(t.byName, l.Name)
		return
	}
	t.byName[l.Name] = timer{term: l.Term(), due: now.Add(l.Duration)}
}

// Lapsed returns the current term of a lease and reports whether its duration has
// passed without a renewal. The leader sets the term as Acquire.Lapsed.
func (t *Timers) Lapsed(now time.Time, name string) (Term, bool) {
	e, ok := t.byName[name]
	if !ok || now.Before(e.due) {
		return Term{}, false
	}
	return e.term, true
}
