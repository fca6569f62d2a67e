package brentry

import (
	"sync/atomic"
	"time"

	"bramleyroute/brwire"
)

// EventName is the name of a timeline event of a request.
type EventName string

// Timeline events of an entry.
const (
	EventReceived           EventName = "received"
	EventGranted            EventName = "granted"
	EventGrantReturned      EventName = "grant_returned"
	EventDispatched         EventName = "dispatched"
	EventFirstToken         EventName = "first_token"
	EventEnded              EventName = "ended"
	EventRefused            EventName = "refused"
	EventShed               EventName = "shed"
	EventCallerDisconnected EventName = "caller_gone"
	EventStuck              EventName = "stuck" // raises an alarm
	EventResumed            EventName = "resumed"
	EventJoined             EventName = "joined"
	EventLedgerRetry        EventName = "ledger_retry"
)

// Event is a timeline event.
type Event struct {
	At         time.Time
	Name       EventName
	RequestID  string
	Pool       string
	EndpointID string
	Customer   string
	Route      string
	Tier       int    // 1 to 5; 0 if the event doesn't concern a single request
	Revision   uint64 // of the configuration that admitted the request
	Epoch      uint64
	Err        error
}

// Counters holds counts since the start of the entry. Held and HeldBytes are gauges.
type Counters struct {
	Received          atomic.Int64
	Refused           atomic.Int64 // ended without a dispatch
	Shed              atomic.Int64 // because of the entry's own limits
	Dispatched        atomic.Int64
	Completed         atomic.Int64
	Failed            atomic.Int64 // dispatched but not completed
	CallerDisconnects atomic.Int64
	Stuck             atomic.Int64
	Resumed           atomic.Int64 // responses that callers resumed
	ReturnedGrants    atomic.Int64 // unused grants returned to the scheduler
	StaleGrants       atomic.Int64 // grants of an older epoch
	Tokens            atomic.Int64 // forwarded to callers
	LedgerErrors      atomic.Int64 // failed commit attempts
	Held              atomic.Int64 // requests held
	HeldBytes         atomic.Int64 // memory of the held requests
}

func (e *Entry) record(name EventName, h *heldRequest, g brwire.Grant, err error) {
	if e.Record == nil {
		return
	}
	e.Record(Event{At: e.clock.Now(), Name: name, RequestID: h.submit.RequestID, Pool: h.submit.Pool,
		EndpointID: g.EndpointID, Customer: h.submit.Customer, Route: h.submit.Route, Tier: h.submit.Tier,
		Revision: h.admission.Revision, Epoch: g.Epoch, Err: err})
}
