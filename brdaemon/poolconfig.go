package brdaemon

import (
	"bramleyroute/brpool"
	"bramleyroute/brstate"
)

// configure passes the limits and rollouts of a view to the pool.
func (r *poolRunner) configure(v brstate.View) {
	model := modelOf(r.name)
	limits := brpool.SetLimits{Weights: map[string]int{}}
	for _, m := range v.Configuration.Models {
		if m.Name == model {
			limits.Model = m
		}
	}
	for _, c := range v.Configuration.Customers {
		limits.Weights[c.Name] = max(c.Weight, 1)
	}
	r.post(limits)
	r.post(brpool.SetRollouts{Rollouts: rolloutsOf(v, model, r.name)})
}
