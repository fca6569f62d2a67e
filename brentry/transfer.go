package brentry

import (
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// MarkRecordsComplete marks the records of this entry as complete. It is called if the
// entry's previous process transferred its records to another entry when it stopped,
// or if there was no previous process within the retention time.
func (e *Entry) MarkRecordsComplete() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt = time.Time{}
}

// ExportRecords returns the records that another entry must report after this one has
// stopped, in one or more batches of at most brwire.MaxTransferRecords. It must be
// called after Drain. Afterwards ImportRecords returns an error.
func (e *Entry) ExportRecords() []brwire.TransferRecords {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordsExported = true
	now := e.clock.Now()
	e.evictEnded(now)
	batch := brwire.TransferRecords{EntryID: e.config.EntryID, StartedAgo: e.startedAgo(now)}
	batches := []brwire.TransferRecords{batch}
	for _, id := range e.registry.endedOrder {
		last := &batches[len(batches)-1]
		if len(last.Ended) == brwire.MaxTransferRecords {
			batches = append(batches, batch)
			last = &batches[len(batches)-1]
		}
		rec := e.registry.ended[id]
		last.Ended = append(last.Ended, brwire.TransferredRecord{EndedRef: rec.ref(), Pool: rec.pool, Ago: now.Sub(rec.endedAt)})
	}
	return batches
}

// ImportRecords adds the records of an entry that is stopping. It returns an error of
// kind shutting_down if this entry is stopping too.
func (e *Entry) ImportRecords(m brwire.TransferRecords) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recordsExported || e.draining {
		return brerror.New(brerror.ShuttingDown, "entry %s is stopping", e.config.EntryID)
	}
	now, r := e.clock.Now(), &e.registry
	for _, x := range m.Ended {
		if _, ok := r.ended[x.RequestID]; ok {
			continue
		}
		r.ended[x.RequestID] = endedRequest{id: x.RequestID, pool: x.Pool, customer: x.Customer, address: x.Address,
			endpointID: x.EndpointID, ran: x.Ran, endedAt: now.Add(-x.Ago)}
		r.endedOrder = append(r.endedOrder, x.RequestID)
	}
	if at := now.Add(-m.StartedAgo); at.After(e.importedStart) {
		e.importedStart = at
	}
	return nil
}

// startedAgo returns how long the records of this entry have been complete: the time
// since its start or since that of the entries whose records it imported, if later.
// e.mu must be held.
func (e *Entry) startedAgo(now time.Time) time.Duration {
	if e.importedStart.After(e.startedAt) {
		return now.Sub(e.importedStart)
	}
	return now.Sub(e.startedAt)
}

func (d endedRequest) ref() brwire.EndedRef {
	return brwire.EndedRef{RequestID: d.id, EndpointID: d.endpointID, Address: d.address, Customer: d.customer, Ran: d.ran}
}
