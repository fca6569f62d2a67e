package brrollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleyroute/brengine"
)

// move sends the orders that are due: again for loads that were not accepted,
// and new ones until enough endpoints serve the version that is wanted.
func (t *turn) move() {
	loading := 0
	for i, e := range t.Endpoints {
		if e.Placement != Loading {
			continue
		}
		switch {
		case t.now.Sub(e.LoadingAt) > t.loadTimeout():
			t.loadFailed(e.ID, e.Loads)
			continue
		case !e.Accepted && t.now.Sub(e.OrderedAt) >= t.scaled(resendInterval):
			t.send(i)
		}
		loading++
	}
	from, to, want := t.goal()
	ready, _ := t.count(to)
	for missing := want - ready - loading; missing > 0; missing-- {
		i := t.candidate(from, to, loading)
		if i < 0 {
			return
		}
		if !t.load(i, to, loading) {
			return
		}
		loading++
	}
}

// goal returns which version is to be replaced by which, on how many endpoints.
func (t *turn) goal() (from, to string, want int) {
	switch t.Phase {
	case Running:
		return t.OldVersion, t.NewVersion, t.wanted(t.Stage)
	case Finished:
		return t.OldVersion, t.NewVersion, t.present()
	}
	return t.NewVersion, t.OldVersion, t.present()
}

// candidate returns the index of the next endpoint to move, or -1. Endpoints
// with few attempts come first, then those of the failure domain with the
// fewest moved, so that each domain keeps endpoints of both versions.
func (t *turn) candidate(from, to string, loading int) int {
	if loading >= max(1, int(loadingPart*float64(t.present()))) {
		return -1
	}
	moved := map[string]int{}
	for _, e := range t.Endpoints {
		if e.Placement == Loading || e.Placement == Serving && e.Version == to {
			moved[e.FailureDomain]++
		}
	}
	best := -1
	for i, e := range t.Endpoints {
		if e.Placement != Serving || e.Version != from || t.now.Before(e.RetryAt) || !t.spare(e) {
			continue
		}
		if best < 0 || compareMoves(e, t.Endpoints[best], moved) < 0 {
			best = i
		}
	}
	return best
}

func compareMoves(a, b Endpoint, moved map[string]int) int {
	return cmp.Or(
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(moved[a.FailureDomain], moved[b.FailureDomain]),
		cmp.Compare(a.ID, b.ID),
	)
}

// spare reports whether the others carry the present work without e. It is true
// when a capacity is unknown.
func (t *turn) spare(e Endpoint) bool {
	capacity := 0
	for _, o := range t.Endpoints {
		if o.Placement != Serving || o.ID == e.ID {
			continue
		}
		if o.CapacityTokens == 0 {
			return true
		}
		capacity += o.CapacityTokens
	}
	return t.Smoothed <= usablePart*float64(capacity)
}

// load begins to load version on endpoint i, if the budget allows it.
func (t *turn) load(i int, version string, loading int) bool {
	budget, ok := t.Budget.Take(t.now, loading, t.LoadBytes)
	if !ok {
		return false
	}
	t.Budget = budget
	e := t.own(i)
	e.Placement, e.Loads, e.LoadingAt = Loading, version, t.now
	e.Accepted = false
	e.Attempt++
	t.send(i)
	return true
}

// send sends the order of endpoint i, or does what must come before.
func (t *turn) send(i int) {
	e := t.own(i)
	plan := OrderPlan{ChecksFencing: e.ChecksFencing, FormerLeaseBy: t.FormerLeaseBy, Order: t.order(*e)}
	if e.Confirmed {
		plan.Read = &brengine.State{Version: e.Version}
	}
	e.OrderedAt = t.now
	switch plan.Next(t.now).Action {
	case OrderSend:
		t.emit(PlaceOrder{e.ID, plan.Order})
	case OrderRead:
		e.ReadAt = t.now
		t.emit(ReadState{e.ID})
	case OrderWait, OrderHold, OrderDone:
		// A later tick asks again.
	}
}

func (t *turn) order(e Endpoint) brengine.Order {
	return brengine.Order{
		OrderID:      fmt.Sprintf("%s/%s/%s/%d", t.RolloutID, e.ID, e.Loads, e.Attempt),
		Kind:         brengine.OrderLoadVersion,
		Model:        t.Model,
		Version:      e.Loads,
		FencingToken: t.FencingToken,
	}
}

