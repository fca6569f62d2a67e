package brstate

import (
	"cmp"
	"slices"
	"strings"

	"bramleyroute/brconfig"
	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// poolPrefix is the prefix of the names of pool leases, the only leases in the view.
// Other leases, such as those for orders to endpoints, are too numerous.
const poolPrefix = "pool/"

// PoolLease returns the lease name of a pool.
func PoolLease(pool string) string { return poolPrefix + pool }

// Owner identifies the scheduler that holds the lease of a pool. Holder is empty if the
// lease was released.
type Owner struct {
	Pool   string `cbor:"pool" json:"pool"`
	Holder string `cbor:"holder,omitempty" json:"holder,omitempty"`
	Epoch  uint64 `cbor:"epoch" json:"epoch"`
}

// View is the part of the state that is distributed to all daemons. It is immutable:
// its slices, which are sorted by ID or name, must not be modified.
type View struct {
	Revision              uint64            `cbor:"revision" json:"revision"`
	ConfigurationRevision uint64            `cbor:"configuration_revision" json:"configuration_revision"`
	MembersRevision       uint64            `cbor:"members_revision" json:"members_revision"` // last addition or removal of a daemon
	Configuration         brconfig.Document `cbor:"configuration" json:"configuration"`
	Owners                []Owner           `cbor:"owners" json:"owners"`
	Daemons               []brwire.Daemon   `cbor:"daemons" json:"daemons"`
	Rollouts              []Rollout         `cbor:"rollouts" json:"rollouts"`
	Evacuations           []Evacuation      `cbor:"evacuations,omitempty" json:"evacuations,omitempty"`
}

// Change is the difference between the view of revision Previous and that of
// Revision. It contains only rows that differ. It is immutable.
type Change struct {
	Revision           uint64           `cbor:"revision" json:"revision"`
	Previous           uint64           `cbor:"previous" json:"previous"`
	Configuration      *brconfig.Change `cbor:"configuration,omitempty" json:"configuration,omitempty"`
	Owners             []Owner          `cbor:"owners,omitempty" json:"owners,omitempty"`
	Daemons            []brwire.Daemon  `cbor:"daemons,omitempty" json:"daemons,omitempty"`
	RemovedDaemons     []string         `cbor:"removed_daemons,omitempty" json:"removed_daemons,omitempty"`
	Rollouts           []Rollout        `cbor:"rollouts,omitempty" json:"rollouts,omitempty"`
	RemovedRollouts    []string         `cbor:"removed_rollouts,omitempty" json:"removed_rollouts,omitempty"`
	Evacuations        []Evacuation     `cbor:"evacuations,omitempty" json:"evacuations,omitempty"`
	RemovedEvacuations []string         `cbor:"removed_evacuations,omitempty" json:"removed_evacuations,omitempty"`
}

// Follows reports whether c is the change that directly follows v.
func (v View) Follows(c Change) bool { return c.Previous == v.Revision && c.Revision > v.Revision }

// With returns v with c applied. It returns v unchanged if v already includes c. With
// panics if changes between v and c are missing; a watcher therefore calls Follows
// first and fetches the whole view if it returns false.
func (v View) With(c Change) View {
	if c.Revision <= v.Revision {
		return v
	}
	if !v.Follows(c) {
		panic("brstate: change does not follow the view")
	}
	v.Revision = c.Revision
	if c.Configuration != nil {
		v.ConfigurationRevision, v.Configuration = c.Revision, v.Configuration.With(*c.Configuration)
	}
	added := slices.ContainsFunc(c.Daemons, func(d brwire.Daemon) bool { _, ok := v.Daemon(d.ID); return !ok })
	if added || len(c.RemovedDaemons) > 0 {
		v.MembersRevision = c.Revision
	}
	v.Owners = mergeRows(v.Owners, c.Owners, nil, func(o Owner) string { return o.Pool })
	v.Daemons = mergeRows(v.Daemons, c.Daemons, c.RemovedDaemons, func(d brwire.Daemon) string { return d.ID })
	v.Rollouts = mergeRows(v.Rollouts, c.Rollouts, c.RemovedRollouts, func(r Rollout) string { return r.ID })
	v.Evacuations = mergeRows(v.Evacuations, c.Evacuations, c.RemovedEvacuations, domainOf)
	return v
}

// Rollout returns the row of a rollout and reports whether it exists.
func (v View) Rollout(id string) (Rollout, bool) {
	return findRow(v.Rollouts, id, func(r Rollout) string { return r.ID })
}

// Daemon returns the row of a daemon and reports whether it is registered.
func (v View) Daemon(id string) (brwire.Daemon, bool) {
	return findRow(v.Daemons, id, func(d brwire.Daemon) string { return d.ID })
}

// Owner returns the row of a pool and reports whether it exists. Its Holder is empty
// if the pool has no owner.
func (v View) Owner(pool string) (Owner, bool) {
	return findRow(v.Owners, pool, func(o Owner) string { return o.Pool })
}

// DaemonIDs returns the IDs of the registered daemons, sorted.
func (v View) DaemonIDs() []string {
	ids := make([]string, len(v.Daemons))
	for i, d := range v.Daemons {
		ids[i] = d.ID
	}
	return ids
}

// ownerChange returns the changed Owner row for a pool lease, and nil for any other
// lease.
func ownerChange(l brlease.Lease) []Owner {
	pool, ok := strings.CutPrefix(l.Name, poolPrefix)
	if !ok {
		return nil
	}
	o := Owner{Pool: pool, Epoch: l.Epoch}
	if l.Held() {
		o.Holder = l.Holder
	}
	return []Owner{o}
}

func findRow[T any](rows []T, key string, keyOf func(T) string) (row T, ok bool) {
	i, ok := slices.BinarySearchFunc(rows, key, func(r T, key string) int { return cmp.Compare(keyOf(r), key) })
	if ok {
		row = rows[i]
	}
	return row, ok
}

// mergeRows returns rows, sorted by key, with the changed rows replaced or inserted and
// those with the removed keys deleted. It does not modify rows.
func mergeRows[T any](rows, changed []T, removed []string, keyOf func(T) string) []T {
	if len(changed)+len(removed) == 0 {
		return rows
	}
	rows = slices.Clone(rows)
	for _, c := range changed {
		i, ok := slices.BinarySearchFunc(rows, keyOf(c), func(r T, key string) int { return cmp.Compare(keyOf(r), key) })
		if ok {
			rows[i] = c
		} else {
			rows = slices.Insert(rows, i, c)
		}
	}
	if len(removed) > 0 {
		rows = slices.DeleteFunc(rows, func(r T) bool { return slices.Contains(removed, keyOf(r)) })
	}
	return rows
}

// HistorySize is the number of recent changes stored for watchers.
const HistorySize = 10_000

// History holds the most recent changes in a ring buffer. It is not part of the
// replicated state and is empty after Restore. It is not safe for concurrent use.
type History struct {
	ring  []Change
	start int // index of the oldest change once the ring is full
}

// Add appends the next change.
func (h *History) Add(c Change) {
	if len(h.ring) < HistorySize {
		h.ring = append(h.ring, c)
		return
	}
	h.ring[h.start] = c
	h.start = (h.start + 1) % HistorySize
}

// After returns the changes after the view of the given revision. It returns false if
// some of them are no longer stored, in which case the watcher needs the whole view.
func (h *History) After(revision uint64) ([]Change, bool) {
	n := len(h.ring)
	at := func(i int) Change { return h.ring[(h.start+i)%n] }
	first := n
	for low := 0; low < first; {
		if mid := (low + first) / 2; at(mid).Previous >= revision {
			first = mid
		} else {
			low = mid + 1
		}
	}
	if first == n || at(first).Previous != revision {
		return nil, n > 0 && at(n-1).Revision == revision
	}
	list := make([]Change, 0, n-first)
	for i := first; i < n; i++ {
		list = append(list, at(i))
	}
	return list, true
}
