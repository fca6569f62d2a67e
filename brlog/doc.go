// Package brlog implements the replicated log of the control group as a pure
// reducer. State.Step takes the time and one event and returns effects as data;
// it does no I/O, starts no goroutine and reads no clock.
//
// Leaders are elected as in Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014), with pre-vote, check quorum,
// learners, one membership change at a time and leadership transfer (Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.6).
//
// A leader holds a lease of Config.Lease, counted from the sending of the
// heartbeats that a majority answered and shortened by DriftBound. A replica
// that hears from a leader grants no vote for Config.ElectionTimeout after the
// receipt, which is later than the sending, so the lease ends first. A replica
// that restarts, whose process stood still, or whose clock jumped waits that
// time again.
//
// Nothing is acknowledged before it is durable: a message that depends on a
// Write is held until the runtime reports the write as Synced. The latest
// snapshot and the entries after it are kept in memory.
package brlog
