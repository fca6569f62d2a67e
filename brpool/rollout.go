package brpool

import (
	"cmp"
	"slices"
	"time"

	"bramleyroute/brroute"
	"bramleyroute/brwire"
)

// rollout is a rollout with its observations. Failures and first tokens have
// separate breakers, because a failure is observed at the end of a request and
// slowness at its first token.
type rollout struct {
	Rollout
	failures    brroute.Breaker
	firstTokens brroute.Breaker
	tripped     []string // stopped routes; "" for all
}

type sampleKey struct{ rollout, route, version string }

type sample struct {
	brwire.Samples
	outstanding int
}

// setRollouts replaces the rollouts and keeps the observations of those that stay.
func (p *Pool) setRollouts(list []Rollout) {
	old := p.rollouts
	p.rollouts = nil
	var groups []brroute.ShareGroup
	for _, ro := range list {
		ro.PerMille = min(1000, max(0, ro.PerMille))
		r := &rollout{}
		if i := slices.IndexFunc(old, func(o *rollout) bool { return o.ID == ro.ID }); i >= 0 {
			r = old[i]
		}
		r.Rollout = ro
		p.rollouts = append(p.rollouts, r)
		groups = append(groups, brroute.ShareGroup{ID: ro.ID, DefaultVersion: ro.Old, Shares: []brroute.VersionShare{
			{Version: ro.New, PerMille: ro.PerMille, Excluded: ro.Excluded},
		}})
	}
	p.table.SetShares(groups)
}

// rolloutOf returns the first rollout that includes a customer, and its ID.
func (p *Pool) rolloutOf(customer string) (*rollout, string) {
	for _, ro := range p.rollouts {
		if len(ro.Customers) == 0 || slices.Contains(ro.Customers, customer) {
			return ro, ro.ID
		}
	}
	return nil, ""
}

func (ro *rollout) target(route string) Target {
	for _, t := range ro.Targets {
		if t.Route == route {
			return t
		}
	}
	return Target{}
}

// sampleOf returns the sample of a request with a flight, or nil when its version
// belongs to no rollout.
func (p *Pool) sampleOf(r *request) *sample {
	if r.rollout == nil || r.flight == nil || r.flight.Version != r.rollout.Old && r.flight.Version != r.rollout.New {
		return nil
	}
	k := sampleKey{r.rollout.ID, r.submit.Route, r.flight.Version}
	s := p.samples[k]
	if s == nil {
		s = &sample{Samples: brwire.Samples{RolloutID: k.rollout, Pool: p.opts.Name, Route: k.route, Version: k.version}}
		p.samples[k] = s
	}
	return s
}

func (s *sample) add(tokens int) {
	if s != nil {
		s.outstanding += tokens
	}
}

// observeFirstToken passes the latency of a first token, or of a service's response,
// to the breaker. The argument elapsed is the time since the dispatch.
func (p *Pool) observeFirstToken(now time.Time, r *request, elapsed time.Duration) {
	s := p.sampleOf(r)
	if s == nil || r.pathLost {
		return
	}
	target := r.rollout.target(r.submit.Route).FirstToken
	slow := target > 0 && elapsed > target
	if slow {
		s.SlowFirst++
	}
	v, bad := r.rollout.firstTokens.Observe(now, brroute.Sample{Route: r.submit.Route, New: s.Version == r.rollout.New, Slow: slow})
	p.trip(r.rollout, v, bad)
}

// observeDone passes the result of a request that was started to the breaker. A run
// over a path that was lost is neither a failure nor a success of the version.
func (p *Pool) observeDone(now time.Time, r *request, m brwire.Done) {
	s := p.sampleOf(r)
	if s == nil || r.pathLost || m.PathFailed {
		return
	}
	if r.firstTokenAt.IsZero() && m.OK {
		elapsed := m.FirstToken
		if p.opts.Kind == brwire.KindService {
			elapsed = m.Duration
		}
		p.observeFirstToken(now, r, elapsed)
	}
	out := brroute.Sample{Route: r.submit.Route, New: s.Version == r.rollout.New}
	out.Failed = brroute.Result{OK: m.OK, Kind: m.Kind}.Failed()
	target := r.rollout.target(r.submit.Route).Token
	if m.OK && target > 0 && m.OutputTokens > 1 {
		out.Slow = (m.Duration-m.FirstToken)/time.Duration(m.OutputTokens-1) > target
	}
	s.Requests++
	if out.Failed {
		s.Errors++
	}
	if out.Slow {
		s.SlowTokens++
	}
	if r.failureCounted {
		return // counted when it stalled
	}
	v, bad := r.rollout.failures.Observe(now, out)
	p.trip(r.rollout, v, bad)
}

// observeStall counts a stalled request as failed without waiting for its end.
func (p *Pool) observeStall(now time.Time, f *brroute.Flight) {
	r := p.requests[f.ID()]
	if r == nil || r.flight != f || r.failureCounted {
		return
	}
	if s := p.sampleOf(r); s != nil {
		r.failureCounted = true
		v, bad := r.rollout.failures.Observe(now, brroute.Sample{Route: r.submit.Route, New: s.Version == r.rollout.New, Failed: true})
		p.trip(r.rollout, v, bad)
	}
}

// trip stops the new version of a rollout on the routes of the verdict.
func (p *Pool) trip(ro *rollout, v brroute.Verdict, bad bool) {
	if !bad || slices.Contains(ro.tripped, v.Route) || slices.Contains(ro.tripped, "") {
		return
	}
	ro.tripped = append(ro.tripped, v.Route)
	p.table.Stop(ro.ID, ro.New, v.Route)
	p.emit(VersionStopped{RolloutID: ro.ID, Version: ro.New, Route: v.Route, Reason: v.Reason})
}

// reportSamples emits and resets the samples of the last period.
func (p *Pool) reportSamples(period time.Duration) {
	var out []brwire.Samples
	for k, s := range p.samples {
		i := slices.IndexFunc(p.rollouts, func(ro *rollout) bool { return ro.ID == k.rollout })
		if i < 0 {
			if s.outstanding == 0 {
				delete(p.samples, k)
			}
			continue
		}
		ro := p.rollouts[i]
		s.Period, s.Outstanding = period, s.outstanding
		s.Tripped = k.version == ro.New && (slices.Contains(ro.tripped, "") || slices.Contains(ro.tripped, k.route))
		if s.Requests > 0 || s.SlowFirst > 0 || s.Outstanding > 0 || s.Tripped {
			out = append(out, s.Samples)
		}
		s.Requests, s.Errors, s.SlowFirst, s.SlowTokens = 0, 0, 0, 0
	}
	if len(out) == 0 {
		return
	}
	slices.SortFunc(out, func(a, b brwire.Samples) int {
		return cmp.Or(cmp.Compare(a.RolloutID, b.RolloutID), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
	p.emit(ReportSamples{Samples: out})
}
