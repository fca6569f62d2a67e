package brledger

import (
	"time"

	"bramleyroute/brerror"
)

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	records map[string]*kept
	order   []*kept // by BegunAt; released records stay until they are compacted
	bytes   int
}

type kept struct {
	Record
	released bool
}

// New returns a ledger with the records that Records returned. New panics if a
// limit is not positive.
func New(limits Limits, records []Record) *Ledger {
	if limits.Records <= 0 || limits.Bytes <= 0 {
		panic("brledger: limits must be positive")
	}
	l := &Ledger{limits: limits, records: make(map[string]*kept, len(records))}
	for _, r := range records {
		l.add(r)
	}
	return l
}

// Begin records that an entry is about to dispatch a request, at the stamped
// time now. The first Begin of an id wins: begun is true and the request may be
// dispatched. For a finished id the kept record is returned without an error.
// The errors are in_progress, too_old, ledger_unavailable and invalid_request.
func (l *Ledger) Begin(now time.Time, b Begin) (r Record, begun bool, err error) {
	minted, err := MintedAt(b.RequestID)
	if err != nil {
		return Record{}, false, err
	}
	if b.Entry == "" || max(len(b.Entry), len(b.Endpoint), len(b.Customer)) > MaxFieldBytes {
		return Record{}, false, brerror.New(brerror.InvalidRequest, "entry, endpoint and customer need names of at most %d bytes", MaxFieldBytes)
	}
	l.Expire(now)
	if k, ok := l.records[b.RequestID]; ok {
		if k.Finished {
			return k.Record, false, nil
		}
		return k.Record, false, brerror.New(brerror.InProgress, "request was begun by %s", k.Entry).WithRun(k.Entry, k.Endpoint)
	}
	if now.Sub(minted) >= Retention {
		return Record{}, false, brerror.New(brerror.TooOld, "id was made %v ago and is not on record", now.Sub(minted).Round(time.Second))
	}
	if minted.Sub(now) > MaxAhead {
		return Record{}, false, brerror.New(brerror.InvalidRequest, "id is %v ahead of the control group's time", minted.Sub(now)).WithField("request_id")
	}
	r = Record{RequestID: b.RequestID, Customer: b.Customer, Entry: b.Entry, Endpoint: b.Endpoint, BegunAt: now}
	if len(l.records) >= l.limits.Records || l.bytes+r.size() > l.limits.Bytes {
		return Record{}, false, brerror.New(brerror.LedgerUnavailable, "ledger is full with %d records of %d bytes", len(l.records), l.bytes)
	}
	l.add(r)
	return r, true, nil
}

// Finish keeps the answer of a request that the entry began. Of two calls the
// first counts. A body of more than MaxAnswer bytes is left out and noted in
// the record. The error is unknown_request when the entry has no such record.
func (l *Ledger) Finish(f Finish) (Record, error) {
	k, err := l.own(f.RequestID, f.Entry)
	if err != nil || k.Finished {
		return recordOf(k), err
	}
	if len(f.Answer.ContentType) > MaxFieldBytes {
		f.Answer.ContentType = ""
	}
	if len(f.Answer.Body) > MaxAnswer || f.Answer.TooLarge {
		f.Answer.Body, f.Answer.TooLarge = nil, true
	}
	l.bytes -= k.size()
	k.Finished, k.Answer = true, f.Answer
	l.bytes += k.size()
	return k.Record, nil
}

// Release removes a record that the entry began, so that the request can be
// begun again. The errors are unknown_request when the entry has no such record
// and already_run when it is finished.
func (l *Ledger) Release(r Release) error {
	k, err := l.own(r.RequestID, r.Entry)
	if err != nil {
		return err
	}
	if k.Finished {
		return brerror.New(brerror.AlreadyRun, "request has finished").WithRun(k.Entry, k.Endpoint)
	}
	k.released = true
	l.remove(k)
	l.compact()
	return nil
}

// Expire removes the records whose ids are older than Retention at now. A
// record outlives the begin by MaxAhead as well, because its id may have been
// ahead by that much and must be too old once the record is gone.
func (l *Ledger) Expire(now time.Time) {
	for len(l.order) > 0 {
		k := l.order[0]
		if !k.released && now.Sub(k.BegunAt) < Retention+MaxAhead {
			return
		}
		if !k.released {
			l.remove(k)
		}
		l.order[0] = nil
		l.order = l.order[1:]
	}
}

// Get returns the record of a request id.
func (l *Ledger) Get(requestID string) (Record, bool) {
	k, ok := l.records[requestID]
	return recordOf(k), ok
}

// Records returns all records in the order of their begin. The answers' bodies
// must not be modified.
func (l *Ledger) Records() []Record {
	list := make([]Record, 0, len(l.records))
	for _, k := range l.order {
		if !k.released {
			list = append(list, k.Record)
		}
	}
	return list
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Bytes returns the accounted size of the records.
func (l *Ledger) Bytes() int { return l.bytes }

func (l *Ledger) own(requestID, entry string) (*kept, error) {
	k, ok := l.records[requestID]
	if !ok || k.Entry != entry {
		return nil, brerror.New(brerror.UnknownRequest, "no record of %.64q was begun by %.64q", requestID, entry)
	}
	return k, nil
}

func (l *Ledger) add(r Record) {
	k := &kept{Record: r}
	l.records[r.RequestID] = k
	l.order = append(l.order, k)
	l.bytes += k.size()
}

func (l *Ledger) remove(k *kept) {
	delete(l.records, k.RequestID)
	l.bytes -= k.size()
}

// compact drops released records from the order once they are the majority.
func (l *Ledger) compact() {
	if len(l.order) < 64 || len(l.order) < 2*len(l.records) {
		return
	}
	live := make([]*kept, 0, len(l.records))
	for _, k := range l.order {
		if !k.released {
			live = append(live, k)
		}
	}
	l.order = live
}

func recordOf(k *kept) Record {
	if k == nil {
		return Record{}
	}
	return k.Record
}
