package brerror

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with a kind. It is encoded in messages between processes, and
// every error response to a caller is derived from one.
type Error struct {
	Kind       Kind          `cbor:"kind" json:"kind"`
	Message    string        `cbor:"message" json:"message"`
	Field      string        `cbor:"field,omitempty" json:"field,omitempty"`
	RetryAfter time.Duration `cbor:"retry_after,omitempty" json:"-"`

	// EntryID and EndpointAddress identify the entry and the endpoint of the earlier
	// request with the same ID. WithEarlierRequest sets them.
	EntryID         string `cbor:"entry_id,omitempty" json:"entry_id,omitempty"`
	EndpointAddress string `cbor:"endpoint_address,omitempty" json:"endpoint_address,omitempty"`

	cause error
}

// New returns an Error of kind k with a formatted message. The operand of a %w verb
// becomes the cause returned by Unwrap.
func New(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: k, Message: err.Error(), cause: errors.Unwrap(err)}
}

// Error returns the kind, the field if it is set, and the message.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%v: %s: %s", e.Kind, e.Field, e.Message)
	}
	return fmt.Sprintf("%v: %s", e.Kind, e.Message)
}

// Unwrap returns the cause of e, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// WithField returns a copy of e with the name of the invalid field.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithEarlierRequest returns a copy of e with the entry and the endpoint of the
// earlier request with the same ID.
func (e *Error) WithEarlierRequest(entryID, endpointAddress string) *Error {
	c := *e
	c.EntryID, c.EndpointAddress = entryID, endpointAddress
	return &c
}

// From returns the first *Error in the chain of err. If there is none, it returns an
// Error of kind Internal that wraps err. From returns nil if err is nil.
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

// Is reports whether the first *Error in the chain of err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
