package brconcurrency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// replay replays calls of several daemons to the endpoints of one service that differ in speed
// and slow down beyond a number of requests at once. All daemons know how many requests each
// endpoint has, so that only what they expect of it differs.
type replay struct {
	endpoints []replayEndpoint
	rate      float64 // calls per second
	learn     bool    // the daemons go by their estimators, and by the slots otherwise
}

type replayEndpoint struct {
	slots, knee int
	work        time.Duration // of a call at up to knee requests at once
	slowFrom    time.Duration // from then on it takes slowFactor times as long, if positive
	slowTo      time.Duration
}

const (
	slowFactor     = 5
	replayDaemons  = 8
	replayTarget   = 300 * time.Millisecond
	replayDuration = 30 * time.Second
	reportInterval = 500 * time.Millisecond
)

// unit returns the time of a call that begins while active calls are at the endpoint.
func (p replayEndpoint) unit(now time.Duration, active int) time.Duration {
	factor := 1.0
	if over := active - p.knee; over > 0 {
		factor += float64(over*over) / 2
	}
	if p.slowFrom > 0 && now >= p.slowFrom && now < p.slowTo {
		factor *= slowFactor
	}
	return time.Duration(factor * float64(p.work))
}

type replayStep struct {
	at  time.Duration
	run func()
}

type replaySteps []replayStep

func (s replaySteps) Len() int           { return len(s) }
func (s replaySteps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s replaySteps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *replaySteps) Push(x any)        { *s = append(*s, x.(replayStep)) }
func (s *replaySteps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// replayRun is the state of one run.
type replayRun struct {
	replay
	rng        *rand.Rand
	now        time.Duration
	steps      replaySteps
	estimators []*Estimator
	active     []int
	waiting    []time.Duration // arrivals
	calls      int
	onTime     int
	limits     []map[time.Duration]int // by endpoint and second, as the first daemon estimates them
}

func (p replay) run() *replayRun {
	r := &replayRun{replay: p, rng: rand.New(rand.NewPCG(3, 4)), active: make([]int, len(p.endpoints))}
	for d := range replayDaemons {
		e := New()
		for i := range p.endpoints {
			e.SetEndpoint(fmt.Sprint("e", i), 1)
		}
		r.estimators = append(r.estimators, e)
		r.report(d)
	}
	for range p.endpoints {
		r.limits = append(r.limits, map[time.Duration]int{})
	}
	r.arrive()
	r.record()
	for r.now < replayDuration {
		s := heap.Pop(&r.steps).(replayStep)
		r.now = s.at
		s.run()
	}
	return r
}

func (r *replayRun) after(d time.Duration, f func()) { heap.Push(&r.steps, replayStep{r.now + d, f}) }

func (r *replayRun) arrive() {
	r.after(time.Duration(r.rng.ExpFloat64()/r.rate*float64(time.Second)), func() {
		r.calls++
		r.waiting = append(r.waiting, r.now)
		r.dispatch()
		r.arrive()
	})
}

func (r *replayRun) report(d int) {
	r.after(reportInterval, func() {
		report := r.estimators[d].Report(start.Add(r.now), time.Second)
		for i, e := range r.estimators {
			if i != d {
				e.PeerReported(start.Add(r.now), fmt.Sprint("d", d), report)
			}
		}
		r.report(d)
	})
}

func (r *replayRun) record() {
	r.after(time.Second, func() {
		for i, p := range r.endpoints {
			r.limits[i][r.now] = r.estimators[0].Limit(start.Add(r.now), fmt.Sprint("e", i), p.slots)
		}
		r.record()
	})
}

// dispatch sends waiting calls to endpoints until none has room.
func (r *replayRun) dispatch() {
	for len(r.waiting) > 0 {
		d := r.rng.IntN(replayDaemons)
		i := r.choose(d)
		if i < 0 {
			return
		}
		arrived := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.active[i]++
		active, unit := r.active[i], r.endpoints[i].unit(r.now, r.active[i])
		r.after(unit, func() {
			r.active[i]--
			if r.now-arrived <= replayTarget {
				r.onTime++
			}
			r.estimators[d].Observe(start.Add(r.now), fmt.Sprint("e", i), r.endpoints[i].slots, active, unit)
			r.dispatch()
		})
	}
}

// choose returns the endpoint with room that a daemon expects to take the least time, or the
// least used one without estimates; -1 if none has room.
func (r *replayRun) choose(d int) int {
	best, lowest := -1, 0.0
	for i, p := range r.endpoints {
		limit, cost := p.slots, float64(r.active[i])
		if r.learn {
			id := fmt.Sprint("e", i)
			limit = r.estimators[d].Limit(start.Add(r.now), id, p.slots)
			cost = float64(r.estimators[d].Unit(start.Add(r.now), id))
		}
		if r.active[i] < limit && (best < 0 || cost < lowest) {
			best, lowest = i, cost
		}
	}
	return best
}

// part returns the part of the calls that ended in time.
func (r *replayRun) part() float64 { return float64(r.onTime) / float64(r.calls) }

// unevenEndpoints differ in speed and in the number of requests at once that they take well.
// Their throughput is the highest at the knee, and falls to half of it and less at full slots.
func unevenEndpoints() []replayEndpoint {
	return []replayEndpoint{
		{slots: 8, knee: 4, work: 40 * time.Millisecond},
		{slots: 8, knee: 4, work: 110 * time.Millisecond},
		{slots: 8, knee: 8, work: 60 * time.Millisecond},
		{slots: 8, knee: 6, work: 60 * time.Millisecond},
	}
}

// TestLearnedLimitsServeMore guards against a service whose endpoints are filled to all their
// slots although some slow down before, and against one that doesn't notice an endpoint that
// turns slow: with the calls at 0.7 of what the endpoints serve at their best, the slots alone
// leave more than half of them late.
func TestLearnedLimitsServeMore(t *testing.T) {
	p := replay{endpoints: unevenEndpoints(), rate: 260}
	p.endpoints[3].slowFrom, p.endpoints[3].slowTo = 10*time.Second, 18*time.Second
	fixed := p.run()
	p.learn = true
	learned := p.run()
	t.Logf("in time: %.3f of %d calls by slots, %.3f of %d by estimates", fixed.part(), fixed.calls, learned.part(), learned.calls)
	if learned.part() < 0.9 || learned.part() < 1.5*fixed.part() {
		t.Errorf("in time: %.3f of the calls by estimates, want at least 0.9 and 1.5 times the %.3f by slots", learned.part(), fixed.part())
	}
}

// TestLimitsFollow guards against limits on an endpoint that serves well with all its slots, and
// against a limit that stays after its reason is gone.
func TestLimitsFollow(t *testing.T) {
	r := replay{endpoints: unevenEndpoints(), rate: 330, learn: true}.run()
	limited := make([]int, len(r.endpoints))
	for i, limits := range r.limits {
		for at, n := range limits {
			if n < 1 || n > r.endpoints[i].slots {
				t.Errorf("endpoint %d at %v: limit %d, want 1 to %d", i, at, n, r.endpoints[i].slots)
			}
			if n < r.endpoints[i].slots {
				limited[i]++
			}
		}
	}
	t.Logf("seconds with a limit, of %d: %v", len(r.limits[0]), limited)
	seconds := len(r.limits[0])
	if limited[1] < seconds/3 || limited[2] > seconds/10 {
		t.Errorf("limited in %v of %d seconds; want the second endpoint, which slows down at half of its slots, in a third of them, and the third, which doesn't, in at most a tenth", limited, seconds)
	}
}
