// Package brstate implements the replicated state machine of the control group.
// Committed log entries are applied in order. Apply uses no clock, randomness or map
// iteration order, so all replicas reach the same state. Its time is the one the
// leader stamped on the command; it never decreases.
//
// All revisions are indexes of log entries. The revision of the view is the index
// of the last entry that changed the view. The configuration and each rollout have
// the index of their own last change as revision, with which the expected revision
// of a command is compared.
//
// Error texts of replies are part of the stored results, so replicas of different
// builds must produce the same texts.
package brstate
