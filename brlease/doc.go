// Package brlease implements named leases: the table that the control group
// agrees on, the holder's calculation of how long it may act, and the leader's
// timers.
//
// Elapsed time is never part of the replicated table. A holder counts from the
// sending of its last successful renewal and stops 1% early; the leader counts
// the full duration from applying it, and a new leader starts again from the
// full duration. With clocks that run apart by less than 1%, the holder has
// stopped before the leader regards the lease as lapsed.
package brlease
