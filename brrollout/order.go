package brrollout

import (
	"time"

	"bramleyroute/brengine"
)

// OrderAction says what is to be done next about an order.
type OrderAction uint8

// The actions.
const (
	OrderSend OrderAction = iota // send the order
	OrderWait                    // wait until OrderStep.Until
	OrderRead                    // read the endpoint's state back first
	OrderDone                    // nothing: the endpoint has or is loading what the order asks for
	OrderHold                    // the endpoint is busy with another load; read it again later
)

// OrderPlan holds what decides whether an order may be sent to an endpoint.
//
// An endpoint that checks fencing tokens refuses a former owner's orders by
// itself, so the order is sent at once. One that ignores tokens could still get
// a former owner's order after the new owner's; the new owner therefore waits
// until the former lease has ended, and then reads the state back, because the
// last order of the former owner may already be in progress there.
type OrderPlan struct {
	ChecksFencing bool
	FormerLeaseBy time.Time       // latest end of the former owner's lease; zero if there was none
	Read          *brengine.State // state read back after FormerLeaseBy, or nil
	Order         brengine.Order
}

// OrderStep is the next step of an OrderPlan.
type OrderStep struct {
	Action OrderAction
	Until  time.Time // with OrderWait
}

// Next returns the next step at now.
func (p OrderPlan) Next(now time.Time) OrderStep {
	switch {
	case p.ChecksFencing || p.FormerLeaseBy.IsZero():
		return OrderStep{Action: OrderSend}
	case now.Before(p.FormerLeaseBy):
		return OrderStep{Action: OrderWait, Until: p.FormerLeaseBy}
	case p.Read == nil:
		return OrderStep{Action: OrderRead}
	case p.Read.Loading == p.Order.Version || p.Read.Loading == "" && p.Read.Version == p.Order.Version:
		return OrderStep{Action: OrderDone}
	case p.Read.Loading != "":
		return OrderStep{Action: OrderHold}
	}
	return OrderStep{Action: OrderSend}
}
