package brroute

import "slices"

// SetEvacuated sets the failure domains whose endpoints get no new requests. Requests in
// flight there go on.
func (t *Table) SetEvacuated(domains []string) {
	t.evacuated = slices.Clone(domains)
	for _, e := range t.list {
		e.evacuated = slices.Contains(t.evacuated, e.FailureDomain)
	}
	t.recomputeCapacity()
}

// OnlyEvacuated reports whether there is an endpoint that only its evacuation keeps from new
// requests, and none that may get some now or after a load.
func (t *Table) OnlyEvacuated() bool {
	return !slices.ContainsFunc(t.list, (*endpoint).open) &&
		slices.ContainsFunc(t.list, func(e *endpoint) bool { return !e.Leaving && !e.silent })
}

// open reports whether e may get new requests, now or after a load.
func (e *endpoint) open() bool { return !e.Leaving && !e.silent && !e.evacuated }
