// Package brclock provides the clock that every other package takes its time
// from, with a system implementation and a manual one for tests.
package brclock
