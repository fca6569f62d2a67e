package brconfig

import "time"

// Tiers is the number of tiers; tier 1 is the highest.
const Tiers = 5

// Document is a whole configuration. It is written as JSON with snake case
// keys; durations are in milliseconds. A Document is not modified after it was
// checked.
type Document struct {
	Templates []Template `json:"templates" cbor:"templates"`
	Customers []Customer `json:"customers" cbor:"customers"`
	Models    []Model    `json:"models" cbor:"models"`
}

// Template is a set of routes that several customers share.
type Template struct {
	Name   string  `json:"name" cbor:"name"`
	Routes []Route `json:"routes" cbor:"routes"`
	Moves  []Move  `json:"moves,omitempty" cbor:"moves,omitempty"`
}

// Route is one kind of work.
type Route struct {
	Name          string `json:"name" cbor:"name"`
	Model         string `json:"model" cbor:"model"`                     // name of a model or a plain service
	Tier          int    `json:"tier" cbor:"tier"`                       // 1 (highest) to 5
	FirstTokenMS  int    `json:"first_token_ms" cbor:"first_token_ms"`   // target for the first token, or for a service's answer
	TokenMS       int    `json:"token_ms,omitempty" cbor:"token_ms"`     // target for the mean time between tokens
	DeadlineMS    int    `json:"deadline_ms" cbor:"deadline_ms"`         // the first token later than this is worth nothing
	StuckMS       int    `json:"stuck_ms,omitempty" cbor:"stuck_ms"`     // without a token for this long a stream is ended; 0 leaves it to the setting stuck_timeout
	MaxTokens     int    `json:"max_tokens,omitempty" cbor:"max_tokens"` // bound on what a request may ask for; 0 means 4,096
	NonIdempotent bool   `json:"non_idempotent,omitempty" cbor:"non_idempotent"`
}

// Deadline returns DeadlineMS as a duration.
func (r Route) Deadline() time.Duration { return time.Duration(r.DeadlineMS) * time.Millisecond }

// FirstToken returns FirstTokenMS as a duration.
func (r Route) FirstToken() time.Duration { return time.Duration(r.FirstTokenMS) * time.Millisecond }

// Move is a version change of a template: traffic of its customers to Model
// must have moved from version From to version To by FinishBy, or stays.
type Move struct {
	Model    string    `json:"model" cbor:"model"`
	From     string    `json:"from" cbor:"from"`
	To       string    `json:"to" cbor:"to"`
	FinishBy time.Time `json:"finish_by" cbor:"finish_by"` // wall time
}

// Customer is an organisation whose requests are served.
type Customer struct {
	Name       string       `json:"name" cbor:"name"`
	Template   string       `json:"template" cbor:"template"`
	Keys       []string     `json:"keys" cbor:"keys"`                                 // accepted bearer keys; two while one is replaced
	Weight     int          `json:"weight,omitempty" cbor:"weight"`                   // share inside a tier; 0 means 1
	Parameters []Parameters `json:"parameters,omitempty" cbor:"parameters,omitempty"` // one per route that differs from the template
}

// Parameters replace values of a template's route for one customer. Nil fields
// keep the template's value.
type Parameters struct {
	Route         string     `json:"route" cbor:"route"`
	Tier          *int       `json:"tier,omitempty" cbor:"tier,omitempty"`
	FirstTokenMS  *int       `json:"first_token_ms,omitempty" cbor:"first_token_ms,omitempty"`
	TokenMS       *int       `json:"token_ms,omitempty" cbor:"token_ms,omitempty"`
	DeadlineMS    *int       `json:"deadline_ms,omitempty" cbor:"deadline_ms,omitempty"`
	NonIdempotent *bool      `json:"non_idempotent,omitempty" cbor:"non_idempotent,omitempty"`
	MoveBy        *time.Time `json:"move_by,omitempty" cbor:"move_by,omitempty"` // replaces FinishBy of the move of the route's model
}

// Model holds the limits of the pools of one model or plain service.
type Model struct {
	Name             string `json:"name" cbor:"name"`
	Kind             string `json:"kind" cbor:"kind"`                                     // "engine" or "service"
	HeadroomPercent  int    `json:"headroom_percent,omitempty" cbor:"headroom_percent"`   // of capacity kept for tier 1; 0 means 20
	QueueTokens      int    `json:"queue_tokens,omitempty" cbor:"queue_tokens"`           // bound on queued work; 0 means 2,000,000
	WeightBytes      int64  `json:"weight_bytes,omitempty" cbor:"weight_bytes"`           // read from the weight store by one load; 0 means not paced
	OutstandingLimit int    `json:"outstanding_limit,omitempty" cbor:"outstanding_limit"` // per endpoint, in tokens (service: requests); 0 means what the endpoint announces
}
