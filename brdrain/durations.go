package brdrain

import "time"

const (
	// durationWindow is the time after which older durations are dropped. They are kept
	// for at most twice as long.
	durationWindow = time.Minute
	// minDurations is the number of durations of a route that count as experience.
	minDurations = 20
	// expectedFactor is the ratio of the expected duration to the longest recent one.
	expectedFactor = 1.5
)

// Durations estimates the durations of requests by route from those of recent ones. It is
// not safe for concurrent use. The zero value is ready to use.
type Durations struct {
	since             time.Time // start of current
	current, previous map[string]longest
}

// longest is the longest of a number of durations.
type longest struct {
	duration time.Duration
	count    int
}

// Add adds the duration of a request that was answered at now.
func (d *Durations) Add(now time.Time, route string, duration time.Duration) {
	d.rotate(now)
	l := d.current[route]
	d.current[route] = longest{max(l.duration, duration), l.count + 1}
}

// Expected returns the time in which a request of the route ends, or 0 if there were too few
// recent ones.
func (d *Durations) Expected(now time.Time, route string) time.Duration {
	d.rotate(now)
	a, b := d.current[route], d.previous[route]
	if a.count+b.count < minDurations {
		return 0
	}
	return time.Duration(expectedFactor * float64(max(a.duration, b.duration)))
}

// rotate drops the durations that are too old.
func (d *Durations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if age < durationWindow {
		return
	}
	d.previous = nil
	if age < 2*durationWindow {
		d.previous = d.current
	}
	d.current, d.since = map[string]longest{}, now
}
