package brroute

import (
	"fmt"
	"math"
	"time"

	"bramleyroute/brlimit"
)

// applyLimit makes the rate limit of e's last announcement effective. The owner of the
// pool sees every request, so that it holds the whole limit. A limit that isn't a number
// of requests per second changes nothing.
func (t *Table) applyLimit(now time.Time, e *endpoint) []Change {
	var limit brlimit.Limit
	if r := e.RateLimit; r != nil {
		if !(*r >= 0) || math.IsInf(*r, 1) {
			return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: InvalidLimit, Reason: fmt.Sprint(*r)}}
		}
		limit = brlimit.Limit{Limited: true, Rate: *r}
	}
	if limit == e.limit {
		return nil
	}
	if !e.limit.Limited {
		e.bucket = brlimit.Bucket{}
	}
	e.limit = limit
	if !limit.Limited {
		return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: Unlimited}}
	}
	e.bucket.SetShare(now, brlimit.Whole(limit.Rate))
	return []Change{{EndpointID: e.EndpointID, Version: e.Version, State: Limited, Reason: fmt.Sprintf("%g requests per second", limit.Rate)}}
}

// withinLimit reports whether the limit of e leaves room for a request now.
func (e *endpoint) withinLimit(now time.Time) bool {
	return !e.limit.Limited || e.bucket.Tokens(now) >= 1
}

// RateLimit returns the sum of the rate limits of the usable endpoints in requests per
// second, and whether each of them has one.
func (t *Table) RateLimit() (sum float64, limited bool) {
	for _, e := range t.list {
		if !e.usable() {
			continue
		}
		if !e.limit.Limited {
			return 0, false
		}
		sum += e.bucket.Rate()
		limited = true
	}
	return sum, limited
}
