package brentry

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// Continue notes that nothing is missing from this entry's records: the entry's
// former process handed its records to another entry when it stopped, or there
// was none within the retention.
func (e *Entry) Continue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = time.Time{}
}

// Leave returns the records that another entry must report once this one has
// stopped, in parts of at most brwire.MaxInherit and at least one part. It is
// called after Drain; from then on this entry inherits nothing.
func (e *Entry) Leave() []brwire.TransferRecords {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
	now := e.clock.Now()
	e.forget(now)
	part := brwire.TransferRecords{EntryID: e.config.EntryID, StartedAgo: e.startedAgo(now)}
	parts := []brwire.TransferRecords{part}
	for _, id := range e.registry.order {
		last := &parts[len(parts)-1]
		if len(last.Ended) == brwire.MaxTransferRecords {
			parts = append(parts, part)
			last = &parts[len(parts)-1]
		}
		d := e.registry.ended[id]
		last.Ended = append(last.Ended, brwire.TransferredRecord{EndedRef: d.ref(), Pool: d.pool, Ago: now.Sub(d.at)})
	}
	return parts
}

// Inherit takes over the records of an entry that stops. An entry that stops
// itself refuses with shutting_down.
func (e *Entry) Inherit(m brwire.TransferRecords) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left || e.draining {
		return brerror.New(brerror.ShuttingDown, "entry %s is stopping", e.config.EntryID)
	}
	now, r := e.clock.Now(), &e.registry
	for _, x := range m.Ended {
		if _, ok := r.ended[x.RequestID]; ok {
			continue
		}
		r.ended[x.RequestID] = ended{id: x.RequestID, pool: x.Pool, customer: x.Customer, address: x.Address,
			endpointID: x.EndpointID, ran: x.Ran, at: now.Add(-x.Ago)}
		r.order = append(r.order, x.RequestID)
	}
	if at := now.Add(-m.StartedAgo); at.After(e.inherited) {
		e.inherited = at
	}
	return nil
}

// startedAgo returns the age of the oldest record that can't be missing here.
// The caller holds the lock.
func (e *Entry) startedAgo(now time.Time) time.Duration {
	if e.inherited.After(e.started) {
		return now.Sub(e.inherited)
	}
	return now.Sub(e.started)
}

func (d ended) ref() brwire.EndedRef {
	return brwire.EndedRef{RequestID: d.id, EndpointID: d.endpointID, Address: d.address, Customer: d.customer, Ran: d.ran}
}
