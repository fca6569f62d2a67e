// Package brledger keeps the records of non-idempotent requests, which run at
// most once. An entry begins a record before it dispatches the request and
// finishes it with the answer; a resend gets the kept answer or a refusal.
//
// The package has no clock: the caller passes the time that is stamped on the
// committed command, which must not decrease.
package brledger
