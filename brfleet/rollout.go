package brfleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"bramleyroute/brcanary"
	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brproxy"
)

const (
	kindShare = "steer" // traffic share of a rollout's version, by service
	kindTally = "tally" // responses counted by version, by daemon

	// evaluationInterval is the interval between two evaluations of the running
	// rollouts, and between two reports of response counts in a fleet of up to
	// fullRateDaemons. In a larger fleet the report interval grows in proportion.
	evaluationInterval = 100 * time.Millisecond
	fullRateDaemons    = 16
	// recordInterval is the interval between two log entries of a rollout's
	// progress, from which the next leader continues.
	recordInterval = time.Second
	tallyLifetime  = 20 * time.Second
)

// versionShare is the current traffic share of a rollout's target version.
type versionShare struct {
	Rollout brcore.Rollout `cbor:"rollout"`
	Share   float64        `cbor:"share"`
}

// tallies maps service, route and version, joined by tallyKey, to the counts of
// their responses.
type tallies map[string]brcanary.Tally

func tallyKey(service, route, version string) string {
	return strings.Join([]string{service, route, version}, "\x00")
}

// rollouts is this daemon's state of all rollouts.
type rollouts struct {
	mu           sync.Mutex
	shares       map[string]versionShare      // by service
	local        tallies                      // counts since the start of this daemon
	localChanged bool                         // local has changed since the last report
	reported     map[string]tallies           // by record name
	running      map[string]*evaluatedRollout // by service; used by the leader
	seq          uint64
}

// evaluatedRollout is a rollout that this daemon evaluates while its replica leads.
type evaluatedRollout struct {
	rollout    brcore.Rollout
	adoptedAt  time.Time          // when this leader took over the rollout
	baseline   map[string]tallies // totals at adoptedAt, by record name
	recordedAt time.Time
	progress   brcanary.Progress // used by runRollouts only
}

// BeginRollout starts a rollout. It returns an InvalidError for a rollout without a
// duration or with text that isn't UTF-8. Other errors are as for
// brcore.Core.PutDocument.
func (f *Fleet) BeginRollout(ctx context.Context, r brcore.Rollout) (brcore.Verdict, error) {
	if err := checkRollout(r); err != nil {
		return 0, &InvalidError{err}
	}
	v, err := f.core.BeginRollout(ctx, r)
	f.cfg.Log.Info().Str("service", r.Service).Str("target", r.Target).Uint8("verdict", uint8(v)).AnErr("error", err).
		Msg("rollout requested")
	return v, err
}

func checkRollout(r brcore.Rollout) error {
	if r.Duration <= 0 {
		return fmt.Errorf("brfleet: duration %v of a rollout isn't positive", r.Duration)
	}
	if !utf8.ValidString(r.Service) || !utf8.ValidString(r.Target) {
		return errors.New("brfleet: service or target of a rollout is not UTF-8")
	}
	return nil
}

// Rollout returns the newest rollout of a service; its Outcome is empty when there
// was none.
func (f *Fleet) Rollout(ctx context.Context, service string) (brcore.Rollout, error) {
	return f.core.Rollout(ctx, service)
}

// chooseVersion returns the version that a request to service must use, or the
// version that is excluded for it. Either is empty if there is no such constraint.
func (f *Fleet) chooseVersion(service, _ string) (version, excluded string) {
	f.rollouts.mu.Lock()
	s, ok := f.rollouts.shares[service]
	f.rollouts.mu.Unlock()
	switch {
	case !ok:
		return "", ""
	case s.Rollout.Outcome == brcore.Succeeded:
		return s.Rollout.Target, ""
	case s.Rollout.Outcome == brcore.Running && rand.Float64() < s.Share:
		return s.Rollout.Target, ""
	}
	return "", s.Rollout.Target
}

// countResult counts a dispatch result while a rollout of its service runs.
func (f *Fleet) countResult(r brproxy.VersionResult) {
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if s, ok := f.rollouts.shares[r.Service]; !ok || s.Rollout.Outcome != brcore.Running {
		return
	}
	if f.rollouts.local == nil {
		f.rollouts.local = tallies{}
	}
	key := tallyKey(r.Service, r.Route, r.Version)
	t := brcanary.Tally{Responses: 1, LatencyRatios: r.LatencyRatio}
	if !r.Succeeded {
		t.Failed = 1
	}
	f.rollouts.local[key] = f.rollouts.local[key].Add(t)
	f.rollouts.localChanged = true
}

// onRollouts applies the rollouts that the replica has confirmed as current.
func (f *Fleet) onRollouts(all []brcore.Rollout) {
	now := f.cfg.Clock.Now()
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.running == nil {
		f.rollouts.running = map[string]*evaluatedRollout{}
	}
	for _, r := range all {
		l := f.rollouts.running[r.Service]
		if l == nil || l.rollout.Index != r.Index {
			f.rollouts.running[r.Service] = &evaluatedRollout{rollout: r, adoptedAt: now, recordedAt: now, baseline: f.rollouts.totals()}
			continue
		}
		l.rollout.Outcome = r.Outcome
	}
}

// totals returns a copy of the counts reported by all daemons.
func (r *rollouts) totals() map[string]tallies {
	all := map[string]tallies{}
	for name, t := range r.reported {
		all[name] = maps.Clone(t)
	}
	return all
}

// runRollouts reports this daemon's response counts, and evaluates the running
// rollouts while its replica leads.
func (f *Fleet) runRollouts() {
	for round := int64(0); ; round++ {
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(evaluationInterval):
		}
		if round%max(1, f.daemons.Load()/fullRateDaemons) == 0 {
			f.publishTally()
		}
		if f.core.IsLeader() {
			f.evaluateAll()
		}
	}
}

