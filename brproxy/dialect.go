package brproxy

import (
	"net/http"
	"time"

	"bramleyroute/brconn"
)

// Call is what a request says of itself.
type Call struct {
	ID       string
	Key      string        // of the customer
	Deadline time.Duration // that the caller waits; 0 when not stated
	Prompt   int           // tokens; 0 when not stated
	Output   int           // largest number of tokens
	Hint     int           // caller's estimate of the tokens of the answer; 0 when not stated
	Stated   bool          // Prompt and Output were stated
}

// Dispatch is what an endpoint is told beside the request itself.
type Dispatch struct {
	Endpoint string        // id of the endpoint that is meant
	Customer string        // empty when there is none
	Left     time.Duration // that the answer may take
	After    string        // id of the last event that the caller has; empty for the start
}

// Dialect maps between header fields and the types of this package.
type Dialect struct {
	// Decode reads a caller's request. An error is answered with status 400.
	Decode func(r *http.Request) (Call, error)
	// Outgoing returns the header of a dispatch.
	Outgoing func(in http.Header, d Dispatch) http.Header
	// NotRun reports whether an endpoint's answer says that the request didn't run.
	NotRun func(a *brconn.Answer) bool
	// Misdirected reports whether another endpoint answered at the address.
	Misdirected func(a *brconn.Answer) bool
	// Matches reports whether an answer belongs to the request with an id.
	Matches func(id string, a *brconn.Answer) bool
}
