package brlimit

import "time"

const (
	// MinRate is the lowest rate in requests per second that is used. Below it, down to
	// a limit of 0, nobody would learn that the limit is over.
	MinRate = 0.25
	// Lifetime is the time after which a published limit lapses that wasn't published
	// again, since the endpoint got no requests.
	Lifetime = 30 * time.Second
	// refreshInterval is the age from which on a limit that is still stated is published
	// again.
	refreshInterval = 5 * time.Second
)

// Limit is what a response states about its endpoint: the requests per second that it
// takes and the rejections per second that it bears, of all callers together. The zero
// value is no limit. Limits are compared with ==.
type Limit struct {
	Limited bool    `cbor:"limited"`        // whether Rate is stated
	Rate    float64 `cbor:"rate,omitempty"` // requests per second; only if Limited
	// Brittle reports whether RejectionLimit is stated: an endpoint that rejects more
	// requests than that in a second for want of room fails.
	Brittle        bool `cbor:"brittle,omitempty"`
	RejectionLimit int  `cbor:"rejection_limit,omitempty"` // rejections per second; only if Brittle
}

// Known is the limit of one endpoint as far as a process knows. The zero value is no
// limit.
type Known struct {
	limit       Limit
	since       time.Time // time at which this process learned the limit
	publishedAt time.Time
}

// Limit returns the limit in force.
func (k *Known) Limit() Limit { return k.limit }

// Observe records what the response to a request states that was sent at sentAt, and
// reports whether that is to be published to the other processes. The response to a
// request that was sent before the limit in force was known may be older than it, and
// changes nothing.
func (k *Known) Observe(now, sentAt time.Time, l Limit) (publish bool) {
	switch {
	case l == k.limit:
		publish = l != Limit{} && now.Sub(k.publishedAt) >= refreshInterval
	case !sentAt.Before(k.since):
		k.limit, k.since, publish = l, now, true
	}
	if publish {
		k.publishedAt = now
	}
	return publish
}

// Set records a limit that another process has published.
func (k *Known) Set(now time.Time, l Limit) {
	if l != k.limit {
		k.limit, k.since = l, now
	}
	k.publishedAt = now
}
