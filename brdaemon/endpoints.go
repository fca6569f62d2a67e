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
	nameEndpoints        = "endpoints"
	nameRequestEndpoints = "ask_endpoints"
	nameSuspendForLoad   = "load"
	// fullReportInterval and deltaReportInterval limit how often the owner of a
	// pool reports its endpoints to the control leader during a rollout. Full
	// reports on 217 endpoints of some 250 bytes take 54 KB/s if sent each
	// second and 3.6 KB/s if sent each 15 s, of the 21 KB/s that a daemon may
	// spend.
	fullReportInterval  = 15 * time.Second
	deltaReportInterval = 250 * time.Millisecond
	// fullReportDelay is how long a daemon has run a pool before it reports in
	// full. Endpoints announce themselves each second; one that a full report
	// doesn't list counts as lost, and a restarted owner has few announcements
	// at first.
	fullReportDelay = 3 * time.Second
)

// report records an announcement and passes it to the pool.
func (r *poolRunner) report(a brwire.Announce) {
	r.post(brpool.EndpointReport{Announce: a})
	a.CacheEvents = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.endpoints[a.EndpointID]
	if !ok || old.Version != a.Version || old.Address != a.Address || !slices.Equal(old.FailedLoads, a.FailedLoads) {
		r.changedEndpoints[a.EndpointID] = true
	}
	r.endpoints[a.EndpointID] = a
	if a.Leaving {
		delete(r.endpoints, a.EndpointID)
		r.lostEndpoints = append(r.lostEndpoints, a.EndpointID)
	}
}

// requestFullReport makes the next report to the control leader a full one.
func (s *scheduler) requestFullReport(pool string) {
	if r := s.find(pool); r != nil {
		r.mu.Lock()
		r.lastFullReport = time.Time{}
		r.mu.Unlock()
	}
}

// suspendForLoad makes the pool give no new work to an endpoint that is about
// to load a version, and returns when this is in effect.
func (r *poolRunner) suspendForLoad(ctx context.Context, l brpool.SuspendForLoad) error {
	if r.heldEpoch() == 0 {
		return brerror.New(brerror.NotOwner, "pool %s is owned by another scheduler", r.name)
	}
	done := make(chan struct{})
	select {
	case r.calls <- func() { r.step(l); close(done) }:
		<-done
		return nil
	case <-r.done:
		return brerror.New(brerror.ShuttingDown, "daemon is stopping")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endpointLost records that an endpoint has stopped announcing itself or was
// removed.
func (r *poolRunner) endpointLost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, id)
	r.lostEndpoints = append(r.lostEndpoints, id)
}

// reportEndpoints reports changed endpoints to the control leader while the
// model has a rollout that is active or ended less than postRolloutPeriod ago.
// It reports all endpoints every fullReportInterval.
func (r *poolRunner) reportEndpoints() {
	if r.heldEpoch() == 0 || !r.hasRollout() {
		return
	}
	now := r.daemon.clock.Now()
	r.mu.Lock()
	report := EndpointReport{Pool: r.name, Full: now.Sub(r.lastFullReport) >= fullReportInterval && now.Sub(r.startedAt) >= fullReportDelay}
	if !report.Full && (now.Sub(r.lastReport) < deltaReportInterval || len(r.changedEndpoints) == 0 && len(r.lostEndpoints) == 0) {
		r.mu.Unlock()
		return
	}
	for id, a := range r.endpoints {
		if report.Full || r.changedEndpoints[id] {
			report.Endpoints = append(report.Endpoints, a)
		}
	}
	report.Lost = r.lostEndpoints
	r.lostEndpoints, r.lastReport = nil, now
	clear(r.changedEndpoints)
	if report.Full {
		r.lastFullReport = now
	}
	r.mu.Unlock()
	slices.SortFunc(report.Endpoints, func(a, b brwire.Announce) int {
		if a.EndpointID < b.EndpointID {
			return -1
		}
		return 1
	})
	r.daemon.toControl(nameEndpoints, report)
}

// postRolloutPeriod is how long after the outcome of a rollout the endpoints
// are still reported, so that those on the other version are moved.
const postRolloutPeriod = time.Hour

func (r *poolRunner) hasRollout() bool {
	model := modelOf(r.name)
	for _, o := range r.daemon.session.currentView().Rollouts {
		if o.Model == model && (o.Active() || r.daemon.clock.Now().Sub(o.EndedAt) < postRolloutPeriod) {
			return true
		}
	}
	return false
}
