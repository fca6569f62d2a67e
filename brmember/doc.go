// Package brmember decides which daemons take part. It has three reducers:
// Sessions runs at each control replica, Leader at the control leader and Daemon
// at every daemon. They have no clock, no goroutines and no I/O; all times carry
// the monotonic clock of the process that runs the reducer.
//
// # Why the rules are safe
//
// Call x the time since a daemon's last confirmation. A daemon takes work while
// x < 3 s. It answers other daemons' questions with "unconfirmed" once
// x >= 1.5 s, and then starts its run of uninterrupted confirmation again.
//
// Configuration: a revision counts as accepted when a majority of the registered
// daemons has applied it. A confirmed daemon was up to date less than 3 s ago.
// An exempt daemon has asked a majority within 1.5 s; one daemon of it had
// applied every accepted revision and would have said so. So nobody that takes
// work is behind by more than 3 s after the acceptance.
//
// Pool leases: an owner that can't renew extends a lease that has not ended by
// 1.5 s from the sending of a question, when a majority answers "unconfirmed".
// An extension that covers an instant G was therefore answered in (G-1.5 s, G).
// The leader grants a lapsed lease at G only while a majority has a run of at
// least 3 s and a confirmation younger than 1.5 s. None of these daemons can
// have answered "unconfirmed" in (G-1.5 s, G), so no extension covers G, and
// since only a lease that has not ended is extended, none does later.
//
// Registered daemons: the two majorities above share a daemon only if the owner
// and the leader know sets that differ by at most one daemon. The leader
// therefore adds or removes one daemon at a time, and only after a majority of
// the set has applied the change before. An answer with a newer revision than
// the asker's counts neither for an exemption nor for an extension, so a daemon
// that is two changes behind finds no majority.
//
// Liveness: when the whole control group is lost at X, every daemon answers
// "unconfirmed" from X + 1.5 s on. The first daemon to be unconfirmed is so at
// X + 2 s, and the first pool lease ends at X + 1.97 s. With the 3 s limit for
// answers as well, owners and daemons would stop for up to 1 s. The leader's
// knowledge is fresh enough because daemons acknowledge each confirmation.
package brmember
