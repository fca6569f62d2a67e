package brlease

import (
	"maps"
	"slices"
	"time"

	"bramleyroute/brerror"
)

// Bounds of a lease's duration and of its names.
const (
	MinDuration  = 100 * time.Millisecond
	MaxDuration  = time.Hour
	MaxNameBytes = 256
)

// Lease is one row of the table. A row is kept after its release, so that the
// epoch of a name never starts again.
type Lease struct {
	Name     string        `cbor:"name" json:"name"`
	Holder   string        `cbor:"holder" json:"holder"`
	Epoch    uint64        `cbor:"epoch" json:"epoch"`       // grows by one with each grant
	Renewals uint64        `cbor:"renewals" json:"renewals"` // since the grant
	Duration time.Duration `cbor:"duration" json:"duration"`
	Released bool          `cbor:"released" json:"released"`
}

// Term names one period of a lease: from a grant or renewal to the next.
type Term struct {
	Epoch    uint64 `cbor:"epoch"`
	Renewals uint64 `cbor:"renewals"`
}

// Term returns the present term of l.
func (l Lease) Term() Term { return Term{l.Epoch, l.Renewals} }

// Held reports whether somebody may hold l.
func (l Lease) Held() bool { return l.Epoch > 0 && !l.Released }

// Acquire asks for a lease. Lapsed is set by the leader from its Timers: it
// names the term that the leader saw lapse. A renewal that is committed between
// the leader's look at its timer and the acquisition makes the terms differ, so
// the acquisition is refused.
type Acquire struct {
	Name     string        `cbor:"name"`
	Holder   string        `cbor:"holder"`
	Duration time.Duration `cbor:"duration"`
	Lapsed   *Term         `cbor:"lapsed,omitempty"`
}

// Renew starts the duration of a held lease again.
type Renew struct {
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	Epoch  uint64 `cbor:"epoch"`
}

// Release gives a held lease up at once.
type Release struct {
	Name   string `cbor:"name"`
	Holder string `cbor:"holder"`
	Epoch  uint64 `cbor:"epoch"`
}

// Table holds the leases. Its zero value is empty. It is not safe for
// concurrent use.
type Table struct{ leases map[string]Lease }

// NewTable returns a table with the given rows, as List returned them.
func NewTable(leases []Lease) *Table {
	t := &Table{}
	for _, l := range leases {
		t.put(l)
	}
	return t
}

// Acquire grants the lease if it was never granted, was released, or lapsed in
// the term that a names. The refusal is not_owner. A holder whose answer got
// lost resends its command; a second command for a held lease is refused, since
// its sender may be a new process with the old name.
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

// Renew renews the lease for its holder in its epoch and refuses with not_owner
// otherwise.
func (t *Table) Renew(r Renew) (Lease, error) {
	l, err := t.owned(r.Name, r.Holder, r.Epoch)
	if err != nil {
		return l, err
	}
	l.Renewals++
	t.put(l)
	return l, nil
}

// Release ends the lease for its holder in its epoch and refuses with not_owner
// otherwise.
func (t *Table) Release(r Release) (Lease, error) {
	l, err := t.owned(r.Name, r.Holder, r.Epoch)
	if err != nil {
		return l, err
	}
	l.Released = true
	t.put(l)
	return l, nil
}

// Get returns the row of a name.
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

func (t *Table) owned(name, holder string, epoch uint64) (Lease, error) {
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
