// Package brclock defines the clock used by all other packages, with an
// implementation that returns the system time and a manual one for tests.
package brclock
