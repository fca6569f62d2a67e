// Package brpool implements the scheduler of one pool as a state machine. It
// binds each request ID to one entry and one grant, queues requests by tier,
// chooses endpoints, sheds requests under overload and rebuilds its state after a
// takeover.
//
// A Pool does no I/O and starts no goroutines. The caller passes events to Step in
// order of their arrival, with a time that must not decrease, and executes the
// returned effects in order. A Pool isn't safe for concurrent use.
//
// An entry must dispatch a request ID at most once, and only with a grant whose
// epoch isn't older than the last one it joined. It must return the grant's number
// in its messages, reply to a grant that it no longer needs with Withdraw and that
// number, and send one JoinReply for each Join. The messages of a link must arrive in
// order, and none after the EntryLost of that link. A Takeover must name every
// registered entry.
//
// Returning a grant (Withdraw, or Done with outcome not_run) unbinds the request
// ID. The entry sends a new Submit if it needs another grant.
package brpool
