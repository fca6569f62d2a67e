// Package brledger stores the records of non-idempotent requests, so that each of
// them runs at most once. An entry begins a record before it dispatches the request
// and finishes the record with the response. A request resent under the same ID
// gets the stored response or an error.
//
// The package uses no clock. The caller passes the time stamped on the committed
// command, which must not decrease.
package brledger
