package brdaemon

import (
	"context"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brpool"
	"bramleyroute/brrollout"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

func (o *rollouts) budget() brrollout.Budget {
	return brrollout.Budget{BytesPerSecond: float64(o.leader.control.daemon.settings.WeightStoreBytesPerSecond)}
}

// divideBudget gives each rollout that may still load versions an equal share
// of the weight store's rate. This includes rollouts that have ended and still
// move endpoints.
func (o *rollouts) divideBudget(v brstate.View) {
	n := 0
	for _, row := range v.Rollouts {
		r := o.runs[row.ID]
		if row.Active() || r != nil && r.state.LoadsPending() {
			n++
		}
	}
	if n == o.budgetDivisor {
		return
	}
	o.budgetDivisor = n
	for id := range o.runs {
		o.stepOne(id, brrollout.BudgetChanged{Budget: o.budget().Divide(max(1, n))})
	}
}

// loadSuspension is how long an endpoint that got an order to load receives no
// new work, unless it announces the end of the load earlier.
const loadSuspension = 2 * time.Minute

// sendSuspension asks the owner of an endpoint's pool to give the endpoint no
// new work while it loads a version. A duration of 0 ends the suspension.
func (o *rollouts) sendSuspension(ctx context.Context, a brwire.Announce, version string, duration time.Duration) error {
	w, _ := o.leader.control.view().Owner(a.Pool())
	c := o.leader.control.daemon.connTo(w.Holder)
	if c == nil {
		return brerror.New(brerror.NotOwner, "the owner of pool %s can't be reached; the order was not sent", a.Pool())
	}
	_, err := brpeer.Call[brwire.PoolMessage[brpool.SuspendForLoad], brwire.EmptyReply](ctx, c, nameSuspendForLoad,
		brwire.PoolMessage[brpool.SuspendForLoad]{Pool: a.Pool(), Message: brpool.SuspendForLoad{EndpointID: a.EndpointID, Version: version, Duration: duration}})
	return err
}

// resendSuspensions sends the suspensions of endpoints that are loading to a
// pool's new owner.
func (o *rollouts) resendSuspensions(model, pool string) {
	for _, r := range o.runs {
		if r.state.Model != model {
			continue
		}
		for _, e := range r.state.Endpoints {
			a := o.endpointsByModel[model][e.ID]
			if e.Placement != brrollout.Loading || a.EndpointID == "" || a.Pool() != pool {
				continue
			}
			o.leader.control.wg.Go(func() {
				ctx, cancel := context.WithTimeout(o.leader.ctx, orderTimeout)
				defer cancel()
				_ = o.sendSuspension(ctx, a, e.LoadingVersion, loadSuspension) // the endpoint's announcement follows in any case
			})
		}
	}
}

// requestFullReports requests a full report from the owners of pools whose
// model has a rollout that is active or ended less than postRolloutPeriod ago,
// until one has arrived. Without it a new leader would have no endpoint
// addresses for up to fullReportInterval.
func (o *rollouts) requestFullReports(v brstate.View) {
	now := o.leader.control.daemon.clock.Now()
	if now.Sub(o.lastFullReportRequest) < fullReportRequestInterval {
		return
	}
	o.lastFullReportRequest = now
	for _, w := range v.Owners {
		if w.Holder == "" || o.fullReportFrom[w.Pool] == w.Holder {
			continue
		}
		last, ok := latestRollout(v.Rollouts, func(x brstate.Rollout) bool { return x.Model == modelOf(w.Pool) })
		if !ok || !last.Active() && now.Sub(last.EndedAt) >= postRolloutPeriod {
			continue
		}
		if c := o.leader.control.daemon.connTo(w.Holder); c != nil {
			_ = brpeer.Push(c, nameRequestEndpoints, brwire.Locate{Pool: w.Pool})
		}
	}
}

// allPoolsReported reports whether a model has pools and each of them has an
// owner whose full report has arrived.
func (o *rollouts) allPoolsReported(model string) bool {
	n := 0
	for _, w := range o.leader.control.view().Owners {
		if modelOf(w.Pool) != model {
			continue
		}
		if w.Holder == "" || o.fullReportFrom[w.Pool] != w.Holder {
			return false
		}
		n++
	}
	return n > 0
}
