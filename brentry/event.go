package brentry

import (
	"sync/atomic"
	"time"

	"bramleyroute/brwire"
)

// EventName names a step in the life of a request.
type EventName string

// The events that an entry records.
const (
	EventReceived   EventName = "received"
	EventGranted    EventName = "granted"
	EventReturned   EventName = "grant_returned"
	EventDispatched EventName = "dispatched"
	EventFirstToken EventName = "first_token"
	EventEnded      EventName = "ended"
	EventRefused    EventName = "refused"
	EventShed       EventName = "shed"
	EventCallerGone EventName = "caller_gone"
	EventStuck      EventName = "stuck" // an alarm
	EventResumed    EventName = "resumed"
	EventJoined     EventName = "joined"
	EventLedger     EventName = "ledger_retry"
)

// Event is one step of a request, for the timeline.
type Event struct {
	At         time.Time
	Name       EventName
	RequestID  string
	Pool       string
	EndpointID string
	Customer   string
	Route      string
	Tier       int    // 1 to 5; 0 when the event is about no single request
	Revision   uint64 // of the configuration that admitted the request
	Epoch      uint64
	Err        error
}

// Counters counts since the entry's start. Held and HeldBytes are levels.
type Counters struct {
	Received     atomic.Int64
	Refused      atomic.Int64 // answered without a dispatch
	Shed         atomic.Int64 // by the entry's own bounds
	Dispatched   atomic.Int64
	Completed    atomic.Int64
	Failed       atomic.Int64 // dispatched and not completed
	CallersGone  atomic.Int64
	Stuck        atomic.Int64
	Resumed      atomic.Int64 // answers resumed by callers
	Returned     atomic.Int64 // grants
	StaleGrants  atomic.Int64
	Tokens       atomic.Int64 // passed on
	LedgerErrors atomic.Int64 // attempts to commit that failed
	Held         atomic.Int64
	HeldBytes    atomic.Int64
}

func (e *Entry) record(name EventName, h *held, g brwire.Grant, err error) {
	if e.Record == nil {
		return
	}
	e.Record(Event{At: e.clock.Now(), Name: name, RequestID: h.submit.RequestID, Pool: h.submit.Pool,
		EndpointID: g.EndpointID, Customer: h.submit.Customer, Route: h.submit.Route, Tier: h.submit.Tier,
		Revision: h.admission.Revision, Epoch: g.Epoch, Err: err})
}
