package brfleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bramleyroute/brcanary"
	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brproxy"
)

const (
	kindSteer = "steer" // by service: what share the version of a rollout gets
	kindTally = "tally" // by daemon: what the versions answered

	// judgeInterval is the pause between two decisions on the running rollouts,
	// and between two reports of what the versions answered in a fleet of up to
	// tallyDaemons. In a larger one the pause between reports grows in proportion.
	judgeInterval = 100 * time.Millisecond
	tallyDaemons  = 16
	// recordInterval is the pause between two records of a rollout's progress in
	// the log, from which the next leader goes on.
	recordInterval = time.Second
	tallyLifetime  = 20 * time.Second
)

// steer is the present share of a rollout's version.
type steer struct {
	Rollout brcore.Rollout `cbor:"rollout"`
	Share   float64        `cbor:"share"`
}

// tallies maps service, route and version, joined by tallyKey, to what was
// answered.
type tallies map[string]brcanary.Tally

func tallyKey(service, route, version string) string {
	return strings.Join([]string{service, route, version}, "\x00")
}

// rollouts is this daemon's part in all rollouts.
type rollouts struct {
	mu      sync.Mutex
	steers  map[string]steer    // by service
	own     tallies             // since the start of this daemon
	counted bool                // own has changed since the last report
	peers   map[string]tallies  // by record name
	running map[string]*leading // by service, at the leader
	seq     uint64
}

// leading is a rollout that this daemon's replica decides on.
type leading struct {
	rollout  brcore.Rollout
	since    time.Time          // when this leader took it over
	before   map[string]tallies // totals at that time, by record name
	recorded time.Time
}

// BeginRollout starts a rollout. Errors are as for brcore.Core.PutDocument.
func (f *Fleet) BeginRollout(ctx context.Context, r brcore.Rollout) (brcore.Verdict, error) {
	v, err := f.core.BeginRollout(ctx, r)
	f.cfg.Log.Info().Str("service", r.Service).Str("target", r.Target).Uint8("verdict", uint8(v)).AnErr("error", err).
		Msg("rollout ordered")
	return v, err
}

// Rollout returns the newest rollout of a service; its Outcome is empty when there
// was none.
func (f *Fleet) Rollout(ctx context.Context, service string) (brcore.Rollout, error) {
	return f.core.Rollout(ctx, service)
}

// steerVersion returns how a request to a service is bound to a version.
func (f *Fleet) steerVersion(service, _ string) (version, avoid string) {
	f.rollouts.mu.Lock()
	s, ok := f.rollouts.steers[service]
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

// judged counts an answer while a rollout of the service runs.
func (f *Fleet) judged(j brproxy.Judgement) {
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if s, ok := f.rollouts.steers[j.Service]; !ok || s.Rollout.Outcome != brcore.Running {
		return
	}
	if f.rollouts.own == nil {
		f.rollouts.own = tallies{}
	}
	key := tallyKey(j.Service, j.Route, j.Version)
	t := brcanary.Tally{Answers: 1, Slowness: j.Slowness}
	if !j.Good {
		t.Failed = 1
	}
	f.rollouts.own[key] = f.rollouts.own[key].Plus(t)
	f.rollouts.counted = true
}

// onRollouts takes the rollouts that the replica has confirmed.
func (f *Fleet) onRollouts(all []brcore.Rollout) {
	now := f.cfg.Clock.Now()
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.running == nil {
		f.rollouts.running = map[string]*leading{}
	}
	for _, r := range all {
		l := f.rollouts.running[r.Service]
		if l == nil || l.rollout.Index != r.Index {
			f.rollouts.running[r.Service] = &leading{rollout: r, since: now, recorded: now, before: f.rollouts.totals()}
			continue
		}
		l.rollout.Outcome = r.Outcome
	}
}

// totals returns a copy of what all daemons have reported.
func (r *rollouts) totals() map[string]tallies {
	all := map[string]tallies{}
	for name, t := range r.peers {
		all[name] = maps.Clone(t)
	}
	return all
}

// runRollouts reports what this daemon's callers got, and decides on the running
// rollouts while its replica leads.
func (f *Fleet) runRollouts() {
	for round := int64(0); ; round++ {
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(judgeInterval):
		}
		if round%max(1, f.daemons.Load()/tallyDaemons) == 0 {
			f.publishTally()
		}
		if f.core.Leads() {
			f.judgeAll()
		}
	}
}

