package brclock

import (
	"testing"
	"time"
)

// Guards against a manual clock that wakes waiters early or forgets them.
func TestManualAfter(t *testing.T) {
	start := time.Unix(100, 0)
	m := NewManual(start)
	ch := m.After(2 * time.Second)
	m.Advance(time.Second)
	select {
	case <-ch:
		t.Fatal("waiter woke one second early")
	default:
	}
	m.Advance(time.Second)
	select {
	case got := <-ch:
		if want := start.Add(2 * time.Second); !got.Equal(want) {
			t.Errorf("woke at %v, want %v", got, want)
		}
	default:
		t.Fatal("waiter did not wake when due")
	}
}
