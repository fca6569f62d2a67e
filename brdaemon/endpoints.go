package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpool"
	"bramleyroute/brwire"
)

const (
	nameEndpoints    = "endpoints"
	nameAskEndpoints = "ask_endpoints"
	nameLoad         = "load"
	// fullReportEvery and deltaEvery pace what the owner of a pool tells the
	// control leader about its endpoints during a rollout: 217 endpoints of some
	// 250 bytes in full each second would take 54 KB/s, in full each 15 s it is
	// 3.6 KB/s of the 21 KB/s that a daemon may spend.
	fullReportEvery = 15 * time.Second
	deltaEvery      = 250 * time.Millisecond
	// completeAfter is how long a daemon has known a pool before it reports in
	// full. Endpoints announce themselves each second; one that a full report
	// doesn't list counts as lost, and a restarted owner knows few at first.
	completeAfter = 3 * time.Second
)

// report notes an announcement and passes it to the pool.
func (r *poolRunner) report(a brwire.Announce) {
	r.post(brpool.EndpointReport{Announce: a})
	a.CacheEvents = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.endpoints[a.EndpointID]
	if !ok || old.Version != a.Version || old.Address != a.Address || !slices.Equal(old.FailedLoads, a.FailedLoads) {
		r.changed[a.EndpointID] = true
	}
	r.endpoints[a.EndpointID] = a
	if a.Leaving {
		delete(r.endpoints, a.EndpointID)
		r.gone = append(r.gone, a.EndpointID)
	}
}

// askEndpoints makes the next report to the control leader a full one.
func (s *scheduler) askEndpoints(pool string) {
	if r := s.find(pool); r != nil {
		r.mu.Lock()
		r.lastFull = time.Time{}
		r.mu.Unlock()
	}
}

// load returns when the pool gives no new work to an endpoint that is about to
// load a version.
func (r *poolRunner) load(ctx context.Context, l brpool.SuspendForLoad) error {
	if r.heldEpoch() == 0 {
		return brerror.New(brerror.NotOwner, "pool %s is owned by another scheduler", r.name)
	}
	done := make(chan struct{})
	select {
	case r.ask <- func() { r.step(l); close(done) }:
		<-done
		return nil
	case <-r.done:
		return brerror.New(brerror.ShuttingDown, "daemon is stopping")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endpointLost notes that an endpoint is silent or was removed.
func (r *poolRunner) endpointLost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, id)
	r.gone = append(r.gone, id)
}

// reportEndpoints tells the control leader what changed while the model has a
// rollout that isn't over.
func (r *poolRunner) reportEndpoints() {
	if r.heldEpoch() == 0 || !r.hasRollout() {
		return
	}
	now := r.d.clock.Now()
	r.mu.Lock()
	rep := EndpointReport{Pool: r.name, Full: now.Sub(r.lastFull) >= fullReportEvery && now.Sub(r.began) >= completeAfter}
	if !rep.Full && (now.Sub(r.lastDelta) < deltaEvery || len(r.changed) == 0 && len(r.gone) == 0) {
		r.mu.Unlock()
		return
	}
	for id, a := range r.endpoints {
		if rep.Full || r.changed[id] {
			rep.Endpoints = append(rep.Endpoints, a)
		}
	}
	rep.Gone = r.gone
	r.gone, r.lastDelta = nil, now
	clear(r.changed)
	if rep.Full {
		r.lastFull = now
	}
	r.mu.Unlock()
	slices.SortFunc(rep.Endpoints, func(a, b brwire.Announce) int {
		if a.EndpointID < b.EndpointID {
			return -1
		}
		return 1
	})
	r.d.toControl(nameEndpoints, rep)
}

// settleTime is how long after the outcome of a rollout the endpoints are still
// reported, so that those on the other version are moved.
const settleTime = time.Hour

func (r *poolRunner) hasRollout() bool {
	model := modelOf(r.name)
	for _, o := range r.d.session.present().Rollouts {
		if o.Model == model && (o.Active() || r.d.clock.Now().Sub(o.EndedAt) < settleTime) {
			return true
		}
	}
	return false
}
