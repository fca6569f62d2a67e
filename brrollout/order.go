package brrollout

import (
	"time"

	"bramleyroute/brengine"
)

// OrderAction is the next action for an order.
type OrderAction uint8

// Actions for an order.
const (
	OrderSend OrderAction = iota // send the order
	OrderWait                    // wait until OrderStep.Until
	OrderRead                    // read the endpoint's state first
	OrderDone                    // nothing: the endpoint serves or is loading the ordered version
	OrderHold                    // the endpoint is loading another version; read its state again later
)

// OrderPlan determines whether an order may be sent to an endpoint.
//
// An endpoint that checks fencing tokens rejects orders of a former owner, so the
// order is sent at once. An endpoint that ignores tokens could receive an order of
// the former owner after one of the new owner. The new owner therefore waits until
// the former lease has ended and then reads the endpoint's state, because the last
// order of the former owner may still be in progress.
type OrderPlan struct {
	ChecksFencing  bool
	FormerLeaseEnd time.Time       // latest end of the former owner's lease; zero if there was none
	Read           *brengine.State // state read after FormerLeaseEnd, or nil
	Order          brengine.Order
}

// OrderStep is the next step of an OrderPlan.
type OrderStep struct {
	Action OrderAction
	Until  time.Time // set with OrderWait
}

// Next returns the next step at now.
func (p OrderPlan) Next(now time.Time) OrderStep {
	switch {
	case p.ChecksFencing || p.FormerLeaseEnd.IsZero():
		return OrderStep{Action: OrderSend}
	case now.Before(p.FormerLeaseEnd):
		return OrderStep{Action: OrderWait, Until: p.FormerLeaseEnd}
	case p.Read == nil:
		return OrderStep{Action: OrderRead}
	case p.Read.Loading == p.Order.Version || p.Read.Loading == "" && p.Read.Version == p.Order.Version:
		return OrderStep{Action: OrderDone}
	case p.Read.Loading != "":
		return OrderStep{Action: OrderHold}
	}
	return OrderStep{Action: OrderSend}
}
