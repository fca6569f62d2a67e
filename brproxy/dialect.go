package brproxy

import (
	"net/http"
	"time"

	"bramleyroute/brconn"
)

// CallParams holds the parameters that a caller states in the header of a request.
type CallParams struct {
	ID               string
	Key              string        // API key of the customer
	Deadline         time.Duration // time from its arrival that the caller waits; 0 if not stated
	PromptTokens     int           // prompt length in tokens; 0 if not stated
	MaxOutputTokens  int           // maximum response length in tokens
	OutputTokensHint int           // caller's estimate of the response length in tokens; 0 if not stated
	HasTokens        bool          // whether PromptTokens and MaxOutputTokens were stated
	LastEventID      string        // ID of the event after which the caller resumes a stream; empty if it doesn't
	// PromptParts holds the IDs of the parts of the prompt that other requests may share.
	PromptParts []string
}

// DispatchParams holds the parameters that are sent to an endpoint in the header of a
// request.
type DispatchParams struct {
	Endpoint    string        // ID of the intended endpoint
	Customer    string        // name of the customer; empty if there is none
	Timeout     time.Duration // remaining time until the deadline of the request
	LastEventID string        // ID of the last event relayed to the caller; empty at the start of a stream
}

// Dialect maps between header fields and the types of this package. All functions
// except Matches and Refusal are required.
type Dialect struct {
	// Decode decodes the header of a caller's request. An error results in a
	// response with status 400.
	Decode func(r *http.Request) (CallParams, error)
	// EncodeHeader returns the header of the request to the endpoint. The argument in
	// is the header of the caller's request.
	EncodeHeader func(in http.Header, d DispatchParams) http.Header
	// NotRun reports whether a response states that the request didn't run.
	NotRun func(a *brconn.Response) bool
	// Misdirected reports whether a response was sent by an endpoint other than the
	// intended one.
	Misdirected func(a *brconn.Response) bool
	// Leaving reports whether a response states that its endpoint is shutting down and
	// wants no new requests.
	Leaving func(a *brconn.Response) bool
	// RateLimit returns the number of requests per second that the endpoint of a response
	// takes from all daemons together, and whether the response states one. It returns an
	// error for a statement that can't be interpreted.
	RateLimit func(a *brconn.Response) (rate float64, stated bool, err error)
	// RejectionLimit is the same for the number of rejections per second that the endpoint
	// bears.
	RejectionLimit func(a *brconn.Response) (limit int, stated bool, err error)
	// Matches reports whether a response belongs to the request with the given ID.
	Matches func(id string, a *brconn.Response) bool
	// Refusal is as in brconn.Pool.
	Refusal func(a *brconn.Response) (refusal, named bool)
}
