package brroute

import (
	"testing"
	"time"

	"bramleyroute/brwire"
)

// Guards against granting requests for the old version to an endpoint that
// already serves the new one. Also guards against an endpoint that stays unused
// after its load succeeded, failed or timed out.
func TestLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	a := brwire.Announce{EndpointID: "e", Incarnation: "1", Version: "v1", CapacityTokens: 1000, Kind: brwire.KindEngine}
	for _, c := range []struct {
		name   string
		apply  func(tab *Table, a brwire.Announce)
		usable bool
	}{
		{"old version announced", func(tab *Table, a brwire.Announce) { tab.Report(start.Add(time.Second), a) }, false},
		{"loaded", func(tab *Table, a brwire.Announce) { a.Version = "v2"; tab.Report(start.Add(time.Second), a) }, true},
		{"failed", func(tab *Table, a brwire.Announce) {
			a.FailedLoads = []string{"v2"}
			tab.Report(start.Add(time.Second), a)
		}, true},
		{"timed out", func(tab *Table, _ brwire.Announce) { tab.Tick(start.Add(2 * time.Second)) }, true},
		{"order refused", func(tab *Table, _ brwire.Announce) { tab.SuspendForLoad("e", "v2", time.Time{}) }, true},
	} {
		tab := New(Options{Kind: brwire.KindEngine, Rand: func() uint64 { return 0 }})
		a.Sequence = 1
		tab.Report(start, a)
		tab.SuspendForLoad("e", "v2", start.Add(2*time.Second))
		if tab.UsableCount() != 0 || tab.Capacity() != 0 {
			t.Errorf("%s: endpoint is usable while it loads a version", c.name)
		}
		a.Sequence = 2
		c.apply(tab, a)
		if usable := tab.UsableCount() == 1 && tab.Capacity() == 1000; usable != c.usable {
			t.Errorf("%s: endpoint usable %v, want %v", c.name, usable, c.usable)
		}
	}
}
