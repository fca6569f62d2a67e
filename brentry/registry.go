package brentry

import (
	"container/list"
	"context"
	"sync/atomic"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// requestOverhead is the memory of a request besides its body, in bytes: connection
// buffers, stacks and records. A streaming request takes 63 KiB and a waiting one
// 27 KiB; see docs/measurements/entry.md.
const requestOverhead = 64 << 10

type phase uint8

const (
	queued phase = iota
	granted
	running
)

// heldRequest is a request that is queued, granted or running.
type heldRequest struct {
	admission Admission
	submit    brwire.Submit
	body      []byte // body of the dispatch
	bytes     int64
	deadline  time.Time
	decision  chan decision // of the scheduler or this entry; capacity 1

	lastProgress   atomic.Int64 // Unix time of the last token or of the dispatch, in nanoseconds
	firstToken     atomic.Bool
	writeFailed    chan struct{} // signals a failed write to the caller; capacity 1
	readersChanged chan struct{} // signals a change of attached; capacity 1

	// Guarded by Entry.mu.
	phase        phase
	boundEpoch   uint64 // epoch in which a scheduler bound the ID to this entry; 0 if none did
	grant        brwire.Grant
	grantExpires time.Time
	element      *list.Element
	cancel       context.CancelCauseFunc // set while running
	attached     map[string]bool         // IDs of the readers on other connections

	// Used only by the goroutine that runs the request.
	ledgerRecord LedgerRecord // Attempt is set once the record may be in the ledger
	dispatched   bool
	ran          bool // it has certainly run; set at its end
	dispatchedAt time.Time
	failedGrants int // grants with an unreachable endpoint
}

// decision is a grant or a refusal of a held request.
type decision struct {
	grant brwire.Grant
	err   error
	shed  bool // shed by this entry; the scheduler must be notified
}

// endedRequest is the record of a dispatched request that has ended.
type endedRequest struct {
	id, pool, customer, address, endpointID string
	ran                                     bool // it has certainly run; if false, the outcome is unknown
	endedAt                                 time.Time
}

// registry holds the requests of an entry by ID. It is guarded by Entry.mu.
type registry struct {
	held       map[string]*heldRequest
	tiers      [brconfig.Tiers + 1]*list.List // of *heldRequest that aren't running, oldest first
	heldBytes  int64
	ended      map[string]endedRequest
	endedOrder []string          // keys of ended, oldest first
	epochs     map[string]uint64 // latest epoch by pool
}

func newRegistry() registry {
	r := registry{held: map[string]*heldRequest{}, ended: map[string]endedRequest{}, epochs: map[string]uint64{}}
	for t := range r.tiers {
		r.tiers[t] = list.New()
	}
	return r
}

// register adds h to the registry. If this exceeds a limit, it sheds queued requests
// of lower tiers, beginning with the lowest tier and the newest request. If there
// aren't enough of them, it refuses h. It also refuses an ID that is in progress, has
// ended or is too old.
func (e *Entry) register(h *heldRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, r, now := h.submit.RequestID, &e.registry, e.clock.Now()
	if e.draining {
		return brerror.New(brerror.ShuttingDown, "entry is shutting down")
	}
	if r.held[id] != nil {
		return brerror.New(brerror.InProgress, "request is in progress").WithEarlierRequest(e.config.EntryID, e.config.Address)
	}
	e.evictEnded(now)
	if d, ok := r.ended[id]; ok {
		return brerror.New(brerror.AlreadyRun, "request has already ended").WithEarlierRequest(e.config.EntryID, d.address)
	}
	if !h.submit.GeneratedID {
		limit := maxAge
		if h.submit.NonIdempotent {
			limit = maxAgeNonIdempotent
		}
		if err := checkAge(id, now, limit); err != nil {
			return err
		}
	}
	if err := e.shedLowerTiers(h); err != nil {
		return err
	}
	r.held[id] = h
	r.heldBytes += h.bytes
	h.element = r.tiers[h.submit.Tier].PushBack(h)
	e.updateGauges()
	return nil
}

// shedLowerTiers sheds queued requests of lower tiers until h fits within the limits.
// If shedding all of them isn't enough, it sheds none and returns an error.
func (e *Entry) shedLowerTiers(h *heldRequest) error {
	r := &e.registry
	excessRequests, excessBytes := len(r.held)+1-e.config.MaxHeld, r.heldBytes+h.bytes-e.config.MaxHeldBytes
	var toShed []*heldRequest
	for t := brconfig.Tiers; t > h.submit.Tier && (excessRequests > 0 || excessBytes > 0); t-- {
		for el := r.tiers[t].Back(); el != nil && (excessRequests > 0 || excessBytes > 0); el = el.Prev() {
			if v := el.Value.(*heldRequest); v.phase == queued {
				toShed = append(toShed, v)
				excessRequests, excessBytes = excessRequests-1, excessBytes-v.bytes
			}
		}
	}
	errOverloaded := brerror.New(brerror.Overloaded, "entry has reached the limit on held requests").WithRetryAfter(defaultRetryAfter)
	if excessRequests > 0 || excessBytes > 0 {
		e.Counters.Shed.Add(1)
		return errOverloaded
	}
	for _, v := range toShed {
		e.Counters.Shed.Add(1)
		e.remove(v)
		v.deliver(decision{err: errOverloaded, shed: true})
	}
	return nil
}

// deliver sends d to the goroutine of h and replaces a decision that it hasn't
// received yet. Entry.mu must be held.
func (h *heldRequest) deliver(d decision) {
	select {
	case <-h.decision:
	default:
	}
	h.decision <- d
}

// remove deletes h from the registry and reports whether it was registered. e.mu must
// be held.
func (e *Entry) remove(h *heldRequest) bool {
	r := &e.registry
	if r.held[h.submit.RequestID] != h {
		return false
	}
	delete(r.held, h.submit.RequestID)
	r.heldBytes -= h.bytes
	e.dequeue(h)
	e.updateGauges()
	return true
}

// dequeue removes h from the list of its tier, if it is in it. e.mu must be held.
func (e *Entry) dequeue(h *heldRequest) {
	if h.element != nil {
		e.registry.tiers[h.submit.Tier].Remove(h.element)
		h.element = nil
	}
}

// unregister removes h from the registry. If h was dispatched, it adds a record of
// its end.
func (e *Entry) unregister(h *heldRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.remove(h) || !h.dispatched {
		return
	}
	r, now := &e.registry, e.clock.Now()
	id := h.submit.RequestID
	r.ended[id] = endedRequest{id: id, pool: h.submit.Pool, customer: h.admission.Customer, address: h.grant.Address,
		endpointID: h.grant.EndpointID, ran: h.ran, endedAt: now}
	r.endedOrder = append(r.endedOrder, id)
	e.evictEnded(now)
}

// evictEnded deletes the records of ended requests that exceed Config.MaxEndedRecords
// or Config.Retention. e.mu must be held.
func (e *Entry) evictEnded(now time.Time) {
	r := &e.registry
	for len(r.endedOrder) > 0 && (len(r.endedOrder) > e.config.MaxEndedRecords || now.Sub(r.ended[r.endedOrder[0]].endedAt) > e.config.Retention) {
		delete(r.ended, r.endedOrder[0])
		r.endedOrder = r.endedOrder[1:]
	}
}

// updateGauges updates the counters of held requests. e.mu must be held.
func (e *Entry) updateGauges() {
	e.Counters.Held.Store(int64(len(e.registry.held)))
	e.Counters.HeldBytes.Store(e.registry.heldBytes)
}
