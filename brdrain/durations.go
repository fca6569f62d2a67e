package brdrain

import "time"

const (
	// durationWindow is the time after which older durations are dropped. They are kept
	// for at most twice as long.
	durationWindow = time.Minute
	// bucketWidth is the resolution of durations, and buckets their number. Longer ones
	// are in the last bucket.
	bucketWidth = 250 * time.Millisecond
	buckets     = 64
)

// Durations estimates the durations of requests by route from those of recent ones. It is
// not safe for concurrent use. The zero value is ready to use.
type Durations struct {
	since             time.Time // start of current
	current, previous map[string]*histogram
}

// histogram is the number of durations by bucket.
type histogram [buckets]int

// atLeast returns the number of durations, and of those in the given bucket or a later one.
// h may be nil.
func (h *histogram) atLeast(bucket int) (all, long int) {
	if h == nil {
		return 0, 0
	}
	for i, n := range h {
		all += n
		if i >= bucket {
			long += n
		}
	}
	return all, long
}

func bucketOf(d time.Duration) int { return int(max(0, min(d/bucketWidth, buckets-1))) }

// Add adds the duration of a request that was answered at now.
func (d *Durations) Add(now time.Time, route string, duration time.Duration) {
	d.rotate(now)
	h := d.current[route]
	if h == nil {
		h = &histogram{}
		d.current[route] = h
	}
	h[bucketOf(duration)]++
}

// ShareOver estimates the probability that a request of the route takes longer than limit,
// with a resolution of bucketWidth. It is 0.5 without recent requests, and never 0: n of them
// that were all shorter leave 1/(n+2), by the rule of succession.
func (d *Durations) ShareOver(now time.Time, route string, limit time.Duration) float64 {
	d.rotate(now)
	bucket := bucketOf(limit)
	n, long := d.current[route].atLeast(bucket)
	m, longBefore := d.previous[route].atLeast(bucket)
	return float64(long+longBefore+1) / float64(n+m+2)
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
	d.current, d.since = map[string]*histogram{}, now
}
