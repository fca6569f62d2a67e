package brroute

import (
	"fmt"
	"math"
	"strings"
	"time"

	"bramleyroute/brlimit"
)

// applyLimit makes the limits of e's last announcement effective. The owner of the pool
// sees every request, so that it holds the whole rate and all slots. A limit that isn't a
// number of requests per second changes nothing.
func (t *Table) applyLimit(now time.Time, e *endpoint) []Change {
	change := Change{EndpointID: e.EndpointID, Version: e.Version}
	limit, err := announcedLimit(e)
	if err != nil {
		change.State, change.Reason = InvalidLimit, err.Error()
		return []Change{change}
	}
	if limit == e.limit {
		return nil
	}
	if !e.limit.Limited {
		e.bucket = brlimit.Bucket{}
	}
	e.limit = limit
	if limit.Limited {
		e.bucket.SetShare(now, brlimit.Whole(limit.Rate))
	}
	change.State, change.Reason = Limited, describe(limit)
	if limit == (brlimit.Limit{}) {
		change.State = Unlimited
	}
	return []Change{change}
}

// announcedLimit returns the limits of the last announcement of e.
func announcedLimit(e *endpoint) (l brlimit.Limit, err error) {
	if r := e.RateLimit; r != nil {
		if !(*r >= 0) || math.IsInf(*r, 1) {
			return l, fmt.Errorf("rate limit of %g requests per second", *r)
		}
		l.Limited, l.Rate = true, *r
	}
	if n := e.RejectionLimit; n != nil {
		if *n < 0 {
			return l, fmt.Errorf("rejection limit of %d per second", *n)
		}
		l.Brittle, l.RejectionLimit = true, *n
	}
	return l, nil
}

// describe returns the limits that l states, for log entries.
func describe(l brlimit.Limit) string {
	var parts []string
	if l.Limited {
		parts = append(parts, fmt.Sprintf("%g requests per second", l.Rate))
	}
	if l.Brittle {
		parts = append(parts, fmt.Sprintf("%d rejections per second", l.RejectionLimit))
	}
	return strings.Join(parts, ", ")
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