func (t *turn) orderResult(r OrderResult) {
	i := t.index(r.EndpointID)
	if i < 0 || t.Endpoints[i].Placement != Loading || t.order(t.Endpoints[i]).OrderID != r.OrderID {
		return
	}
	e := t.own(i)
	switch r.Answer {
	case OrderAccepted:
		if !e.Accepted && e.Loads == t.NewVersion {
			t.OrderFails = t.OrderFails.after(0, 1)
		}
		e.Accepted = true
	case OrderRefused:
		if e.Loads == t.NewVersion {
			t.OrderFails = t.OrderFails.after(1, 0)
		}
		t.retryLater(e)
		t.checkFails(t.OrderFails, "orders to load the new version were refused")
	}
	// Unreachable: the order may have arrived, so the same order is sent again.
}

// stateRead takes over what an endpoint says of itself. A read that was asked
// for before the former lease ended proves nothing and is ignored.
func (t *turn) stateRead(r StateRead) {
	i := t.index(r.State.EndpointID)
	if i < 0 || t.Endpoints[i].ReadAt.IsZero() || t.Endpoints[i].ReadAt.Before(t.FormerLeaseBy) {
		return
	}
	e := t.own(i)
	e.Confirmed, e.Version = true, r.State.Version
	switch {
	case r.State.Loading != "":
		e.Placement, e.Loads, e.Accepted = Loading, r.State.Loading, true
	case e.Placement == Loading && e.Version == e.Loads:
		e.Placement = Serving
	case e.Placement == Loading:
		e.OrderedAt = time.Time{} // the next tick sends the order
	}
}

func (t *turn) ready(r VersionReady) {
	i := t.index(r.EndpointID)
	if i < 0 {
		return
	}
	e := t.Endpoints[i]
	if e.Placement == Loading && e.Loads != r.Version || e.Placement == Serving && e.Version == r.Version {
		return
	}
	p := t.own(i)
	if p.Placement == Loading && r.Version == t.NewVersion {
		t.LoadFails = t.LoadFails.after(0, 1)
	}
	p.Placement, p.Version, p.Loads = Serving, r.Version, ""
}

func (t *turn) lost(l EndpointLost) {
	i := t.index(l.EndpointID)
	if i < 0 || t.Endpoints[i].Placement == Lost {
		return
	}
	t.own(i).Placement = Lost
	t.applyShare()
	if t.Phase == Running && t.present() < 2 {
		t.takeBack("fewer than two endpoints are left")
	}
}

func (t *turn) loadFailed(id, version string) {
	i := t.index(id)
	if i < 0 || t.Endpoints[i].Placement != Loading || t.Endpoints[i].Loads != version {
		return
	}
	e := t.own(i)
	if version == t.NewVersion {
		t.LoadFails = t.LoadFails.after(1, 0)
	}
	t.retryLater(e)
	t.checkFails(t.LoadFails, "loads of the new version failed")
}

func (t *turn) retryLater(e *Endpoint) {
	delay := t.scaled(min(retryDelay<<min(e.Attempt, 8), maxRetryDelay))
	e.Placement, e.Loads, e.RetryAt = Serving, "", t.now.Add(delay)
}

// checkFails takes the rollout back when a test of failures says so.
func (t *turn) checkFails(f FailTest, what string) {
	if f.Score >= failLimit {
		t.takeBack(fmt.Sprintf("%d of %d %s", f.Failed, f.Failed+f.Done, what))
	}
}

// seen adds or updates an endpoint.
func (t *turn) seen(target Target) {
	i := t.index(target.ID)
	if i < 0 {
		t.Endpoints = append(slices.Clone(t.Endpoints), Endpoint{Target: target, Placement: Serving})
		t.owned = true
		return
	}
	e := t.own(i)
	if e.Placement == Lost {
		e.Placement, e.Version, e.Confirmed = Serving, target.Version, false
	}
	target.Version = e.Version
	e.Target = target
}

func (t *turn) index(id string) int {
	return slices.IndexFunc(t.Endpoints, func(e Endpoint) bool { return e.ID == id })
}

// own returns endpoint i for writing.
func (t *turn) own(i int) *Endpoint {
	if !t.owned {
		t.Endpoints = slices.Clone(t.Endpoints)
		t.owned = true
	}
	return &t.Endpoints[i]
}
