package brstate

import (
	"cmp"
	"slices"
	"strings"

	"bramleyroute/brconfig"
	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// poolPrefix starts the names of the leases that watchers are told of. Other
// leases, such as those for orders to endpoints, are too many.
const poolPrefix = "pool/"

// PoolLease returns the name of the lease of a pool.
func PoolLease(pool string) string { return poolPrefix + pool }

// Owner is the holder of a pool's lease; Holder is empty after a release.
type Owner struct {
	Pool   string `cbor:"pool" json:"pool"`
	Holder string `cbor:"holder,omitempty" json:"holder,omitempty"`
	Epoch  uint64 `cbor:"epoch" json:"epoch"`
}

// View is what daemons watch. It is immutable: its slices, which are sorted by
// id or name, must not be modified.
type View struct {
	Revision              uint64            `cbor:"revision" json:"revision"`
	ConfigurationRevision uint64            `cbor:"configuration_revision" json:"configuration_revision"`
	MembersRevision       uint64            `cbor:"members_revision" json:"members_revision"` // last change of the set of registered daemons
	Configuration         brconfig.Document `cbor:"configuration" json:"configuration"`
	Owners                []Owner           `cbor:"owners" json:"owners"`
	Daemons               []brwire.Daemon   `cbor:"daemons" json:"daemons"`
	Rollouts              []Rollout         `cbor:"rollouts" json:"rollouts"`
}

// Change leads from the view of revision Previous to that of Revision. It holds
// only the rows that differ and is immutable.
type Change struct {
	Revision        uint64           `cbor:"revision" json:"revision"`
	Previous        uint64           `cbor:"previous" json:"previous"`
	Configuration   *brconfig.Change `cbor:"configuration,omitempty" json:"configuration,omitempty"`
	Owners          []Owner          `cbor:"owners,omitempty" json:"owners,omitempty"`
	Daemons         []brwire.Daemon  `cbor:"daemons,omitempty" json:"daemons,omitempty"`
	RemovedDaemons  []string         `cbor:"removed_daemons,omitempty" json:"removed_daemons,omitempty"`
	Rollouts        []Rollout        `cbor:"rollouts,omitempty" json:"rollouts,omitempty"`
	RemovedRollouts []string         `cbor:"removed_rollouts,omitempty" json:"removed_rollouts,omitempty"`
}

// Follows reports whether c is the next change of v.
func (v View) Follows(c Change) bool { return c.Previous == v.Revision && c.Revision > v.Revision }

// With returns v with c applied; a change that v already holds leaves it as it
// is. With panics if changes between v and c are missing, so a watcher asks
// Follows first and fetches a whole view when it is false.
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
	v.Owners = withRows(v.Owners, c.Owners, nil, func(o Owner) string { return o.Pool })
	v.Daemons = withRows(v.Daemons, c.Daemons, c.RemovedDaemons, func(d brwire.Daemon) string { return d.ID })
	v.Rollouts = withRows(v.Rollouts, c.Rollouts, c.RemovedRollouts, func(r Rollout) string { return r.ID })
	return v
}

// Rollout returns the row of an id.
func (v View) Rollout(id string) (Rollout, bool) {
	return findRow(v.Rollouts, id, func(r Rollout) string { return r.ID })
}

// Daemon returns the row of a registered daemon.
func (v View) Daemon(id string) (brwire.Daemon, bool) {
	return findRow(v.Daemons, id, func(d brwire.Daemon) string { return d.ID })
}

// Owner returns the owner of a pool; its Holder is empty when the pool has none.
func (v View) Owner(pool string) (Owner, bool) {
	return findRow(v.Owners, pool, func(o Owner) string { return o.Pool })
}

// DaemonIDs returns the ids of the registered daemons.
func (v View) DaemonIDs() []string {
	ids := make([]string, len(v.Daemons))
	for i, d := range v.Daemons {
		ids[i] = d.ID
	}
	return ids
}

// ownerChange returns the row for watchers, if the lease is a pool's.
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

// withRows returns rows, sorted by key, with others replaced, added and removed.
func withRows[T any](rows, changed []T, removed []string, keyOf func(T) string) []T {
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

// HistorySize is the number of changes that are kept for watchers.
const HistorySize = 10_000

// History holds the last changes in a ring. It is not part of the replicated
// state: after a restore it is empty. It is not safe for concurrent use.
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

// After returns the changes that follow the view of a revision, and false when
// they are not all kept; the watcher then needs the whole view.
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
