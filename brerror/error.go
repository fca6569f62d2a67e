package brerror

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error of a known kind. It travels between processes and is the
// source of every refusal that a caller sees.
type Error struct {
	Kind       Kind          `cbor:"kind" json:"kind"`
	Message    string        `cbor:"message" json:"message"`
	Field      string        `cbor:"field,omitempty" json:"field,omitempty"`
	RetryAfter time.Duration `cbor:"retry_after,omitempty" json:"-"`

	// EntryID and EndpointAddress name where a request with the same id runs;
	// they are set for InProgress and AlreadyRun.
	EntryID         string `cbor:"entry_id,omitempty" json:"entry_id,omitempty"`
	EndpointAddress string `cbor:"endpoint_address,omitempty" json:"endpoint_address,omitempty"`

	cause error
}

// New returns an Error of kind k with a formatted message. A %w verb sets the
// cause that errors.Unwrap returns.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: err.Error(), cause: errors.Unwrap(err)}
}

// Error returns the kind and the message, with the field where there is one.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%v: %s: %s", e.Kind, e.Field, e.Message)
	}
	return fmt.Sprintf("%v: %s", e.Kind, e.Message)
}

// Unwrap returns the cause of e, or nil.
func (e *Error) Unwrap() error { return e.cause }

// WithField returns a copy of e that names the offending field.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRun returns a copy of e that names the entry and the endpoint that hold
// the request.
func (e *Error) WithRun(entryID, endpointAddress string) *Error {
	c := *e
	c.EntryID, c.EndpointAddress = entryID, endpointAddress
	return &c
}

// From returns err as an *Error. An error without a kind becomes Internal, nil
// stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), cause: err}
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
