package brerror

import (
	"fmt"
	"net/http"
)

// Kind is the reason for the failure of a request or a command. The set of kinds is
// closed. The zero value is Internal.
type Kind uint8

// The error kinds. Their names are in the table responses.
const (
	Internal Kind = iota
	InvalidRequest
	Unauthorized
	UnknownModel
	UnknownRequest
	TooLarge
	RevisionConflict
	InProgress
	AlreadyRun
	TooOld
	UnknownOutcome
	Overloaded
	DeadlineUnmeetable
	EndpointUnavailable
	ShuttingDown
	ConfigurationUnconfirmed
	NoQuorum
	LedgerUnavailable
	NotOwner
	NotLeader
	EndpointFailed
	Stuck
	Canceled
	DeadlineExceeded
	QueueTimeout
	OrderRefused
	kindCount
)

// Outcome states whether a failed request was run.
type Outcome uint8

// The outcomes. NotRun is used only with proof that the request never left this
// system.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// Response is the response to a caller for a Kind.
type Response struct {
	Name    string // snake case name of the kind
	Status  int    // HTTP status code
	Outcome Outcome
	Retry   bool // the same request may be resent after Error.RetryAfter
}

// StatusClientClosedRequest is the common non-standard HTTP status for a request whose
// caller disconnected before the response.
const StatusClientClosedRequest = 499

var responses = [kindCount]Response{
	Internal:                 {"internal", http.StatusInternalServerError, Unknown, false},
	InvalidRequest:           {"invalid_request", http.StatusBadRequest, NotRun, false},
	Unauthorized:             {"unauthorized", http.StatusUnauthorized, NotRun, false},
	UnknownModel:             {"unknown_model", http.StatusNotFound, NotRun, false},
	UnknownRequest:           {"unknown_request", http.StatusNotFound, NotRun, false},
	TooLarge:                 {"too_large", http.StatusRequestEntityTooLarge, NotRun, false},
	RevisionConflict:         {"revision_conflict", http.StatusConflict, NotRun, false},
	InProgress:               {"in_progress", http.StatusConflict, Unknown, false},
	AlreadyRun:               {"already_run", http.StatusConflict, Ran, false},
	TooOld:                   {"too_old", http.StatusGone, Unknown, false},
	UnknownOutcome:           {"unknown_outcome", http.StatusConflict, Unknown, false},
	Overloaded:               {"overloaded", http.StatusTooManyRequests, NotRun, true},
	DeadlineUnmeetable:       {"deadline_unmeetable", http.StatusTooManyRequests, NotRun, true},
	EndpointUnavailable:      {"endpoint_unavailable", http.StatusServiceUnavailable, NotRun, true},
	ShuttingDown:             {"shutting_down", http.StatusServiceUnavailable, NotRun, true},
	ConfigurationUnconfirmed: {"configuration_unconfirmed", http.StatusServiceUnavailable, NotRun, true},
	NoQuorum:                 {"no_quorum", http.StatusServiceUnavailable, Unknown, true},
	LedgerUnavailable:        {"ledger_unavailable", http.StatusServiceUnavailable, NotRun, true},
	NotOwner:                 {"not_owner", http.StatusServiceUnavailable, NotRun, true},
	NotLeader:                {"not_leader", http.StatusServiceUnavailable, NotRun, true},
	EndpointFailed:           {"endpoint_failed", http.StatusBadGateway, Unknown, false},
	Stuck:                    {"stuck", http.StatusGatewayTimeout, Unknown, false},
	Canceled:                 {"canceled", StatusClientClosedRequest, Unknown, false},
	DeadlineExceeded:         {"deadline_exceeded", http.StatusGatewayTimeout, Unknown, false},
	QueueTimeout:             {"queue_timeout", http.StatusServiceUnavailable, NotRun, true},
	OrderRefused:             {"order_refused", http.StatusConflict, NotRun, false},
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response to a caller for k. Response panics if k is not a
// declared kind.
func (k Kind) Response() Response {
	if k >= kindCount {
		panic(fmt.Sprintf("brerror: kind %d out of range", uint8(k)))
	}
	return responses[k]
}

// String returns the snake case name of k, or kind_N for an undeclared kind N.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind_%d", uint8(k))
	}
	return responses[k].Name
}

// MarshalText returns the text of String.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k to the kind with the given snake case name. It returns an error
// if there is none.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, a := range responses {
		if a.Name == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return fmt.Errorf("brerror: unknown error kind %q", text)
}

// String returns "unknown", "not_run" or "ran".
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// MarshalText returns the text of String.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText sets o from "unknown", "not_run" or "ran". It returns an error for any
// other text.
func (o *Outcome) UnmarshalText(text []byte) error {
	switch string(text) {
	case "unknown":
		*o = Unknown
	case "not_run":
		*o = NotRun
	case "ran":
		*o = Ran
	default:
		return fmt.Errorf("brerror: unknown outcome %q", text)
	}
	return nil
}
