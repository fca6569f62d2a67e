package brdaemon

import (
	"bramleyroute/brpeer"
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
		if row.Active() || r != nil && r.state.Moving() {
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
