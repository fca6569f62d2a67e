package brrollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleyroute/brengine"
)

// placeOrders sends the orders that are due. It resends orders that were not
// accepted, and places new ones until enough endpoints serve the version that is
// wanted.
func (t *transition) placeOrders() {
	loading := 0
	for i, e := range t.Endpoints {
		if e.Placement != Loading {
			continue
		}
		switch {
		case t.now.Sub(e.LoadingAt) > t.loadTimeout():
			t.loadFailed(e.ID, e.LoadingVersion)
			continue
		case !e.Accepted && t.now.Sub(e.OrderedAt) >= t.scaled(resendInterval):
			t.sendOrder(i)
		}
		loading++
	}
	from, to, want := t.goal()
	ready, _ := t.countEndpoints(to)
	for needed := want - ready - loading; needed > 0; needed-- {
		i := t.candidate(from, to, loading)
		if i < 0 {
			return
		}
		if !t.startLoad(i, to, loading) {
			return
		}
		loading++
	}
}

// goal returns the version to replace, the version to replace it with, and the
// number of endpoints that should serve the latter.
func (t *transition) goal() (from, to string, want int) {
	switch t.Phase {
	case Running:
		return t.OldVersion, t.NewVersion, t.endpointsNeeded(t.loadStage())
	case Finished:
		return t.OldVersion, t.NewVersion, t.presentEndpoints()
	}
	return t.NewVersion, t.OldVersion, t.presentEndpoints()
}

// loadStage returns the stage for which endpoints are loaded. The first later stage loads no
// more of them while its share is low: the old version's endpoints could not carry the rest
// then. Later stages load them, since there is too little time left to do so afterwards.
func (t *transition) loadStage() int {
	if t.Stage == earlyStages && t.awaitsClarity() {
		return earlyStages - 1
	}
	return t.Stage
}

// candidate returns the index of the next endpoint to load, or -1. Endpoints with
// the fewest attempts come first, then those of the failure domain with the fewest
// endpoints that are loading or already serve version to, so that each domain keeps
// endpoints of both versions.
func (t *transition) candidate(from, to string, loading int) int {
	if loading >= max(1, int(loadingFraction*float64(t.presentEndpoints()))) {
		return -1
	}
	perDomain := map[string]int{}
	for _, e := range t.Endpoints {
		if e.Placement == Loading || e.Placement == Serving && e.Version == to {
			perDomain[e.FailureDomain]++
		}
	}
	best := -1
	for i, e := range t.Endpoints {
		if e.Placement != Serving || e.Version != from || t.now.Before(e.RetryAt) || !t.canSpare(e) {
			continue
		}
		if best < 0 || compareCandidates(e, t.Endpoints[best], perDomain) < 0 {
			best = i
		}
	}
	return best
}

func compareCandidates(a, b Endpoint, perDomain map[string]int) int {
	return cmp.Or(
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(perDomain[a.FailureDomain], perDomain[b.FailureDomain]),
		cmp.Compare(a.ID, b.ID),
	)
}

// canSpare reports whether the other endpoints can carry the current load without e.
// It returns true if a capacity is unknown.
func (t *transition) canSpare(e Endpoint) bool {
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
	return t.SmoothedLoad <= usableFraction*float64(capacity)
}

// startLoad starts to load version on endpoint i and reports whether the budget
// allows it.
func (t *transition) startLoad(i int, version string, loading int) bool {
	budget, ok := t.Budget.Take(t.now, loading, t.LoadBytes)
	if !ok {
		return false
	}
	t.Budget = budget
	e := t.mutable(i)
	e.Placement, e.LoadingVersion, e.LoadingAt = Loading, version, t.now
	e.Accepted = false
	e.Attempt++
	t.sendOrder(i)
	return true
}

// sendOrder sends the order for endpoint i, or performs the step that must come
// before it.
func (t *transition) sendOrder(i int) {
	e := t.mutable(i)
	plan := OrderPlan{ChecksFencing: e.ChecksFencing, FormerLeaseEnd: t.FormerLeaseEnd, Order: t.order(*e)}
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
		// The order is checked again at a later tick.
	}
}

func (t *transition) order(e Endpoint) brengine.Order {
	return brengine.Order{
		OrderID:      fmt.Sprintf("%s/%s/%s/%d", t.RolloutID, e.ID, e.LoadingVersion, e.Attempt),
		Kind:         brengine.OrderLoadVersion,
		Model:        t.Model,
		Version:      e.LoadingVersion,
		FencingToken: t.FencingToken,
	}
}

