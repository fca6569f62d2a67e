package brplace

import (
	"time"

	"bramleyroute/brconcurrency"
	"bramleyroute/brlimit"
)

// Endpoint describes an endpoint as it announced itself.
type Endpoint struct {
	ID      string
	Service string
	Address string // host:port
	Zone    string // failure domain
	Version string // software version
	Slots   int    // number of requests that it runs concurrently
	Leaving bool   // accepts no new requests
	Born    uint64 `cbor:"-"` // start time, Unix milliseconds; 0 if unknown
}

// Usage is the load that one daemon puts on an endpoint, and the outcomes that it
// observed there. It is encoded as an array, since reports make up most of the traffic
// between the daemons of a large fleet.
type Usage struct {
	_                   struct{}      `cbor:",toarray"`
	Active              int           // number of requests dispatched and not ended
	PendingPromptTokens int           // prompt tokens of dispatched requests without a first response byte
	Ended               uint64        // number of requests that ended since the daemon started
	Failed              uint64        // number of ended requests that failed because of the endpoint
	EventInterval       time.Duration // mean time between two events of a stream; 0 if unknown
}

// Report is the usage that one daemon publishes to the others, by endpoint ID.
type Report map[string]Usage

// Request is a request to be dispatched.
type Request struct {
	ID                uint64 // unique within this daemon
	Service           string
	Version           string // required endpoint version; empty for any except ExcludedVersion
	ExcludedVersion   string // excluded endpoint version; empty for none
	Rank              int    // 0 is the most urgent
	Stream            bool
	PromptTokens      int           // prompt length in tokens
	OutputTokens      int           // expected length of the response in tokens
	ExpectedEvents    float64       // expected number of events of a streamed response
	FirstByteDue      time.Time     // time by which the first response byte is due
	Deadline          time.Time     // time until which the caller waits
	MaxQueueTime      time.Duration // maximum time between Submit and dispatch
	ExcludedEndpoints []string      // IDs of endpoints to exclude
	Customer          string        // empty if unknown

	short    bool      // see service.isShort; set by State
	queuedAt time.Time // time of Submit; set by State
	// beyondShare says that its customer receives more than its share; set by State.
	beyondShare bool
}

// resent reports whether r was sent to an endpoint before.
func (r *Request) resent() bool { return len(r.ExcludedEndpoints) > 0 }

// Event is one of EndpointChanged, EndpointLost, EndpointPaused, EndpointFailed, LimitObserved,
// LimitPublished, ColdLimitsChanged, ColdAnnounced, FleetJoined, PeerReported, PeerLost,
// PeerPartitioned, ConcurrencyReported, MemoryLimitsChanged, SharesCompared, FleetChanged,
// DomainsEvacuated, PathLost, Submit, Cancel, FirstByte, Progressed, Ended and Tick.
type Event interface{ event() }

// EndpointChanged adds an endpoint or updates its description.
type EndpointChanged struct{ Endpoint Endpoint }

// EndpointLost removes an endpoint.
type EndpointLost struct{ ID string }

// EndpointPaused reports that an endpoint asked this daemon to send it no requests for
// Duration.
type EndpointPaused struct {
	ID       string
	Duration time.Duration
}

// EndpointFailed reports a dispatch that ended as Inconclusive before and turned out to
// have Failed.
type EndpointFailed struct{ ID string }

// LimitObserved reports what a response states about the limit of its endpoint.
type LimitObserved struct {
	ID       string
	Born     uint64    // start of the endpoint to which the request was sent
	SentAt   time.Time // time at which it was sent
	Limit    brlimit.Limit
	Rejected bool // the endpoint rejected the request for want of room
}

// LimitPublished carries the limit of an endpoint that a daemon has published.
type LimitPublished struct {
	ID       string
	Born     uint64 // start of the endpoint
	Limit    brlimit.Limit
	Rejected bool // the endpoint has just rejected a request for want of room
}

// PeerReported carries the latest report of another daemon.
type PeerReported struct {
	Daemon string
	Report Report
}

// PeerLost reports that another daemon has stopped sending reports.
type PeerLost struct{ Daemon string }

// PeerPartitioned reports whether another daemon has lost its direct path to the endpoints.
// While it has, the failures that it reports may be those of its path.
type PeerPartitioned struct {
	Daemon      string
	Partitioned bool
}

// ConcurrencyReported carries what another daemon has counted of the responses of endpoints. A
// nil Report forgets the daemon.
type ConcurrencyReported struct {
	Daemon string
	Report brconcurrency.Report
}

// SharesCompared carries the customers that receive more than their share of the fleet, with the
// part of their requests that is within it.
type SharesCompared struct{ Beyond map[string]float64 }

