package brplace

import (
	"time"
)

// callReplay replays the plain calls of a large fleet to a few endpoints of 6 slots. Load
// is relative to the capacity of the endpoints that answer in time.
type callReplay struct {
	daemons, endpoints int
	work               time.Duration
	load               float64
	speeds             []float64
	slow, gone         int
	warmUp             time.Duration
}

// callTargetFactor times its work is the time in which a call is due.
const callTargetFactor = 5

func (c callReplay) run() *replayRun {
	f := fleetReplay{
		daemons: c.daemons, endpoints: c.endpoints, slots: 6, load: c.load, duration: 10 * time.Second, warmUp: c.warmUp,
		reportInterval: time.Duration(c.daemons) * 4 * time.Millisecond, reportDelay: 60 * time.Millisecond,
		domainInterval: max(20*time.Millisecond, time.Duration(c.daemons)*3*time.Millisecond/6), domainDelay: 20 * time.Millisecond,
		speeds: c.speeds, queueLimit: 24, slow: c.slow, gone: c.gone,
	}
	capacity := 0.0
	for i := range c.endpoints {
		if (c.slow == 0 || i != c.slow) && (c.gone == 0 || i != c.gone) {
			capacity += float64(f.slots) / (f.speed(i) * c.work.Seconds())
		}
	}
	f.kinds = []streamKind{{
		rank: 2, call: true, perEndpoint: capacity / float64(c.endpoints), target: callTargetFactor * c.work,
		deadline: 800 * time.Millisecond, worth: 1, lateWorth: 0.3, prefill: c.work,
	}}
	return f.run()
}
