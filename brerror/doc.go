// Package brerror holds the closed list of error kinds and the table that maps
// each kind to what a caller is told: the HTTP status, whether the request ran,
// and whether it may be retried.
package brerror
