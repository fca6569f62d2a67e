package brdaemon

import (
	"strings"

	"bramleyroute/brconfig"
	"bramleyroute/brpool"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
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
	r.post(brpool.SetEvacuated{Domains: v.EvacuatedDomains()})
	r.post(brpool.SetRollouts{Rollouts: rolloutsOf(v, model, r.name)})
}

func modelOf(pool string) string {
	model, _, _ := strings.Cut(pool, "@")
	return model
}

func regionOf(pool string) string {
	_, region, _ := strings.Cut(pool, "@")
	return region
}

func poolKind(doc brconfig.Document, model string) brwire.EndpointKind {
	for _, m := range doc.Models {
		if m.Name == model && m.Kind == string(brwire.KindService) {
			return brwire.KindService
		}
	}
	return brwire.KindEngine
}