// PathLost reports that this daemon has lost its direct path to the endpoints, and reaches
// them through other daemons from now on.
type PathLost struct{}

// FleetChanged carries the sorted IDs of all daemons, including this one.
type FleetChanged struct{ Daemons []string }

// Submit requests a dispatch. The resulting Dispatch or Reject effect is returned
// by the same or a later Step.
type Submit struct{ Request Request }

// Cancel removes a waiting request.
type Cancel struct{ ID uint64 }

// FirstByte reports that the first byte of a response arrived.
type FirstByte struct{ ID uint64 }

// Progressed reports that further events of a running stream arrived.
type Progressed struct{ ID uint64 }

// Ended reports the end of a dispatched request.
type Ended struct {
	ID            uint64
	Result        Result
	EventInterval time.Duration // mean time between two events of the stream; 0 if not measured
}

// Tick triggers periodic work: timeouts, queue expiry and decay of statistics.
type Tick struct{}

// Result is the outcome of a dispatch with regard to the health of the endpoint.
type Result uint8

// The results of a dispatch.
const (
	Succeeded    Result = iota + 1 // the endpoint completed the request
	Failed                         // the endpoint failed
	Inconclusive                   // no evidence, as the caller disconnected or the endpoint was full
	WrongAddress                   // the address refuses connections or belongs to another endpoint
)

// Effect is Dispatch, Reject, Suspended, LimitLearned or ConcurrencyLimited.
type Effect interface{ effect() }

// Dispatch directs a request to an endpoint.
type Dispatch struct {
	ID       uint64
	Endpoint Endpoint
}

// Reject rejects a request before its dispatch.
type Reject struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
	Waiting    int // number of requests of the service waiting at this daemon
	FreeSlots  int // number of free slots of the service as known to this daemon
}

// Suspended reports that an endpoint receives no requests for Duration.
type Suspended struct {
	Endpoint string
	Duration time.Duration
	Cause    Cause
	Ended    float64 // decayed number of ended requests over all daemons
	Failed   float64 // decayed number of failed requests over all daemons
}

// ConcurrencyLimited reports that the number of requests at once that an endpoint takes well
// has changed.
type ConcurrencyLimited struct {
	Endpoint string
	Limit    int           // requests at once
	Slots    int           // that the endpoint states
	Unit     time.Duration // for a call, or between two events of a stream; 0 if unknown
}

// LimitLearned reports a limit, or a rejection by an endpoint that bears few, to be
// published to the other daemons.
type LimitLearned LimitObserved

// Cause is the reason for the suspension of an endpoint.
type Cause string

// The causes of a suspension.
const (
	Failing     Cause = "failing"     // higher failure rate than the other endpoints of its service
	Stalled     Cause = "silent"      // no response byte within stallTimeout
	Unreachable Cause = "unreachable" // its address refuses connections or belongs to another endpoint
)

// Reason is the reason for the rejection of a request.
type Reason string

// The reasons for a rejection.
const (
	NoEndpoint   Reason = "no_endpoint"   // no endpoint of the service is eligible
	OverCapacity Reason = "over_capacity" // the fleet sends more calls than the endpoints complete in time
	Overload     Reason = "overload"      // the expected queueing time exceeds MaxQueueTime
	QueueTimeout Reason = "waited"        // the request has waited for longer than MaxQueueTime
	Paused       Reason = "paused"        // every eligible endpoint asked for a pause that outlasts MaxQueueTime
	// ShareExceeded: the customer receives more than its share of a congested service.
	ShareExceeded Reason = "share"
	Cold          Reason = "cold"    // as Limited, and some of these endpoints are cold
	Limited       Reason = "limited" // the limits of the eligible endpoints leave no room within MaxQueueTime
)

func (EndpointChanged) event() {}
func (EndpointLost) event()    {}
func (EndpointPaused) event()  {}
func (EndpointFailed) event()  {}
func (LimitObserved) event()   {}
func (LimitPublished) event()  {}
func (PeerReported) event()    {}
func (PeerLost) event()        {}
func (PeerPartitioned) event() {}
func (PathLost) event()        {}

func (ConcurrencyReported) event() {}

func (FleetChanged) event()   {}
func (Submit) event()         {}
func (Cancel) event()         {}
func (FirstByte) event()      {}
func (Progressed) event()     {}
func (Ended) event()          {}
func (Tick) event()           {}
func (SharesCompared) event() {}

func (Dispatch) effect()  {}
func (Reject) effect()    {}
func (Suspended) effect() {}

func (LimitLearned) effect() {}

func (ConcurrencyLimited) effect() {}
