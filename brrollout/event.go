package brrollout

import (
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brwire"
)

// Event is one of the event types of this file. The set is closed.
type Event interface{ event() }

// Started begins a rollout. A second Started is ignored.
type Started struct {
	RolloutID    string    `cbor:"rollout_id"`
	Model        string    `cbor:"model"`
	OldVersion   string    `cbor:"old_version"`
	NewVersion   string    `cbor:"new_version"`
	FinishBy     time.Time `cbor:"finish_by"`
	FencingToken uint64    `cbor:"fencing_token"`
	Budget       Budget    `cbor:"budget"`     // this rollout's part of the fleet's
	LoadBytes    int64     `cbor:"load_bytes"` // read from the weight store per load
	Endpoints    []Target  `cbor:"endpoints"`
}

// Resumed tells that a new owner continues the rollout. Every setting that is
// in force is sent again.
type Resumed struct {
	FencingToken  uint64    `cbor:"fencing_token"`   // above the former owner's
	FormerLeaseBy time.Time `cbor:"former_lease_by"` // latest end of the former owner's lease
}

// BudgetChanged replaces the rollout's part of the fleet's budget.
type BudgetChanged struct {
	Budget Budget `cbor:"budget"`
}

// EndpointSeen tells that an endpoint of the model announced itself.
type EndpointSeen struct {
	Target Target `cbor:"target"`
}

// Samples carries one report of a scheduler.
type Samples struct {
	brwire.Samples
}

// OrderAnswer is what became of an order.
type OrderAnswer string

// The answers to orders.
const (
	OrderAccepted    OrderAnswer = "accepted"
	OrderRefused     OrderAnswer = "refused"     // the endpoint answered and will not do it
	OrderUnreachable OrderAnswer = "unreachable" // no answer; the order may have arrived
)

// OrderResult answers a PlaceOrder.
type OrderResult struct {
	EndpointID string      `cbor:"endpoint_id"`
	OrderID    string      `cbor:"order_id"`
	Answer     OrderAnswer `cbor:"answer"`
}

// StateRead answers a ReadState.
type StateRead struct {
	State brengine.State `cbor:"state"`
}

// VersionReady tells that an endpoint announced that it serves a version.
type VersionReady struct {
	EndpointID string `cbor:"endpoint_id"`
	Version    string `cbor:"version"`
}

// EndpointLost tells that an endpoint no longer announces itself or is leaving.
type EndpointLost struct {
	EndpointID string `cbor:"endpoint_id"`
}

// LoadFailed tells that an endpoint could not load a version.
type LoadFailed struct {
	EndpointID string `cbor:"endpoint_id"`
	Version    string `cbor:"version"`
}

// Tripped tells that a scheduler's breaker stopped the new version's traffic.
type Tripped struct {
	Pool   string `cbor:"pool"`
	Reason string `cbor:"reason"`
}

// OperatorAbort takes the rollout back.
type OperatorAbort struct {
	Reason string `cbor:"reason"`
}

// Tick lets time pass. It is sent about once a second; decisions that depend on
// time or on the Judge are taken at ticks.
type Tick struct{}

func (Started) event()       {}
func (Resumed) event()       {}
func (BudgetChanged) event() {}
func (EndpointSeen) event()  {}
func (Samples) event()       {}
func (OrderResult) event()   {}
func (StateRead) event()     {}
func (VersionReady) event()  {}
func (EndpointLost) event()  {}
func (LoadFailed) event()    {}
func (Tripped) event()       {}
func (OperatorAbort) event() {}
func (Tick) event()          {}

// Effect is one of the effect types below. The set is closed. Every effect is
// safe to carry out again.
type Effect interface{ effect() }

// SetShare sets the new version's part of the model's traffic. The value is
// absolute, so a repeat changes nothing.
type SetShare struct {
	RolloutID string
	Version   string
	PerMille  int // 0 to 1000
}

// PlaceOrder sends an order to an endpoint. The order id is a function of the
// rollout, endpoint, version and attempt, so a repeat is recognised.
type PlaceOrder struct {
	EndpointID string
	Order      brengine.Order
}

// ReadState reads an endpoint's state back; StateRead is the answer.
type ReadState struct {
	EndpointID string
}

// Finish commits the outcome, Finished or TakenBack. The first commit counts.
type Finish struct {
	RolloutID string
	Outcome   Phase
	Reason    string
	At        time.Time
}

// Note is a line for the timeline.
type Note struct {
	RolloutID string
	Text      string
}

func (SetShare) effect()   {}
func (PlaceOrder) effect() {}
func (ReadState) effect()  {}
func (Finish) effect()     {}
func (Note) effect()       {}
