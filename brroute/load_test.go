package brroute

import (
	"testing"
	"time"

	"bramleyroute/brwire"
)

// Guards against requests of the old version that go to an endpoint which already
// serves the new one, and against an endpoint that stays without work after its
// load succeeded, failed or took too long.
func TestLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	a := brwire.Announce{EndpointID: "e", Incarnation: "1", Version: "v1", CapacityTokens: 1000, Kind: brwire.KindEngine}
	for _, c := range []struct {
		name string
		then func(tab *Table, a brwire.Announce)
		free bool
	}{
		{"old version announced", func(tab *Table, a brwire.Announce) { tab.Report(start.Add(time.Second), a) }, false},
		{"loaded", func(tab *Table, a brwire.Announce) { a.Version = "v2"; tab.Report(start.Add(time.Second), a) }, true},
		{"failed", func(tab *Table, a brwire.Announce) {
			a.FailedLoads = []string{"v2"}
			tab.Report(start.Add(time.Second), a)
		}, true},
		{"time over", func(tab *Table, _ brwire.Announce) { tab.Tick(start.Add(2 * time.Second)) }, true},
		{"order refused", func(tab *Table, _ brwire.Announce) { tab.Load("e", "v2", time.Time{}) }, true},
	} {
		tab := New(Options{Kind: brwire.KindEngine, Rand: func() uint64 { return 0 }})
		a.Sequence = 1
		tab.Report(start, a)
		tab.Load("e", "v2", start.Add(2*time.Second))
		if tab.Usable() != 0 || tab.Capacity() != 0 {
			t.Errorf("%s: gets work while it loads", c.name)
		}
		a.Sequence = 2
		c.then(tab, a)
		if free := tab.Usable() == 1 && tab.Capacity() == 1000; free != c.free {
			t.Errorf("%s: gets work: %v, want %v", c.name, free, c.free)
		}
	}
}
