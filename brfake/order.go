package brfake

import (
	"encoding/json"
	"net/http"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

// maxOrderLog limits the number of orders recorded in Counts.
const maxOrderLog = 1000

func (e *Endpoint) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.state
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o brengine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, brerror.InvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	refusal := e.executeOrder(o)
	if len(e.counts.OrderLog) < maxOrderLog {
		e.counts.OrderLog = append(e.counts.OrderLog, OrderRecord{At: time.Now(), OrderID: o.OrderID, Version: o.Version, FencingToken: o.FencingToken, Refusal: refusal})
	}
	s := e.state
	e.mu.Unlock()
	if refusal != "" {
		writeError(w, brerror.OrderRefused, refusal)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// executeOrder executes an order and returns the reason if it refuses the order, or
// "". A repetition of the last executed order ID has no effect.
func (e *Endpoint) executeOrder(o brengine.Order) string {
	e.counts.Orders++
	if e.currentFaults().RefuseOrders {
		e.counts.OrdersRefused++
		return "orders are refused because of an injected fault"
	}
	if e.config.ChecksFencing {
		if o.FencingToken < e.state.FencingToken {
			e.counts.OrdersRefused++
			return "stale fencing token"
		}
		e.state.FencingToken = o.FencingToken
	}
	if o.OrderID == e.state.LastOrderID {
		return ""
	}
	e.state.LastOrderID = o.OrderID
	switch o.Kind {
	case brengine.OrderLoadVersion, brengine.OrderLoadModel, brengine.OrderLoadAdapter:
		e.state.Loading = o.Version
		if o.Kind == brengine.OrderLoadAdapter {
			e.state.Loading = o.Adapter
		}
		e.wg.Go(func() { e.completeLoad(o, e.config.LoadTime) })
	case brengine.OrderChangeRole:
		e.state.Role = o.Role
	case brengine.OrderLeave:
		e.state.Leaving = true
	}
	return ""
}

// completeLoad completes a load order after a delay, unless a later load order has
// replaced it.
func (e *Endpoint) completeLoad(o brengine.Order, delay time.Duration) {
	if !e.wait(delay) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	target := o.Version
	if o.Kind == brengine.OrderLoadAdapter {
		target = o.Adapter
	}
	if e.state.Loading != target {
		return
	}
	e.state.Loading = ""
	if f := e.faults[target]; f.FailLoad == target || e.faults[""].FailLoad == target {
		e.failedLoads = append(e.failedLoads, target)
		return
	}
	if o.Kind == brengine.OrderLoadAdapter {
		e.state.Adapters = append(e.state.Adapters[:len(e.state.Adapters):len(e.state.Adapters)], o.Adapter)
		return
	}
	e.state.Version = o.Version
	if o.Model != "" {
		e.state.Model = o.Model
	}
}
