package brdaemon

import (
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brpool"
	"bramleyroute/brstate"
)

// rolloutsOf returns the rollout that splits a pool's traffic: the latest one
// of its model that covers the pool, running or ended. Earlier ones must be
// left out, because a request belongs to the first rollout that the pool
// receives.
func rolloutsOf(v brstate.View, model, pool string) []brpool.Rollout {
	o, ok := latestRollout(v.Rollouts, func(o brstate.Rollout) bool {
		return o.Model == model && (o.Pool == "" || o.Pool == pool)
	})
	if !ok {
		return nil
	}
	share := o.SharePerMille
	switch o.Outcome {
	case brstate.Finished:
		share = brstate.FullShare
	case brstate.RolledBack:
		share = 0
	}
	return []brpool.Rollout{{
		ID: o.ID, Old: o.From, New: o.To, PerMille: share, Excluded: excludedRoutes(o), Targets: targetsOf(v.Configuration, model),
	}}
}

// latestRollout returns the selected rollout that started last. A model has one
// running rollout at a time, so the row with the highest revision is the
// latest.
func latestRollout(rows []brstate.Rollout, selected func(brstate.Rollout) bool) (last brstate.Rollout, ok bool) {
	for _, o := range rows {
		if selected(o) && (!ok || o.Revision > last.Revision) {
			last, ok = o, true
		}
	}
	return last, ok
}

// excludedRoutes returns the routes that get no traffic on the new version
// while the rollout is active.
func excludedRoutes(o brstate.Rollout) []string {
	if !o.Active() {
		return nil
	}
	return o.Tripped
}

func targetsOf(doc brconfig.Document, model string) []brpool.Target {
	var list []brpool.Target
	seen := map[string]bool{}
	for _, t := range doc.Templates {
		for _, rt := range t.Routes {
			if rt.Model != model || seen[rt.Name] {
				continue
			}
			seen[rt.Name] = true
			list = append(list, brpool.Target{Route: rt.Name, FirstToken: rt.FirstToken(), Token: time.Duration(rt.TokenMS) * time.Millisecond})
		}
	}
	return list
}
