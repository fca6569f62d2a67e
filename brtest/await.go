package brtest

import (
	"testing"
	"time"
)

// pollInterval is the interval at which Await checks its condition.
const pollInterval = 10 * time.Millisecond

// Await polls a condition that no single event signals, and fails t if it doesn't hold
// within limit.
func Await(t testing.TB, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !f(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}
