// Package brrollout decides how fast a new version of a model gets traffic,
// judges it against the old version, and ends the rollout as finished or taken
// back. It is a pure reducer: Step maps a State, a time and an Event to a new
// State and Effects, and does no I/O. It can be embedded without the daemons.
package brrollout
