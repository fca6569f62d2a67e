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
	return brrollout.Budget{BytesPerSecond: float64(o.l.c.d.settings.WeightStoreBytesPerSecond)}
}

// divideBudget gives each rollout that may still load an equal part of the
// weight store's rate, those that ended and still move endpoints included.
func (o *rollouts) divideBudget(v brstate.View) {
	n := 0
	for _, row := range v.Rollouts {
		r := o.runs[row.ID]
		if row.Active() || r != nil && r.state.LoadsPending() {
			n++
		}
	}
	if n == o.shares {
		return
	}
	o.shares = n
	for id := range o.runs {
		o.stepOne(id, brrollout.BudgetChanged{Budget: o.budget().Divide(max(1, n))})
	}
}

// loadHold is how long an endpoint that got an order to load gets no new work
// unless it announces the end of the load before.
const loadHold = 2 * time.Minute

// tellOwner tells the owner of an endpoint's pool that the endpoint is about to
// load a version, or, with a wait of 0, that it won't.
func (o *rollouts) tellOwner(ctx context.Context, a brwire.Announce, version string, wait time.Duration) error {
	w, _ := o.l.c.view().Owner(a.Pool())
	c := o.l.c.d.connTo(w.Holder)
	if c == nil {
		return brerror.New(brerror.NotOwner, "the owner of pool %s can't be reached; the order was not sent", a.Pool())
	}
	_, err := brpeer.Call[brwire.PoolMessage[brpool.SuspendForLoad], brwire.EmptyReply](ctx, c, nameLoad,
		brwire.PoolMessage[brpool.SuspendForLoad]{Pool: a.Pool(), Message: brpool.SuspendForLoad{EndpointID: a.EndpointID, Version: version, For: wait}})
	return err
}

// repeatLoads tells a pool's new owner which of its endpoints are loading.
func (o *rollouts) repeatLoads(model, pool string) {
	for _, r := range o.runs {
		if r.state.Model != model {
			continue
		}
		for _, e := range r.state.Endpoints {
			a := o.models[model][e.ID]
			if e.Placement != brrollout.Loading || a.EndpointID == "" || a.Pool() != pool {
				continue
			}
			o.l.c.wg.Go(func() {
				ctx, cancel := context.WithTimeout(o.l.ctx, orderTimeout)
				defer cancel()
				_ = o.tellOwner(ctx, a, e.LoadingVersion, loadHold) // the endpoint's announcement follows in any case
			})
		}
	}
}

// askOwners asks the owners of pools whose model's last rollout matters for a
// full report, until one has come. Without it a new leader would know no address
// for up to fullReportEvery.
func (o *rollouts) askOwners(v brstate.View) {
	now := o.l.c.d.clock.Now()
	if now.Sub(o.asked) < askEvery {
		return
	}
	o.asked = now
	for _, w := range v.Owners {
		if w.Holder == "" || o.full[w.Pool] == w.Holder {
			continue
		}
		last, ok := latestRollout(v.Rollouts, func(x brstate.Rollout) bool { return x.Model == modelOf(w.Pool) })
		if !ok || !last.Active() && now.Sub(last.EndedAt) >= settleTime {
			continue
		}
		if c := o.l.c.d.connTo(w.Holder); c != nil {
			_ = brpeer.Push(c, nameAskEndpoints, brwire.Locate{Pool: w.Pool})
		}
	}
}

// reported reports whether every pool of a model has an owner whose full report
// has come.
func (o *rollouts) reported(model string) bool {
	n := 0
	for _, w := range o.l.c.view().Owners {
		if modelOf(w.Pool) != model {
			continue
		}
		if w.Holder == "" || o.full[w.Pool] != w.Holder {
			return false
		}
		n++
	}
	return n > 0
}
