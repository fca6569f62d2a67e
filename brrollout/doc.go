// Package brrollout controls the rollout of a new version of a model. It decides how
// fast the new version receives traffic, compares it with the old version, and
// either finishes the rollout or rolls it back. It is a pure state machine: Step
// maps a State, a time and an Event to a new State and Effects, and does no I/O. The
// package can be used without the daemons.
package brrollout
