// Package brerror defines the closed set of error kinds and the table that maps each
// kind to the response to the caller: the HTTP status, whether the request ran, and
// whether it may be retried.
package brerror
