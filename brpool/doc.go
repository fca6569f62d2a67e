// Package brpool is the scheduler of one pool as a reducer: it binds each
// request id to one entry and one grant, keeps the queue in tier order, chooses
// endpoints, sheds under overload and rebuilds its state after a takeover.
//
// A Pool does no I/O and starts no goroutine. Its caller passes events to Step
// in the order in which they arrive, with a time that doesn't decrease, and
// carries out the returned effects in their order. A Pool isn't safe for
// concurrent use.
//
// What an entry must do: dispatch a request id at most once, and only with a
// grant of an epoch that isn't older than the last one it joined; echo the
// grant's number; answer a grant that it no longer wants with Withdraw and that
// number; send one Recover for each Join. Messages of a link must arrive in
// order, and none of them after the EntryLost of that link. A Takeover must name
// every registered entry.
//
// A grant that is returned (Withdraw, or Done with outcome not_run) unbinds the
// request id. The entry sends a new Submit when it wants another grant.
package brpool