func (f *Fleet) publishTally() {
	f.rollouts.mu.Lock()
	if !f.rollouts.localChanged {
		f.rollouts.mu.Unlock()
		return
	}
	f.rollouts.localChanged = false
	f.rollouts.seq++
	seq := f.rollouts.seq
	value := encode(f.rollouts.local)
	f.rollouts.mu.Unlock()
	f.node.Publish(brgossip.Record{
		Key: kindTally + "/" + f.incarnation, Version: brgossip.Version{Seq: seq},
		Value: value, Lifetime: tallyLifetime,
	})
}

func (f *Fleet) applyTallyRecord(r brgossip.Record) {
	t, ok := decodeChecked(f, r, checkTallies)
	if !ok {
		return
	}
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.reported == nil {
		f.rollouts.reported = map[string]tallies{}
	}
	f.rollouts.reported[r.Name()] = t
}

func (f *Fleet) applyShareRecord(r brgossip.Record) {
	s, ok := decodeChecked(f, r, checkShare)
	if !ok {
		return
	}
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.shares == nil {
		f.rollouts.shares = map[string]versionShare{}
	}
	old, known := f.rollouts.shares[s.Rollout.Service]
	f.rollouts.shares[s.Rollout.Service] = s
	if !known || old.Share != s.Share || old.Rollout.Outcome != s.Rollout.Outcome {
		f.cfg.Log.Info().Str("service", s.Rollout.Service).Str("target", s.Rollout.Target).Float64("share", s.Share).
			Str("outcome", string(s.Rollout.Outcome)).Uint64("index", s.Rollout.Index).Msg("traffic share of a version changed")
	}
}

// evaluateAll evaluates every rollout in running. It is called only while this
// daemon's replica leads.
func (f *Fleet) evaluateAll() {
	now := f.cfg.Clock.Now()
	f.rollouts.mu.Lock()
	var all []*evaluatedRollout
	for _, l := range f.rollouts.running {
		all = append(all, l)
	}
	f.rollouts.mu.Unlock()
	for _, l := range all {
		f.evaluate(now, l)
	}
}

func (f *Fleet) evaluate(now time.Time, l *evaluatedRollout) {
	f.rollouts.mu.Lock()
	r := l.rollout
	elapsed := r.Elapsed + now.Sub(l.adoptedAt)
	routes := f.rollouts.compare(l)
	due := now.Sub(l.recordedAt) >= recordInterval
	if due {
		l.recordedAt = now
	}
	f.rollouts.mu.Unlock()
	share := 0.0
	if r.Outcome == brcore.Running {
		o := brcanary.RollBack
		if r.Duration > 0 { // an earlier release also accepted others
			l.progress, share, o = l.progress.Decide(elapsed, r.Duration, routes)
		}
		next := r
		next.Elapsed = elapsed
		switch o {
		case brcanary.Finish:
			next.Outcome = brcore.Succeeded
		case brcanary.RollBack:
			next.Outcome = brcore.RolledBack
		}
		if due || next.Outcome != brcore.Running {
			f.logRollout(next, share, routes)
			f.wg.Go(func() { f.recordRollout(next) })
		}
	}
	f.publishShare(versionShare{Rollout: r, Share: share})
}

// logRollout logs what the decision on r is based on.
func (f *Fleet) logRollout(r brcore.Rollout, share float64, routes map[string]brcanary.Comparison) {
	for route, c := range routes {
		f.cfg.Log.Info().Str("service", r.Service).Str("target", r.Target).Str("route", route).Dur("elapsed_ms", r.Elapsed).Float64("share", share).
			Float64("old_responses", c.Old.Responses).Float64("old_failed", c.Old.Failed).Float64("old_latency_ratio", c.Old.MeanLatencyRatio()).
			Float64("new_responses", c.New.Responses).Float64("new_failed", c.New.Failed).Float64("new_latency_ratio", c.New.MeanLatencyRatio()).
			Msg("versions compared")
	}
}

// compare returns the response counts of both versions for each route of the
// rollout's service, since this leader took over.
func (r *rollouts) compare(l *evaluatedRollout) map[string]brcanary.Comparison {
	routes := map[string]brcanary.Comparison{}
	for name, t := range r.reported {
		for key, tally := range t {
			parts := strings.Split(key, "\x00")
			if len(parts) != 3 || parts[0] != l.rollout.Service {
				continue
			}
			tally = tally.Sub(l.baseline[name][key])
			c := routes[parts[1]]
			if parts[2] == l.rollout.Target {
				c.New = c.New.Add(tally)
			} else {
				c.Old = c.Old.Add(tally)
			}
			routes[parts[1]] = c
		}
	}
	return routes
}

func (f *Fleet) recordRollout(r brcore.Rollout) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := f.core.RecordRollout(ctx, r); err != nil {
		f.cfg.Log.Warn().Str("service", r.Service).Str("outcome", string(r.Outcome)).Err(err).Msg("recording the rollout in the log failed")
	}
}

// publishShare publishes the share of a version to all daemons if it has changed.
func (f *Fleet) publishShare(s versionShare) {
	f.rollouts.mu.Lock()
	old, known := f.rollouts.shares[s.Rollout.Service]
	unchanged := known && old.Share == s.Share && old.Rollout.Index == s.Rollout.Index && old.Rollout.Outcome == s.Rollout.Outcome
	f.rollouts.mu.Unlock()
	if unchanged {
		return
	}
	key := kindShare + "/" + s.Rollout.Service
	var seq uint64
	if r, ok := f.node.Get(key); ok && r.Version.Epoch == s.Rollout.Index {
		seq = r.Version.Seq
	}
	f.node.Publish(brgossip.Record{Key: key, Version: brgossip.Version{Epoch: s.Rollout.Index, Seq: seq + 1}, Value: encode(s)})
}
