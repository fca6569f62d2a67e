package brconfig

import "time"

// Tiers is the number of tiers; tier 1 is the highest.
const Tiers = 5

// Document is a complete configuration. It is written as JSON with snake case keys
// and with durations in milliseconds. A Document must not be modified after Check.
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

// Route is one kind of request, with its model, tier and limits.
type Route struct {
	Name          string `json:"name" cbor:"name"`
	Model         string `json:"model" cbor:"model"`                     // name of a model or a plain service
	Tier          int    `json:"tier" cbor:"tier"`                       // 1 (highest) to 5
	FirstTokenMS  int    `json:"first_token_ms" cbor:"first_token_ms"`   // target time to the first token, or to the response of a service
	TokenMS       int    `json:"token_ms,omitempty" cbor:"token_ms"`     // target for the mean time between tokens
	DeadlineMS    int    `json:"deadline_ms" cbor:"deadline_ms"`         // time after which a first token has no value to the caller
	StuckMS       int    `json:"stuck_ms,omitempty" cbor:"stuck_ms"`     // time without a token after which a stream is ended; 0 means the setting stuck_timeout
	MaxTokens     int    `json:"max_tokens,omitempty" cbor:"max_tokens"` // limit on the tokens that a request may ask for; 0 means 4,096
	NonIdempotent bool   `json:"non_idempotent,omitempty" cbor:"non_idempotent"`
}

// Deadline returns DeadlineMS as a duration.
func (r Route) Deadline() time.Duration { return time.Duration(r.DeadlineMS) * time.Millisecond }

// FirstToken returns FirstTokenMS as a duration.
func (r Route) FirstToken() time.Duration { return time.Duration(r.FirstTokenMS) * time.Millisecond }

// Move is a version change of a template. It moves the traffic of the template's
// customers to Model from version From to version To. If it has not finished by
// FinishBy, it is rolled back.
type Move struct {
	Model    string    `json:"model" cbor:"model"`
	From     string    `json:"from" cbor:"from"`
	To       string    `json:"to" cbor:"to"`
	FinishBy time.Time `json:"finish_by" cbor:"finish_by"` // wall time
}

// Customer is an organization whose requests are served.
type Customer struct {
	Name       string       `json:"name" cbor:"name"`
	Template   string       `json:"template" cbor:"template"`
	Keys       []string     `json:"keys" cbor:"keys"`                                 // accepted bearer keys; two while a key is being replaced
	Weight     int          `json:"weight,omitempty" cbor:"weight"`                   // relative share within a tier; 0 means 1
	Parameters []Parameters `json:"parameters,omitempty" cbor:"parameters,omitempty"` // at most one per route of the template
}

// Parameters replace values of a template's route for one customer. A nil field
// leaves the template's value in effect.
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
	HeadroomPercent  int    `json:"headroom_percent,omitempty" cbor:"headroom_percent"`   // percentage of the capacity reserved for tier 1; 0 means 20
	QueueTokens      int    `json:"queue_tokens,omitempty" cbor:"queue_tokens"`           // limit on queued work; 0 means 2,000,000
	WeightBytes      int64  `json:"weight_bytes,omitempty" cbor:"weight_bytes"`           // bytes that one load reads from the weight store; 0 means that loads are not rate limited
	OutstandingLimit int    `json:"outstanding_limit,omitempty" cbor:"outstanding_limit"` // limit on outstanding work per endpoint, in tokens (service: in requests); 0 means the announced capacity
}
