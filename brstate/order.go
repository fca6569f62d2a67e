package brstate

import (
	"slices"
	"time"

	"bramleyroute/brerror"
)

// Limits of the recorded orders.
const (
	OrderRetention  = 24 * time.Hour // since PlacedAt
	MaxOrders       = 20_000
	maxMessageBytes = 1024
)

// Order is an order to an endpoint. Its fencing token is PlaceOrder.Epoch.
type Order struct {
	PlaceOrder
	PlacedAt time.Time `cbor:"placed_at" json:"placed_at"`
	Done     bool      `cbor:"done" json:"done"`
	DoneAt   time.Time `cbor:"done_at" json:"done_at"` // zero unless Done
	OK       bool      `cbor:"ok" json:"ok"`
	Message  string    `cbor:"message,omitempty" json:"message,omitempty"`
}

// orders holds the recorded orders by ID and, in ids, the sequence in which they
// were placed.
type orders struct {
	byID map[string]Order
	ids  []string
}

func (s *State) placeOrder(c PlaceOrder) (Order, error) {
	if err := checkIDs("id", c.ID, "endpoint_id", c.EndpointID, "kind", c.Kind); err != nil {
		return Order{}, err
	}
	if len(c.Version) > MaxIDBytes || len(c.Adapter) > MaxIDBytes || len(c.Role) > MaxIDBytes {
		return Order{}, brerror.New(brerror.InvalidRequest, "version, adapter and role have at most %d bytes", MaxIDBytes)
	}
	if _, ok := s.orders.byID[c.ID]; ok {
		return Order{}, brerror.New(brerror.InvalidRequest, "an order with this id exists").WithField("id")
	}
	if l, _ := s.leases.Get(c.Lease); !l.Held() || l.Holder != c.Holder || l.Epoch != c.Epoch {
		return Order{}, brerror.New(brerror.NotOwner, "lease %.64s is not held by %.64s in epoch %d", c.Lease, c.Holder, c.Epoch)
	}
	if len(s.orders.ids) >= MaxOrders {
		return Order{}, brerror.New(brerror.Overloaded, "%d orders are on record", MaxOrders)
	}
	o := Order{PlaceOrder: c, PlacedAt: s.now}
	s.orders.put(o)
	return o, nil
}

func (o *orders) finish(c FinishOrder, now time.Time) (Order, error) {
	e, ok := o.byID[c.ID]
	if !ok {
		return Order{}, brerror.New(brerror.InvalidRequest, "no order has the id %.64q", c.ID).WithField("id")
	}
	if !e.Done {
		e.Done, e.DoneAt, e.OK, e.Message = true, now, c.OK, c.Message[:min(len(c.Message), maxMessageBytes)]
		o.byID[c.ID] = e
	}
	return e, nil
}

func (o *orders) get(id string) (Order, bool) {
	e, ok := o.byID[id]
	return e, ok
}

func (o *orders) list() []Order {
	list := make([]Order, 0, len(o.ids))
	for _, id := range o.ids {
		list = append(list, o.byID[id])
	}
	return list
}

func (o *orders) unfinished() []Order {
	return slices.DeleteFunc(o.list(), func(e Order) bool { return e.Done })
}

func (o *orders) put(e Order) {
	if o.byID == nil {
		o.byID = map[string]Order{}
	}
	o.byID[e.ID] = e
	o.ids = append(o.ids, e.ID)
}

func (o *orders) expire(now time.Time) {
	for len(o.ids) > 0 && now.Sub(o.byID[o.ids[0]].PlacedAt) >= OrderRetention {
		delete(o.byID, o.ids[0])
		o.ids = o.ids[1:]
	}
}
