package brdaemon

import (
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"

	"github.com/rs/zerolog"
)

// Guards against links that don't carry stamps of the timeline's clock, a
// received stamp that doesn't advance it, and one wrong clock that advances all
// others.
func TestStampMessages(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := brclock.NewManual(now)
	r, err := brtimeline.NewRecorder(brtimeline.Options{Process: "d", Clock: brtimeline.NewClock(clock, maxClockAhead)})
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{recorder: r, clock: clock, log: zerolog.Nop()}
	m := &brpeer.Mux{}
	d.stampMessages(m)
	for _, c := range []struct {
		ahead   time.Duration
		moves   bool
		refused int64
	}{{10 * time.Second, true, 0}, {time.Hour, false, 1}, {-time.Hour, false, 1}} {
		remote := brtimeline.Stamp{Wall: now.Add(c.ahead).UnixNano(), Logical: 7}
		before := m.Stamp()
		m.ReceiveStamp(remote)
		after := d.recorder.Record(brtimeline.Event{Kind: brtimeline.ProcessStarted})
		if after.Compare(before) <= 0 {
			t.Errorf("%v ahead: got stamp %v, want one after %v", c.ahead, after, before)
		}
		if moved := after.Wall != before.Wall; moved != c.moves || c.moves && after.Compare(remote) <= 0 {
			t.Errorf("%v ahead: unexpected clock change from %v to %v", c.ahead, before, after)
		}
		if got := d.stamps.refused.Load(); got != c.refused {
			t.Errorf("%v ahead: got %d refused stamps, want %d", c.ahead, got, c.refused)
		}
	}
}
