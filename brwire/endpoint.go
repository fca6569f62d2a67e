package brwire

import "time"

// Announce is the registration and load report that an endpoint posts as JSON to
// /v1/announce once a second.
type Announce struct {
	EndpointID     string       `json:"endpoint_id" cbor:"endpoint_id"`
	Address        string       `json:"address" cbor:"address"` // host:port
	Kind           EndpointKind `json:"kind" cbor:"kind"`
	Model          string       `json:"model" cbor:"model"` // name of the model or service
	Version        string       `json:"version" cbor:"version"`
	Region         string       `json:"region" cbor:"region"`
	FailureDomain  string       `json:"failure_domain" cbor:"failure_domain"`
	Hardware       string       `json:"hardware" cbor:"hardware"`
	ChecksFencing  bool         `json:"checks_fencing" cbor:"checks_fencing"`
	Leaving        bool         `json:"leaving" cbor:"leaving"`
	Sequence       uint64       `json:"sequence" cbor:"sequence"`               // incremented by one with each report of an incarnation
	Incarnation    string       `json:"incarnation" cbor:"incarnation"`         // distinct for each start of the endpoint
	MeasuredAgoMS  int64        `json:"measured_ago_ms" cbor:"measured_ago_ms"` // age of the load figures when the report was sent, ms
	RunningTokens  int          `json:"running_tokens" cbor:"running_tokens"`
	WaitingTokens  int          `json:"waiting_tokens" cbor:"waiting_tokens"`
	CapacityTokens int          `json:"capacity_tokens" cbor:"capacity_tokens"` // for a service: number of concurrent requests
	CacheEvents    []CacheEvent `json:"cache_events,omitempty" cbor:"cache_events,omitempty"`
	// RateLimit is the number of requests per second that the endpoint takes; nil means
	// no limit.
	RateLimit *float64 `json:"rate_limit,omitempty" cbor:"rate_limit,omitempty"`
	// RejectionLimit is the number of requests per second that the endpoint can reject for
	// want of room before it fails; nil means no limit.
	RejectionLimit *int     `json:"rejection_limit,omitempty" cbor:"rejection_limit,omitempty"`
	FailedLoads    []string `json:"failed_loads,omitempty" cbor:"failed_loads,omitempty"` // versions that the endpoint failed to load
}

// Age returns the age of the load figures when the report was sent.
func (a Announce) Age() time.Duration { return time.Duration(a.MeasuredAgoMS) * time.Millisecond }

// Pool returns the name of the pool that the endpoint belongs to.
func (a Announce) Pool() string { return PoolName(a.Model, a.Region) }

// PoolName returns the name of the pool of a model or a service in a region.
func PoolName(model, region string) string { return model + "@" + region }

// EndpointKind distinguishes engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// CacheEvent reports that an engine stored or evicted prefix blocks. The engine
// numbers the events of an incarnation consecutively. Some events arrive late and
// some are lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence" cbor:"sequence"`
	Evicted  bool     `json:"evicted,omitempty" cbor:"evicted,omitempty"`
	Hashes   []uint64 `json:"hashes" cbor:"hashes"`
}