func (f *Fleet) publishTally() {
	f.rollouts.mu.Lock()
	if !f.rollouts.counted {
		f.rollouts.mu.Unlock()
		return
	}
	f.rollouts.counted = false
	f.rollouts.seq++
	seq := f.rollouts.seq
	value := encode(f.rollouts.own)
	f.rollouts.mu.Unlock()
	f.node.Publish(brgossip.Record{
		Key: kindTally + "/" + f.incarnation, Version: brgossip.Version{Seq: seq},
		Value: value, Lifetime: tallyLifetime,
	})
}

func (f *Fleet) tallyRecord(r brgossip.Record) {
	t, ok := decode[tallies](f, r)
	if !ok {
		return
	}
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.peers == nil {
		f.rollouts.peers = map[string]tallies{}
	}
	f.rollouts.peers[r.Name()] = t
}

func (f *Fleet) steerRecord(r brgossip.Record) {
	s, ok := decode[steer](f, r)
	if !ok {
		return
	}
	f.rollouts.mu.Lock()
	defer f.rollouts.mu.Unlock()
	if f.rollouts.steers == nil {
		f.rollouts.steers = map[string]steer{}
	}
	old, known := f.rollouts.steers[s.Rollout.Service]
	f.rollouts.steers[s.Rollout.Service] = s
	if !known || old.Share != s.Share || old.Rollout.Outcome != s.Rollout.Outcome {
		f.cfg.Log.Info().Str("service", s.Rollout.Service).Str("target", s.Rollout.Target).Float64("share", s.Share).
			Str("outcome", string(s.Rollout.Outcome)).Uint64("index", s.Rollout.Index).Msg("share of a version changed")
	}
}

// judgeAll decides on every rollout that this leader knows.
func (f *Fleet) judgeAll() {
	now := f.cfg.Clock.Now()
	f.rollouts.mu.Lock()
	var all []*leading
	for _, l := range f.rollouts.running {
		all = append(all, l)
	}
	f.rollouts.mu.Unlock()
	for _, l := range all {
		f.judge(now, l)
	}
}

func (f *Fleet) judge(now time.Time, l *leading) {
	f.rollouts.mu.Lock()
	r := l.rollout
	elapsed := r.Elapsed + now.Sub(l.since)
	routes := f.rollouts.compare(l)
	due := now.Sub(l.recorded) >= recordInterval
	if due {
		l.recorded = now
	}
	f.rollouts.mu.Unlock()
	share := 0.0
	if r.Outcome == brcore.Running {
		var o brcanary.Outcome
		share, o = brcanary.Decide(elapsed, r.Duration, routes)
		next := r
		next.Elapsed = elapsed
		switch o {
		case brcanary.Finish:
			next.Outcome = brcore.Succeeded
		case brcanary.TakeBack:
			next.Outcome = brcore.RolledBack
		}
		if due || next.Outcome != brcore.Running {
			f.wg.Go(func() { f.recordRollout(next) })
		}
	}
	f.publishSteer(steer{Rollout: r, Share: share})
}

// compare returns what the routes of a rollout's service got from both versions
// since this leader took over.
func (r *rollouts) compare(l *leading) map[string]brcanary.Comparison {
	routes := map[string]brcanary.Comparison{}
	for name, t := range r.peers {
		for key, tally := range t {
			parts := strings.Split(key, "\x00")
			if len(parts) != 3 || parts[0] != l.rollout.Service {
				continue
			}
			tally = tally.Minus(l.before[name][key])
			c := routes[parts[1]]
			if parts[2] == l.rollout.Target {
				c.New = c.New.Plus(tally)
			} else {
				c.Old = c.Old.Plus(tally)
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
		f.cfg.Log.Warn().Str("service", r.Service).Str("outcome", string(r.Outcome)).Err(err).Msg("recording a rollout failed")
	}
}

// publishSteer tells all daemons the share of a version, if it has changed.
func (f *Fleet) publishSteer(s steer) {
	f.rollouts.mu.Lock()
	old, known := f.rollouts.steers[s.Rollout.Service]
	same := known && old.Share == s.Share && old.Rollout.Index == s.Rollout.Index && old.Rollout.Outcome == s.Rollout.Outcome
	f.rollouts.mu.Unlock()
	if same {
		return
	}
	key := kindSteer + "/" + s.Rollout.Service
	var seq uint64
	if r, ok := f.node.Get(key); ok && r.Version.Epoch == s.Rollout.Index {
		seq = r.Version.Seq
	}
	f.node.Publish(brgossip.Record{Key: key, Version: brgossip.Version{Epoch: s.Rollout.Index, Seq: seq + 1}, Value: encode(s)})
}
