package brlease

import (
	"maps"
	"slices"
	"time"

	"bramleyroute/brerror"
)

// Limits of the duration of a lease and of the length of its names.
const (
	MinDuration  = 100 * time.Millisecond
	MaxDuration  = time.Hour
	MaxNameBytes = 256
)

// Lease is one row of the table. A row is kept after the lease is released, so
// that the epoch of a name never restarts.
type Lease struct {
	Name     string        `cbor:"name" json:"name"`
	Holder   string        `cbor:"holder" json:"holder"`
	Epoch    uint64        `cbor:"epoch" json:"epoch"`       // incremented by one with each grant
	Renewals uint64        `cbor:"renewals" json:"renewals"` // number since the grant
	Duration time.Duration `cbor:"duration" json:"duration"`
	Released bool          `cbor:"released" json:"released"`
}

// Term identifies the period of a lease between one grant or renewal and the next.
type Term struct {
	Epoch    uint64 `cbor:"epoch"`
	Renewals uint64 `cbor:"renewals"`
}

// Term returns the current term of l.
func (l Lease) Term() Term { return Term{l.Epoch, l.Renewals} }

// Held reports whether l was granted and has not been released. It is also true
// for a lapsed lease.
func (l Lease) Held() bool { return l.Epoch > 0 && !l.Released }

// Acquire requests a lease. The leader sets Lapsed to the term that has lapsed
// according to its Timers. If a renewal is committed between the leader's check of
// the timer and the acquisition, the terms differ and the acquisition is refused.
type Acquire struct {
	Name     string        `cbor:"name"`
	Holder   string        `cbor:"holder"`
	Duration time.Duration `cbor:"duration"`
	Lapsed   *Term         `cbor:"lapsed,omitempty"`
}

// Renew requests that the duration of a held lease start again.
type Renew struct {
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	Epoch  uint64 `cbor:"epoch"`
}

// Release requests that a held lease end immediately.
type Release struct {
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	Epoch  uint64 `cbor:"epoch"`
}

// Table is the lease table. The zero value is an empty table. It is not safe for
// concurrent use.
type Table struct{ leases map[string]Lease }

// NewTable returns a table with the given rows, as returned by List.
func NewTable(leases []Lease) *Table {
	t := &Table{}
	for _, l := range leases {
		t.put(l)
	}
	return t
}

// Acquire grants the lease if it was never granted, was released, or lapsed in
// the term a.Lapsed. Otherwise it returns the row and a not_owner error, even to
// the current holder, since the sender may be a new process with the same name. A
// holder whose reply was lost must resend the same command. The error is
// invalid_request if a name or the duration is out of range.
func (t *Table) Acquire(a Acquire) (Lease, error) {
	if a.Name == "" || a.Holder == "" || len(a.Name) > MaxNameBytes || len(a.Holder) > MaxNameBytes {
		return Lease{}, brerror.New(brerror.InvalidRequest, "lease and holder need names of at most %d bytes", MaxNameBytes)
	}
	if a.Duration < MinDuration || a.Duration > MaxDuration {
		return Lease{}, brerror.New(brerror.InvalidRequest, "duration %v is outside of %v to %v", a.Duration, MinDuration, MaxDuration)
	}
	l := t.leases[a.Name]
	if l.Held() && (a.Lapsed == nil || *a.Lapsed != l.Term()) {
		return l, brerror.New(brerror.NotOwner, "lease %s is held by %s in epoch %d", l.Name, l.Holder, l.Epoch)
	}
	l = Lease{Name: a.Name, Holder: a.Holder, Epoch: l.Epoch + 1, Duration: a.Duration}
	t.put(l)
	return l, nil
}

// Renew renews a lease. The error is not_owner if the lease is not held by r.Holder
// in r.Epoch.
func (t *Table) Renew(r Renew) (Lease, error) {
	l, err := t.heldBy(r.Name, r.Holder, r.Epoch)
	if err != nil {
		return l, err
	}
	l.Renewals++
	t.put(l)
	return l, nil
}

// Release ends a lease. The error is not_owner if the lease is not held by r.Holder
// in r.Epoch.
func (t *Table) Release(r Release) (Lease, error) {
	l, err := t.heldBy(r.Name, r.Holder, r.Epoch)
	if err != nil {
		return l, err
	}
	l.Released = true
	t.put(l)
	return l, nil
}

// Get returns the row of a lease and reports whether it exists.
func (t *Table) Get(name string) (Lease, bool) {
	l, ok := t.leases[name]
	return l, ok
}

// List returns all rows, sorted by name.
func (t *Table) List() []Lease {
	list := make([]Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		list = append(list, t.leases[name])
	}
	return list
}

func (t *Table) heldBy(name, holder string, epoch uint64) (Lease, error) {
	l := t.leases[name]
	if !l.Held() || l.Holder != holder || l.Epoch != epoch {
		return l, brerror.New(brerror.NotOwner, "lease %s is not held by %s in epoch %d", name, holder, epoch)
	}
	return l, nil
}

func (t *Table) put(l Lease) {
	if t.leases == nil {
		t.leases = map[string]Lease{}
	}
	t.leases[l.Name] = l
}
