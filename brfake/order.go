package brfake

import (
	"encoding/json"
	"net/http"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

// maxOrderLog bounds the orders that are kept for Counts.
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
		fail(w, brerror.InvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	refusal := e.obey(o)
	if len(e.counts.OrderLog) < maxOrderLog {
		e.counts.OrderLog = append(e.counts.OrderLog, OrderSeen{At: time.Now(), OrderID: o.OrderID, Version: o.Version, FencingToken: o.FencingToken, Refusal: refusal})
	}
	s := e.state
	e.mu.Unlock()
	if refusal != "" {
		fail(w, brerror.OrderRefused, refusal)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// obey carries an order out and returns the reason when it is refused. An order
// id that is repeated has no second effect.
func (e *Endpoint) obey(o brengine.Order) string {
	e.counts.Orders++
	if e.faultsNow().RefuseOrders {
		e.counts.OrdersRefused++
		return "orders are refused by setting"
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
		e.wg.Go(func() { e.load(o, e.config.LoadTime) })
	case brengine.OrderChangeRole:
		e.state.Role = o.Role
	case brengine.OrderLeave:
		e.state.Leaving = true
	}
	return ""
}

// load finishes an order to load after its load time, unless a later order to
// load has replaced it.
func (e *Endpoint) load(o brengine.Order, after time.Duration) {
	if !e.pause(after) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	what := o.Version
	if o.Kind == brengine.OrderLoadAdapter {
		what = o.Adapter
	}
	if e.state.Loading != what {
		return
	}
	e.state.Loading = ""
	if f := e.faults[what]; f.FailLoad == what || e.faults[""].FailLoad == what {
		e.failed = append(e.failed, what)
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
