// Package brmember implements the membership of daemons: which daemons have a
// live session, which accept new work and which may extend their leases while
// the control group is unreachable.
//
// It has three state machines. Sessions runs on each control replica, Leader on
// the control leader and Daemon on every daemon. They use no clock, goroutines or
// I/O; all times carry the monotonic clock reading of the process that runs the
// state machine.
//
// # Safety
//
// Let x be the time since a daemon's last confirmation. A daemon accepts work
// while x < 3 s. It replies "unconfirmed" to other daemons' queries once
// x >= 1.5 s, and each such reply restarts its period of uninterrupted
// confirmation.
//
// Configuration: a revision is accepted once a majority of the registered daemons
// has applied it. The configuration of a confirmed daemon was current less than
// 3 s ago. An exempt daemon has queried a majority within the last 1.5 s. At
// least one daemon of this majority had applied every accepted revision and would
// have reported a newer one. A daemon that accepts work therefore applies a
// revision at most 3 s after its acceptance.
//
// Pool leases: an owner that can't renew an unexpired lease extends it until
// 1.5 s after it sent a query, provided that a majority replies "unconfirmed".
// The replies that allow an extension covering an instant G were therefore given
// in (G-1.5 s, G). The leader grants a lapsed lease at G only while each daemon
// of a majority has been confirmed without interruption for at least 3 s, the
// last time less than 1.5 s ago. None of these daemons can have replied
// "unconfirmed" in (G-1.5 s, G), so no extension covers G. No later extension
// covers it either, since only unexpired leases are extended.
//
// Registered daemons: the two majorities above are certain to share a daemon only
// if the sets of registered daemons used by the owner and the leader differ by at
// most one daemon. The leader therefore adds or removes one daemon at a time, and
// only after a majority of the set has applied the previous change. A reply with
// a newer revision than that of the querying daemon allows neither an exemption
// nor an extension, so a daemon that is two changes behind gets no majority.
//
// Liveness: if the whole control group is lost at X, every daemon replies
// "unconfirmed" from X + 1.5 s on. The first daemon becomes unconfirmed at
// X + 2 s, and the first pool lease expires at X + 1.97 s. If the limit for
// replies were 3 s as well, owners and daemons would stop for up to 1 s. Daemons
// acknowledge each confirmation, which keeps the leader's data recent enough for
// the 1.5 s limit.
package brmember
