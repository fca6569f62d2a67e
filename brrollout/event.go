package brrollout

import (
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brwire"
)

// Event is one of the event types of this file. No other package can add one.
type Event interface{ event() }

// Started starts a rollout. It has no effect if the rollout has already started.
type Started struct {
	RolloutID    string    `cbor:"rollout_id"`
	Model        string    `cbor:"model"`
	OldVersion   string    `cbor:"old_version"`
	NewVersion   string    `cbor:"new_version"`
	FinishBy     time.Time `cbor:"finish_by"`
	FencingToken uint64    `cbor:"fencing_token"`
	Budget       Budget    `cbor:"budget"`     // this rollout's share of the fleet's budget
	LoadBytes    int64     `cbor:"load_bytes"` // bytes read from the weight store per load
	Endpoints    []Target  `cbor:"endpoints"`
}

// Resumed reports that a new owner continues the rollout. It causes Step to emit
// the share, and the outcome if there is one, again.
type Resumed struct {
	FencingToken   uint64    `cbor:"fencing_token"`   // greater than the former owner's
	FormerLeaseEnd time.Time `cbor:"former_lease_by"` // latest end of the former owner's lease
}

// BudgetChanged replaces the rollout's share of the fleet's budget.
type BudgetChanged struct {
	Budget Budget `cbor:"budget"`
}

// EndpointAnnounced reports that an endpoint of the model announced itself.
type EndpointAnnounced struct {
	Target Target `cbor:"target"`
}

// Samples is one report of a scheduler on ended requests.
type Samples struct {
	brwire.Samples
}

// OrderStatus is the result of sending an order.
type OrderStatus string

// Results of sending an order.
const (
	OrderAccepted    OrderStatus = "accepted"
	OrderRefused     OrderStatus = "refused"     // the endpoint responded and refused the order
	OrderUnreachable OrderStatus = "unreachable" // no response; the order may have arrived
)

// OrderResult is the response to a PlaceOrder effect.
type OrderResult struct {
	EndpointID string      `cbor:"endpoint_id"`
	OrderID    string      `cbor:"order_id"`
	Status     OrderStatus `cbor:"answer"`
}

// StateRead is the response to a ReadState effect.
type StateRead struct {
	State brengine.State `cbor:"state"`
}

// VersionReady reports that an endpoint announced that it serves a version.
type VersionReady struct {
	EndpointID string `cbor:"endpoint_id"`
	Version    string `cbor:"version"`
}

// EndpointLost reports that an endpoint no longer announces itself or is leaving.
type EndpointLost struct {
	EndpointID string `cbor:"endpoint_id"`
}

// LoadFailed reports that an endpoint failed to load a version.
type LoadFailed struct {
	EndpointID string `cbor:"endpoint_id"`
	Version    string `cbor:"version"`
}

// Tripped reports that a scheduler's circuit breaker stopped the traffic of the new
// version.
type Tripped struct {
	Pool   string `cbor:"pool"`
	Reason string `cbor:"reason"`
}

// OperatorAbort rolls the rollout back.
type OperatorAbort struct {
	Reason string `cbor:"reason"`
}

// Tick advances the time. It is sent about once a second. Decisions that depend on
// the time or on the Judge are made at ticks.
type Tick struct{}

func (Started) event()           {}
func (Resumed) event()           {}
func (BudgetChanged) event()     {}
func (EndpointAnnounced) event() {}
func (Samples) event()           {}
func (OrderResult) event()       {}
func (StateRead) event()         {}
func (VersionReady) event()      {}
func (EndpointLost) event()      {}
func (LoadFailed) event()        {}
func (Tripped) event()           {}
func (OperatorAbort) event()     {}
func (Tick) event()              {}

// Effect is one of the effect types of this file. No other package can add one.
// All effects are idempotent.
type Effect interface{ effect() }

// SetShare sets the new version's share of the model's traffic. The value is
// absolute, so that repeating the effect changes nothing.
type SetShare struct {
	RolloutID string
	Version   string
	PerMille  int // 0 to 1000
}

// PlaceOrder sends an order to an endpoint. The order ID is derived from the
// rollout, endpoint, version and attempt, so that a repeated order is recognized.
type PlaceOrder struct {
	EndpointID string
	Order      brengine.Order
}

// ReadState reads the state of an endpoint. The response is a StateRead event.
type ReadState struct {
	EndpointID string
}

// Finish commits the outcome, Finished or RolledBack. Only the first commit takes
// effect.
type Finish struct {
	RolloutID string
	Outcome   Phase
	Reason    string
	At        time.Time
}

// Note adds a line to the timeline.
type Note struct {
	RolloutID string
	Text      string
}

func (SetShare) effect()   {}
func (PlaceOrder) effect() {}
func (ReadState) effect()  {}
func (Finish) effect()     {}
func (Note) effect()       {}
