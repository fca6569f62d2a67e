package brfake

import (
	"time"

	"bramleyroute/brwire"
)

// Config describes one endpoint. Zero durations cost no time.
type Config struct {
	EndpointID    string
	Address       string // host:port that is announced
	Kind          brwire.EndpointKind
	Model         string // or the service's name
	Version       string
	Region        string
	FailureDomain string
	Hardware      string
	ChecksFencing bool

	CapacityTokens  int // announced
	MaxBatch        int // sequences in a batch; 0 means 64
	PrefillPerToken time.Duration
	PrefillChunk    int           // prompt tokens computed in one step at most; 0 means 512
	StepBase        time.Duration // decode time of a step with an empty batch
	StepPerSequence time.Duration // added for each sequence in the batch
	CacheBlocks     int           // prefix blocks kept
	LoadTime        time.Duration // of a version, model or adapter
	ServiceLatency  time.Duration // of a call to a plain service

	Daemons        []string // host:port of the daemons' peer listeners
	Key            string   // bearer key of announcements; empty sends none
	LoadLag        time.Duration
	CacheEventLag  time.Duration
	CacheEventLoss float64 // share of cache events that are never announced
	Seed           uint64

	// Faults by version; the entry "" is for versions without one.
	Faults map[string]Faults
}

// Faults is what an endpoint does wrong. The zero value is a sound endpoint.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`      // of prefill and decode; 0 means 1
	SlowAboveBatch  int     `json:"slow_above_batch"` // batches larger than this take SlowAboveFactor; 0 means none
	SlowAboveFactor float64 `json:"slow_above_factor"`
	FailRate        float64 `json:"fail_rate"`     // share of requests answered with status 500
	FailRoute       string  `json:"fail_route"`    // route whose requests all fail
	FailAfter       int     `json:"fail_after"`    // requests after which all fail; 0 means never
	StuckRequest    string  `json:"stuck_request"` // id, or "*", whose stream has keep-alives and no tokens
	StuckAt         int     `json:"stuck_at"`      // tokens that a stuck stream sends before it stops
	RefuseOrders    bool    `json:"refuse_orders"`
	FailLoad        string  `json:"fail_load"` // version that can't be loaded
}

// FaultRequest is the body of POST /debug/fault. It replaces the faults of one
// version; Silence makes all connections that are open at that moment silent.
type FaultRequest struct {
	Version string `json:"version"` // empty for versions without faults of their own
	Faults  Faults `json:"faults"`
	Silence bool   `json:"silence"`
}

// Counts is the answer of GET /debug/counts.
type Counts struct {
	Requests        map[string]int `json:"requests"` // times that each request id was received
	Duplicates      int            `json:"duplicates"`
	PrefillComputed int            `json:"prefill_computed"` // tokens
	PrefillCached   int            `json:"prefill_cached"`   // tokens
	PrefillWasted   int            `json:"prefill_wasted"`   // computed tokens of requests that didn't finish
	Generated       int            `json:"generated"`        // tokens
	Finished        int            `json:"finished"`
	Failed          int            `json:"failed"`
	Canceled        int            `json:"canceled"`
	Resumes         int            `json:"resumes"`
	Orders          int            `json:"orders"`
	OrdersRefused   int            `json:"orders_refused"`
	Versions        map[string]int `json:"versions"`   // requests received while each version was served
	OrderLog        []OrderSeen    `json:"order_log"`  // the first orders received
	MostCalls       int            `json:"most_calls"` // highest number of calls of a plain service at a time
	Running         int            `json:"running"`
	Waiting         int            `json:"waiting"`
}

// OrderSeen is an order as an endpoint received it.
type OrderSeen struct {
	At           time.Time `json:"at"`
	OrderID      string    `json:"order_id"`
	Version      string    `json:"version"`
	FencingToken uint64    `json:"fencing_token"`
	Refusal      string    `json:"refusal,omitempty"` // empty when it was carried out
}
