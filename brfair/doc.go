// Package brfair decides which customers receive more than their share of what a fleet serves.
//
// Shares are weighted max-min fair: what a customer doesn't ask for is divided among the
// others. Nothing is saved up: only what is asked for and received at present counts, so that
// a customer that was idle gets no credit and a new one has none to pay back. The package does
// no I/O.
package brfair
