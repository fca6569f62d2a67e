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

// heldOverhead is what a request costs besides its body, in bytes: connection
// buffers, stacks and records. A streaming request was measured at 63 KiB, a
// waiting one at 27 KiB; see docs/measurements/entry.md.
const heldOverhead = 64 << 10

type phase uint8

const (
	queued phase = iota
	granted
	running
)

// held is one request from its admission to its end.
type held struct {
	admission Admission
	submit    brwire.Submit
	body      []byte // what is sent to the endpoint
	bytes     int64
	deadline  time.Time
	verdict   chan verdict // a grant or the final refusal; capacity 1

	progress   atomic.Int64 // unix nanoseconds of the last token or of the start
	firstToken atomic.Bool
	gone       chan struct{} // capacity 1: a write to the caller failed
	readers    chan struct{} // capacity 1: attached has changed

	// Guarded by Entry.mu.
	phase    phase
	bound    uint64 // epoch in which a scheduler bound the id to this entry; 0 for none
	grant    brwire.Grant
	expires  time.Time // of the grant
	element  *list.Element
	cancel   context.CancelCauseFunc // while running
	attached map[string]bool         // readers through other connections

	// Used by the request's own goroutine.
	begun      LedgerRecord // its Attempt is set once the ledger has the record
	dispatched bool
	ran        bool      // known when it ended
	started    time.Time // of the dispatch
	attempts   int
}

type verdict struct {
	grant brwire.Grant
	err   error
	shed  bool // by this entry: the scheduler doesn't know yet
}

// ended is the record of a request that was dispatched and is over.
type ended struct {
	id, pool, customer, address, endpointID string
	ran                                     bool // it certainly ran; otherwise its outcome is unknown
	at                                      time.Time
}

// registry holds requests by id. It is guarded by Entry.mu.
type registry struct {
	held   map[string]*held
	tiers  [brconfig.Tiers + 1]*list.List // of *held not yet running, oldest first
	bytes  int64
	ended  map[string]ended
	order  []string // of ended
	epochs map[string]uint64
}

func newRegistry() registry {
	r := registry{held: map[string]*held{}, ended: map[string]ended{}, epochs: map[string]uint64{}}
	for t := range r.tiers {
		r.tiers[t] = list.New()
	}
	return r
}

// hold registers h. When a bound is reached, waiting requests of the lowest tier
// below h's are shed, newest first; without any, h itself is refused.
func (e *Entry) hold(h *held) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, r, now := h.submit.RequestID, &e.registry, e.clock.Now()
	if e.draining {
		return brerror.New(brerror.ShuttingDown, "this entry is stopping")
	}
	if r.held[id] != nil {
		return brerror.New(brerror.InProgress, "request is in progress").WithEarlierRequest(e.config.EntryID, e.config.Address)
	}
	e.forget(now)
	if d, ok := r.ended[id]; ok {
		return brerror.New(brerror.AlreadyRun, "request has ended").WithEarlierRequest(e.config.EntryID, d.address)
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
	if err := e.makeRoom(h); err != nil {
		return err
	}
	r.held[id] = h
	r.bytes += h.bytes
	h.element = r.tiers[h.submit.Tier].PushBack(h)
	e.levels()
	return nil
}

// makeRoom sheds lower tiers until h fits. Nothing is shed when that would not
// be enough.
func (e *Entry) makeRoom(h *held) error {
	r := &e.registry
	count, bytes := len(r.held)+1-e.config.MaxHeld, r.bytes+h.bytes-e.config.MaxHeldBytes
	var victims []*held
	for t := brconfig.Tiers; t > h.submit.Tier && (count > 0 || bytes > 0); t-- {
		for el := r.tiers[t].Back(); el != nil && (count > 0 || bytes > 0); el = el.Prev() {
			if v := el.Value.(*held); v.phase == queued {
				victims = append(victims, v)
				count, bytes = count-1, bytes-v.bytes
			}
		}
	}
	full := brerror.New(brerror.Overloaded, "this entry holds as many requests as it may").WithRetryAfter(defaultRetryAfter)
	if count > 0 || bytes > 0 {
		e.Counters.Shed.Add(1)
		return full
	}
	for _, v := range victims {
		e.Counters.Shed.Add(1)
		e.remove(v)
		v.deliver(verdict{err: full, shed: true})
	}
	return nil
}

// deliver replaces a verdict that was not read yet. It is called with Entry.mu.
func (h *held) deliver(v verdict) {
	select {
	case <-h.verdict:
	default:
	}
	h.verdict <- v
}

// remove takes h off the registry, if it is still there.
func (e *Entry) remove(h *held) bool {
	r := &e.registry
	if r.held[h.submit.RequestID] != h {
		return false
	}
	delete(r.held, h.submit.RequestID)
	r.bytes -= h.bytes
	e.unqueue(h)
	e.levels()
	return true
}

func (e *Entry) unqueue(h *held) {
	if h.element != nil {
		e.registry.tiers[h.submit.Tier].Remove(h.element)
		h.element = nil
	}
}

// end removes h and keeps a record of it when it was dispatched.
func (e *Entry) end(h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.remove(h) || !h.dispatched {
		return
	}
	r, now := &e.registry, e.clock.Now()
	id := h.submit.RequestID
	r.ended[id] = ended{id: id, pool: h.submit.Pool, customer: h.admission.Customer, address: h.grant.Address,
		endpointID: h.grant.EndpointID, ran: h.ran, at: now}
	r.order = append(r.order, id)
	e.forget(now)
}

// forget drops the records of ended requests that are past a bound.
func (e *Entry) forget(now time.Time) {
	r := &e.registry
	for len(r.order) > 0 && (len(r.order) > e.config.MaxFinished || now.Sub(r.ended[r.order[0]].at) > e.config.Retention) {
		delete(r.ended, r.order[0])
		r.order = r.order[1:]
	}
}

func (e *Entry) levels() {
	e.Counters.Held.Store(int64(len(e.registry.held)))
	e.Counters.HeldBytes.Store(e.registry.bytes)
}
