package brclock

import (
	"testing"
	"time"
)

// Guards against a manual clock that signals a channel early, never, or with the wrong
// time.
func TestManualAfter(t *testing.T) {
	start := time.Unix(100, 0)
	m := NewManual(start)
	ch := m.After(2 * time.Second)
	m.Advance(time.Second)
	select {
	case <-ch:
		t.Fatal("channel received the time one second early")
	default:
	}
	m.Advance(time.Second)
	select {
	case got := <-ch:
		if want := start.Add(2 * time.Second); !got.Equal(want) {
			t.Errorf("channel received %v, want %v", got, want)
		}
	default:
		t.Fatal("channel did not receive the time when due")
	}
}
