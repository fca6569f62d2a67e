package brpolicy

import "time"

// RetryMode says whether a request whose outcome is unknown may be retried.
type RetryMode uint8

// The values of RetryMode.
const (
	NeverRetry  RetryMode = iota // must run at most once
	SafeToRetry                  // may run more than once
	Resumable                    // a stream that another endpoint can resume once the first run has ended
)

// Policy is one version of the routing policy. It is immutable.
type Policy struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer // if empty, callers need no key
	Limits    Limits
}

// Route maps the requests with a host and a path prefix to services.
type Route struct {
	Name                string
	Host                string
	Prefix              string // of the path; begins and ends with a slash
	Targets             []Target
	RetryMode           RetryMode
	Stream              bool          // the response is a stream of events
	Timeout             time.Duration // of the whole request; must be positive
	FirstByteTarget     time.Duration // target time to the first byte of the response
	EventIntervalTarget time.Duration // target for the longest time between two events; 0 if not set
	CallerTimeout       time.Duration // time without a response byte after which callers disconnect; 0 if unknown
	Rank                int           // 0 is the most urgent
	MaxAttempts         int           // maximum number of endpoints that a request is sent to, at least 1
	Anonymous           bool          // requests need no key
}

// Target is a service and its weight in the traffic split of a route.
type Target struct {
	Service string
	Weight  int // not negative; relative to the sum of the weights of the route
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one endpoint, over all callers; 0 if not set
	Engine         *Engine // nil if the service runs no model engine
	// ColdRate is the number of requests per second that an endpoint takes while it is
	// cold, from all daemons together; 0 means no limit.
	ColdRate float64
	// ColdStart is the usual time for which an endpoint is cold after its start.
	ColdStart time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int // number of requests that run concurrently
	KVCapacity     int // KV cache capacity in tokens
	TokensPerEvent int // number of tokens per event
}

// Customer is the owner of one or more keys, with its quota.
type Customer struct {
	Name          string
	Keys          []string
	Rank          int     // priority among customers; 0 is the highest
	Rate          float64 // quota per second, in the unit that QuotaInTokens selects
	Burst         float64 // capacity of the quota bucket, in the same unit
	QuotaInTokens bool    // whether Rate and Burst are in tokens; otherwise in requests
	DefaultTokens float64 // cost in tokens of a request that states no token counts
}

// Limits restrict the size of requests and the lifetime of callers' connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