func (t *transition) orderResult(r OrderResult) {
	i := t.index(r.EndpointID)
	if i < 0 || t.Endpoints[i].Placement != Loading || t.order(t.Endpoints[i]).OrderID != r.OrderID {
		return
	}
	e := t.mutable(i)
	switch r.Status {
	case OrderAccepted:
		if !e.Accepted && e.LoadingVersion == t.NewVersion {
			t.OrderFails = t.OrderFails.withResults(0, 1)
		}
		e.Accepted = true
	case OrderRefused:
		if e.LoadingVersion == t.NewVersion {
			t.OrderFails = t.OrderFails.withResults(1, 0)
		}
		t.retryLater(e)
		t.checkFailTest(t.OrderFails, "orders to load the new version were refused")
	}
	// After OrderUnreachable the order may have arrived, so the same order is resent.
}

// stateRead updates an endpoint from its reported state. The response to a read
// sent before the former lease ended is ignored, because an order of the former
// owner may still have followed it.
func (t *transition) stateRead(r StateRead) {
	i := t.index(r.State.EndpointID)
	if i < 0 || t.Endpoints[i].ReadAt.IsZero() || t.Endpoints[i].ReadAt.Before(t.FormerLeaseEnd) {
		return
	}
	e := t.mutable(i)
	e.Confirmed, e.Version = true, r.State.Version
	switch {
	case r.State.Loading != "":
		e.Placement, e.LoadingVersion, e.Accepted = Loading, r.State.Loading, true
	case e.Placement == Loading && e.Version == e.LoadingVersion:
		e.Placement = Serving
	case e.Placement == Loading:
		e.OrderedAt = time.Time{} // so that the next tick sends the order
	}
}

func (t *transition) versionReady(r VersionReady) {
	i := t.index(r.EndpointID)
	if i < 0 {
		return
	}
	e := t.Endpoints[i]
	if e.Placement == Loading && e.LoadingVersion != r.Version || e.Placement == Serving && e.Version == r.Version {
		return
	}
	p := t.mutable(i)
	if p.Placement == Loading && r.Version == t.NewVersion {
		t.LoadFails = t.LoadFails.withResults(0, 1)
	}
	p.Placement, p.Version, p.LoadingVersion = Serving, r.Version, ""
}

func (t *transition) endpointLost(l EndpointLost) {
	i := t.index(l.EndpointID)
	if i < 0 || t.Endpoints[i].Placement == Lost {
		return
	}
	t.mutable(i).Placement = Lost
	t.applyShare()
	if t.Phase == Running && t.presentEndpoints() < 2 {
		t.rollBack("fewer than two endpoints remain")
	}
}

func (t *transition) loadFailed(id, version string) {
	i := t.index(id)
	if i < 0 || t.Endpoints[i].Placement != Loading || t.Endpoints[i].LoadingVersion != version {
		return
	}
	e := t.mutable(i)
	if version == t.NewVersion {
		t.LoadFails = t.LoadFails.withResults(1, 0)
	}
	t.retryLater(e)
	t.checkFailTest(t.LoadFails, "loads of the new version failed")
}

func (t *transition) retryLater(e *Endpoint) {
	delay := t.scaled(min(retryDelay<<min(e.Attempt, 8), maxRetryDelay))
	e.Placement, e.LoadingVersion, e.RetryAt = Serving, "", t.now.Add(delay)
}

// checkFailTest rolls the rollout back if a failure test has reached its threshold.
func (t *transition) checkFailTest(f FailTest, what string) {
	if f.Score >= failThreshold {
		t.rollBack(fmt.Sprintf("%d of %d %s", f.Failed, f.Failed+f.Succeeded, what))
	}
}

// upsertEndpoint adds or updates an endpoint.
func (t *transition) upsertEndpoint(target Target) {
	i := t.index(target.ID)
	if i < 0 {
		t.Endpoints = append(slices.Clone(t.Endpoints), Endpoint{Target: target, Placement: Serving})
		t.cloned = true
		return
	}
	e := t.mutable(i)
	if e.Placement == Lost {
		e.Placement, e.Version, e.Confirmed = Serving, target.Version, false
	}
	target.Version = e.Version
	e.Target = target
}

func (t *transition) index(id string) int {
	return slices.IndexFunc(t.Endpoints, func(e Endpoint) bool { return e.ID == id })
}

// mutable returns endpoint i for modification. It clones the endpoints if they are
// still shared with the caller.
func (t *transition) mutable(i int) *Endpoint {
	if !t.cloned {
		t.Endpoints = slices.Clone(t.Endpoints)
		t.cloned = true
	}
	return &t.Endpoints[i]
}
