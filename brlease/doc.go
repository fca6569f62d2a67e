// Package brlease implements named leases: the lease table replicated by the
// control group, the validity of a lease at its holder, and the leader's timers.
//
// The replicated table contains no elapsed time. A holder measures the duration
// from the time it sent its last successful renewal and stops 1% early. The leader
// measures the full duration from the time it applied the renewal, and a new
// leader starts again with the full duration. As long as clock rates differ by
// less than 1%, the holder stops before the leader considers the lease lapsed.
package brlease
