package brledger

import (
	"time"

	"bramleyroute/brerror"
)

// Ledger is the set of request records. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	records map[string]*storedRecord
	order   []*storedRecord // by BegunAt; includes released records until compact or Expire removes them
	bytes   int
}

type storedRecord struct {
	Record
	released bool
}

// New returns a ledger with the given records, as returned by Records. New panics if
// a limit is not positive.
func New(limits Limits, records []Record) *Ledger {
	if limits.Records <= 0 || limits.Bytes <= 0 {
		panic("brledger: limits must be positive")
	}
	l := &Ledger{limits: limits, records: make(map[string]*storedRecord, len(records))}
	for _, r := range records {
		l.add(r)
	}
	return l
}

// Begin records that an entry is about to dispatch a request, at the stamped time
// now. The first Begin of an ID returns begun as true, and the request may be
// dispatched. For a finished request, Begin returns the stored record with begun
// false and no error. The errors are in_progress, too_old, ledger_unavailable and
// invalid_request.
func (l *Ledger) Begin(now time.Time, b Begin) (r Record, begun bool, err error) {
	createdAt, err := CreatedAt(b.RequestID)
	if err != nil {
		return Record{}, false, err
	}
	if b.Entry == "" || max(len(b.Entry), len(b.Endpoint), len(b.Customer)) > MaxFieldBytes {
		return Record{}, false, brerror.New(brerror.InvalidRequest, "entry, endpoint and customer need names of at most %d bytes", MaxFieldBytes)
	}
	l.Expire(now)
	if rec, ok := l.records[b.RequestID]; ok {
		if rec.Finished {
			return rec.Record, false, nil
		}
		return rec.Record, false, brerror.New(brerror.InProgress, "request was begun by %s", rec.Entry).WithEarlierRequest(rec.Entry, rec.Endpoint)
	}
	if now.Sub(createdAt) >= Retention {
		return Record{}, false, brerror.New(brerror.TooOld, "id was made %v ago and is not on record", now.Sub(createdAt).Round(time.Second))
	}
	if createdAt.Sub(now) > MaxIDAhead {
		return Record{}, false, brerror.New(brerror.InvalidRequest, "id is %v ahead of the control group's time", createdAt.Sub(now)).WithField("request_id")
	}
	r = Record{RequestID: b.RequestID, Customer: b.Customer, Entry: b.Entry, Endpoint: b.Endpoint, BegunAt: now}
	if len(l.records) >= l.limits.Records || l.bytes+r.size() > l.limits.Bytes {
		return Record{}, false, brerror.New(brerror.LedgerUnavailable, "ledger is full with %d records of %d bytes", len(l.records), l.bytes)
	}
	l.add(r)
	return r, true, nil
}

// Finish stores the response to a request begun by the entry. Only the first call for
// a request has an effect. A body of more than MaxResponseBytes is discarded and
// Response.TooLarge is set. The error is unknown_request if the entry has no such
// record.
func (l *Ledger) Finish(f Finish) (Record, error) {
	rec, err := l.ownedRecord(f.RequestID, f.Entry)
	if err != nil || rec.Finished {
		return recordOf(rec), err
	}
	if len(f.Response.ContentType) > MaxFieldBytes {
		f.Response.ContentType = ""
	}
	if len(f.Response.Body) > MaxResponseBytes || f.Response.TooLarge {
		f.Response.Body, f.Response.TooLarge = nil, true
	}
	l.bytes -= rec.size()
	rec.Finished, rec.Response = true, f.Response
	l.bytes += rec.size()
	return rec.Record, nil
}

// Release removes a record begun by the entry, so that the request can be begun
// again. The error is unknown_request if the entry has no such record and
// already_run if the request has finished.
func (l *Ledger) Release(r Release) error {
	rec, err := l.ownedRecord(r.RequestID, r.Entry)
	if err != nil {
		return err
	}
	if rec.Finished {
		return brerror.New(brerror.AlreadyRun, "request has finished").WithEarlierRequest(rec.Entry, rec.Endpoint)
	}
	rec.released = true
	l.remove(rec)
	l.compact()
	return nil
}

// Expire removes the records begun at least Retention + MaxIDAhead before now. The
// time in an ID may be ahead of the begin by MaxIDAhead, and the ID must be too old
// for Begin once its record is removed.
func (l *Ledger) Expire(now time.Time) {
	for len(l.order) > 0 {
		rec := l.order[0]
		if !rec.released && now.Sub(rec.BegunAt) < Retention+MaxIDAhead {
			return
		}
		if !rec.released {
			l.remove(rec)
		}
		l.order[0] = nil
		l.order = l.order[1:]
	}
}

// Get returns the record of a request and reports whether it exists.
func (l *Ledger) Get(requestID string) (Record, bool) {
	rec, ok := l.records[requestID]
	return recordOf(rec), ok
}

// Records returns all records in the order in which they were begun. The caller must
// not modify the bodies of the responses.
func (l *Ledger) Records() []Record {
	list := make([]Record, 0, len(l.records))
	for _, rec := range l.order {
		if !rec.released {
			list = append(list, rec.Record)
		}
	}
	return list
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Bytes returns the accounted size of the records, in bytes.
func (l *Ledger) Bytes() int { return l.bytes }

func (l *Ledger) ownedRecord(requestID, entry string) (*storedRecord, error) {
	rec, ok := l.records[requestID]
	if !ok || rec.Entry != entry {
		return nil, brerror.New(brerror.UnknownRequest, "no record of %.64q was begun by %.64q", requestID, entry)
	}
	return rec, nil
}

func (l *Ledger) add(r Record) {
	rec := &storedRecord{Record: r}
	l.records[r.RequestID] = rec
	l.order = append(l.order, rec)
	l.bytes += rec.size()
}

func (l *Ledger) remove(rec *storedRecord) {
	delete(l.records, rec.RequestID)
	l.bytes -= rec.size()
}

// compact drops released records from l.order once they make up at least half of
// it. An order of fewer than 64 elements is left unchanged.
func (l *Ledger) compact() {
	if len(l.order) < 64 || len(l.order) < 2*len(l.records) {
		return
	}
	live := make([]*storedRecord, 0, len(l.records))
	for _, rec := range l.order {
		if !rec.released {
			live = append(live, rec)
		}
	}
	l.order = live
}

func recordOf(rec *storedRecord) Record {
	if rec == nil {
		return Record{}
	}
	return rec.Record
}
