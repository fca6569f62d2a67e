package brfake

import (
	"time"

	"bramleyroute/brwire"
)

// Config configures an Endpoint. Zero durations cause no delay.
type Config struct {
	EndpointID    string
	Address       string // announced host:port
	Kind          brwire.EndpointKind
	Model         string // or the name of the service
	Version       string
	Region        string
	FailureDomain string
	Hardware      string
	ChecksFencing bool

	CapacityTokens  int // in announcements
	MaxBatch        int // maximum number of sequences in a batch; 0 means 64
	PrefillPerToken time.Duration
	PrefillChunk    int           // maximum number of prompt tokens computed in one step; 0 means 512
	StepBase        time.Duration // duration of a step with an empty batch
	StepPerSequence time.Duration // added for each sequence in the batch
	CacheBlocks     int           // capacity of the prefix cache, in blocks
	LoadTime        time.Duration // duration of the load of a version, model or adapter
	ServiceLatency  time.Duration // duration of a call to a plain service

	Daemons        []string      // host:port of the daemons' peer listeners
	Key            string        // bearer key of announcements; none if empty
	LoadLag        time.Duration // minimum age of the announced load figures
	CacheEventLag  time.Duration // delay before a cache event is announced
	CacheEventLoss float64       // fraction of cache events that are never announced
	Seed           uint64

	// Faults holds the faults by version. The entry "" applies to versions without
	// an entry.
	Faults map[string]Faults
}

// Faults are the faults that an endpoint injects. The zero value injects none.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`       // factor on the duration of a step; 0 means 1
	SlowAboveBatch  int     `json:"slow_above_batch"`  // batch size above which SlowAboveFactor applies; 0 means never
	SlowAboveFactor float64 `json:"slow_above_factor"` // factor on the duration of a step
	FailRate        float64 `json:"fail_rate"`         // fraction of requests that fail with status 500
	FailRoute       string  `json:"fail_route"`        // route whose requests fail
	FailAfter       int     `json:"fail_after"`        // number of requests after which all fail; 0 means never
	StuckRequest    string  `json:"stuck_request"`     // request ID, or "*" for all; the stream sends keep-alives but no tokens
	StuckAt         int     `json:"stuck_at"`          // number of tokens that a stuck stream sends first
	RefuseOrders    bool    `json:"refuse_orders"`
	FailLoad        string  `json:"fail_load"` // version whose load fails
}

// FaultRequest is the body of POST /debug/fault. It replaces the faults of one
// version. Silence stops all output on the connections that are open at that moment,
// without closing them.
type FaultRequest struct {
	Version string `json:"version"` // empty for versions without an entry
	Faults  Faults `json:"faults"`
	Silence bool   `json:"silence"`
}

// Counts is the body of the response to GET /debug/counts.
type Counts struct {
	Requests           map[string]int `json:"requests"`         // number of receptions by request ID
	Duplicates         int            `json:"duplicates"`       // receptions of a request ID after the first
	PrefillComputed    int            `json:"prefill_computed"` // tokens
	PrefillCached      int            `json:"prefill_cached"`   // tokens
	PrefillWasted      int            `json:"prefill_wasted"`   // tokens computed for requests that were canceled
	Generated          int            `json:"generated"`        // tokens
	Finished           int            `json:"finished"`
	Failed             int            `json:"failed"`
	Canceled           int            `json:"canceled"`
	Resumes            int            `json:"resumes"`
	Orders             int            `json:"orders"`
	OrdersRefused      int            `json:"orders_refused"`
	Versions           map[string]int `json:"versions"`   // number of requests by the version served at their reception
	OrderLog           []OrderRecord  `json:"order_log"`  // the first orders received, at most 1000
	MaxConcurrentCalls int            `json:"most_calls"` // maximum number of concurrent calls of a plain service
	Running            int            `json:"running"`
	Waiting            int            `json:"waiting"`
}

// OrderRecord is an order received by an endpoint.
type OrderRecord struct {
	At           time.Time `json:"at"`
	OrderID      string    `json:"order_id"`
	Version      string    `json:"version"`
	FencingToken uint64    `json:"fencing_token"`
	Refusal      string    `json:"refusal,omitempty"` // reason; empty if the order was executed
}
