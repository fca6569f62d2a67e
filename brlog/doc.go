// Package brlog implements the replicated log of the control group as a pure
// state machine. State.Step takes the current time and one event and returns effects
// as values; it performs no I/O, starts no goroutines and reads no clock.
//
// Leaders are elected as in Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014), with pre-vote, check quorum,
// learners, one membership change at a time and leadership transfer (Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.6).
//
// A leader holds a lease of duration Config.LeaseDuration, shortened by
// MaxClockDrift. The lease starts at the send time of the latest heartbeats
// acknowledged by a majority. A replica that receives a message from the leader
// grants no vote for Config.ElectionTimeout after the receipt. Since the receipt is
// later than the send time, the lease expires before a vote is granted. The same
// delay applies after a restart, a process suspension and a clock jump.
//
// Nothing is acknowledged before it is durable: a message that depends on a
// Write effect is held back until the runtime reports the write with a Synced
// event. The latest snapshot and the entries after it are kept in memory.
package brlog
