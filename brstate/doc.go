// Package brstate is the state machine of the control group. Committed log
// entries are applied in order; every replica then holds the same state, since
// Apply uses neither a clock nor randomness nor the order of a map. The time is
// the one that the leader stamped on the command; it never goes back.
//
// All revisions are indexes of log entries. The view's revision is the index of
// the last entry that changed what daemons watch; the configuration and each
// rollout keep the index of their own last change, against which the expected
// revision of a command is compared.
package brstate
