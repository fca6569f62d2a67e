package brconcurrency

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the counts of a load level lose half of their weight, and
	// unitHalfLife that in which those for the present time of a unit of work do. An endpoint
	// that turns slow should be noticed within seconds, while a level that the limit keeps an
	// endpoint from should not be tried again at once.
	halfLife     = 3 * time.Second
	unitHalfLife = time.Second
	// minCount is the weight of the responses from which on a level says something.
	minCount = 6.0
	// keptThroughput is the part of the highest throughput of all levels that a level must reach
	// for an endpoint to be filled up to it. An engine whose requests only share its speed has
	// about the same throughput at all levels, and is better filled.
	keptThroughput = 0.75
	// probeInterval is the least time between two times of probeTime for which an endpoint that is
	// always busy is limited to comparedLevel, so that probes cost little of its throughput.
	probeInterval = 15 * time.Second
	probeTime     = time.Second
	// minShare is the smallest part of its slots that an endpoint is limited to. Below it, the
	// estimate of a few responses could close an endpoint that is only slow.
	minShare = 1.0 / 3
	// comparedLevel is the load level without whose counts a higher one can't be judged: that
	// of up to half of the slots.
	comparedLevel = levels/2 - 1
)

// Estimator estimates what the endpoints of one fleet take well. The zero value isn't usable;
// see New. It is not safe for concurrent use.
type Estimator struct {
	own       Report
	countedAt map[string]time.Time // time of the last own response, by endpoint
	peers     map[string]Report    // last report, by process
	endpoints map[string]*estimate
}

// estimate is what all processes have counted of one start of an endpoint.
type estimate struct {
	born    uint64
	levels  [levels]decayed
	recent  decayed   // over all levels, with unitHalfLife
	updated time.Time // of levels and recent
	// probedAt is the begin of the last probe; see Estimator.Limit.
	probedAt time.Time
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{
		own: Report{}, countedAt: map[string]time.Time{}, peers: map[string]Report{}, endpoints: map[string]*estimate{},
	}
}

// SetEndpoint adds an endpoint, or a further start of it, of which nothing is known then.
func (e *Estimator) SetEndpoint(id string, born uint64) {
	if x := e.endpoints[id]; x != nil && x.born == born {
		return
	}
	e.endpoints[id] = &estimate{born: born}
	delete(e.own, id)
}

// Remove removes an endpoint.
func (e *Estimator) Remove(id string) {
	delete(e.endpoints, id)
	delete(e.own, id)
	delete(e.countedAt, id)
	for _, r := range e.peers {
		delete(r, id)
	}
}

// Observe counts a complete response of an endpoint with the given number of slots. Active is
// the number of requests there, this one included, when it was sent, as far as known. Unit is
// the time for a unit of work: between two events of a stream, or for a whole call.
func (e *Estimator) Observe(now time.Time, id string, slots, active int, unit time.Duration) {
	x := e.endpoints[id]
	if x == nil || unit <= 0 {
		return
	}
	c := e.own[id]
	old := c
	c.Born = x.born
	c.add(slots, active, unit)
	e.own[id], e.countedAt[id] = c, now
	if d, ok := c.since(old); ok {
		x.add(now, d)
	}
}

// Report returns the counts of this process of the endpoints that had a response within the
// given retention.
func (e *Estimator) Report(now time.Time, retention time.Duration) Report {
	r := Report{}
	for id, c := range e.own {
		if now.Sub(e.countedAt[id]) < retention {
			r[id] = c
		}
	}
	return r
}

// PeerReported adds what another process has counted since its previous report. The first one
// says only where it stands, since its counts may be old.
func (e *Estimator) PeerReported(now time.Time, peer string, r Report) {
	last, known := e.peers[peer]
	if !known {
		last = Report{}
		e.peers[peer] = last
	}
	for id, c := range r {
		if !c.valid() {
			continue
		}
		d, counted := c.since(last[id])
		last[id] = c
		if x := e.endpoints[id]; known && counted && x != nil && x.born == c.Born {
			x.add(now, d)
		}
	}
}

// PeerLost forgets the reports of a process that is gone.
func (e *Estimator) PeerLost(peer string) { delete(e.peers, peer) }

// add adds counts at the time now.
func (x *estimate) add(now time.Time, c Counts) {
	x.decay(now)
	for i, l := range c.Levels {
		x.levels[i].add(l)
		x.recent.add(l)
	}
}

// decay lets the counts lose weight up to the time now.
func (x *estimate) decay(now time.Time) {
	if age := now.Sub(x.updated); age > 0 && !x.updated.IsZero() {
		factor := math.Exp2(-age.Seconds() / halfLife.Seconds())
		for i := range x.levels {
			x.levels[i].scale(factor)
		}
		x.recent.scale(math.Exp2(-age.Seconds() / unitHalfLife.Seconds()))
	}
	x.updated = now
}

// Limit returns the number of requests at once that an endpoint with the given number of slots
// takes well: up to the last load level at which its throughput is at least keptThroughput of the
// highest one. It is slots while nothing is known of a higher level.
//
// Once an endpoint is limited, the counts of the higher levels lose their weight, until a few
// requests try them again. In the same way an endpoint that has been busy for long is limited to
// comparedLevel for a moment from time to time, since without such requests it can't be told from
// one that would serve more with less to do.
func (e *Estimator) Limit(now time.Time, id string, slots int) int {
	x := e.endpoints[id]
	if x == nil {
		return slots
	}
	x.decay(now)
	highest, best := x.best()
	if highest > comparedLevel && x.probes(now) {
		return slotsUpTo(comparedLevel, slots)
	}
	for i := highest; i >= 0; i-- {
		l := x.levels[i]
		if l.count < minCount || l.throughput() < keptThroughput*best {
			continue
		}
		if i == highest {
			return slots
		}
		return slotsUpTo(i, slots)
	}
	return slots
}

// probes reports whether requests at comparedLevel are to be tried now.
func (x *estimate) probes(now time.Time) bool {
	switch age := now.Sub(x.probedAt); {
	case x.compared():
		return false
	case age < probeTime:
		return true
	case age < probeInterval:
		return false
	}
	x.probedAt = now
	return true
}

// best returns the highest load level with counts, or -1, and the highest throughput of all.
func (x *estimate) best() (level int, throughput float64) {
	level = -1
	for i, l := range x.levels {
		if l.count >= minCount {
			level, throughput = i, max(throughput, l.throughput())
		}
	}
	return level, throughput
}

// compared reports whether there are counts of a level up to comparedLevel.
func (x *estimate) compared() bool {
	for _, l := range x.levels[:comparedLevel+1] {
		if l.count >= minCount {
			return true
		}
	}
	return false
}

// throughput returns the units of work per second at a level.
func (d decayed) throughput() float64 { return d.active / d.seconds }

// slotsUpTo returns the number of requests up to which an endpoint is at a level.
func slotsUpTo(level, slots int) int {
	share := max(minShare, float64(level+1)/levels)
	return max(1, int(math.Ceil(share*float64(slots))))
}

// Unit returns the time that an endpoint needs for a unit of work at present, or 0 if too
// little is known.
func (e *Estimator) Unit(now time.Time, id string) time.Duration {
	x := e.endpoints[id]
	if x == nil {
		return 0
	}
	x.decay(now)
	if x.recent.count < 1 {
		return 0
	}
	return time.Duration(x.recent.seconds / x.recent.count * float64(time.Second))
}
