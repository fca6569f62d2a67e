package brplace

import (
	"testing"
	"time"
)

// reviewKinds are the streams of a fleet that reviews files and drafts quotes, with 6 slots
// for each endpoint. Those of the last rank take most of the slot time.
var reviewKinds = []streamKind{
	{rank: 0, perEndpoint: 2.71, prompt: 2950, events: 17, target: 800 * time.Millisecond, deadline: 6 * time.Second, worth: 5.1, lateWorth: 1.5},
	{rank: 1, perEndpoint: 3.11, prompt: 1860, events: 7.5, target: 600 * time.Millisecond, deadline: 4 * time.Second, worth: 1.7, lateWorth: 0.52},
	{rank: 2, perEndpoint: 1.57, prompt: 603, events: 93, target: 500 * time.Millisecond, deadline: 15 * time.Second, worth: 0.52, lateWorth: 0.16},
}

// TestLateStreamsGiveWay guards against slots for streams that are late already while
// others, at other daemons, become late: 23 in 100 of the last rank began late and 39 in
// time. A replay whose daemons don't know when streams are due is the one to compare with.
func TestLateStreamsGiveWay(t *testing.T) {
	for _, load := range []float64{1, 1.25, 1.5, 2} {
		replay := fleetReplay{
			daemons: 84, endpoints: 90, slots: 6, kinds: reviewKinds, load: load, duration: 10 * time.Second, stepped: true, spread: 1,
			reportInterval: 700 * time.Millisecond, reportDelay: 60 * time.Millisecond,
			domainInterval: 63 * time.Millisecond, domainDelay: 20 * time.Millisecond,
		}
		known := replay.run()
		replay.hideDue = true
		hidden := replay.run()
		t.Logf("load %.2f: %v, late %.3f %.3f; hidden: %v, late %.3f %.3f", load, known, known.late(1), known.late(2), hidden, hidden.late(1), hidden.late(2))
		for rank := range 2 {
			if known.onTime(rank) < hidden.onTime(rank)-0.02 {
				t.Errorf("load %.2f, rank %d: %.3f on time, want at least %.3f less 0.02", load, rank, known.onTime(rank), hidden.onTime(rank))
			}
		}
		if known.part() < hidden.part() {
			t.Errorf("load %.2f: earned %.3f, want at least %.3f", load, known.part(), hidden.part())
		}
		if load == 1 && (known.onTime(2) < 1.25*hidden.onTime(2) || known.late(2) > hidden.late(2)/2) {
			t.Errorf("rank 2: %.3f on time, %.3f late; want 1.25 times %.3f, and at most half of %.3f", known.onTime(2), known.late(2), hidden.onTime(2), hidden.late(2))
		}
	}
}

// TestReserveFollowsUrgentStreams guards against slots that are kept free for urgent streams
// which don't come, and against a reserve beyond the fixed part.
func TestReserveFollowsUrgentStreams(t *testing.T) {
	for _, test := range []struct {
		name        string
		rank        int           // of the streams that arrive beside those of rank 2
		interval    time.Duration // between two of them at this daemon
		least, most float64       // reserved slots of 540 for rank 2
	}{
		{"none", 2, 200 * time.Millisecond, 0, 65},
		{"rare", 0, 4 * time.Second, 1, 65},
		{"usual", 0, 100 * time.Millisecond, 129, 130},
	} {
		s := New(Config{Daemon: "d0", FailureDomain: "z0", Random: func() float64 { return 0.5 }})
		s.Step(start, FleetChanged{daemonIDs(84)})
		s.countsAge = 200 * time.Millisecond
		v := s.service("s")
		v.urgentRank = 0
		for at := time.Duration(0); at < 10*time.Second; at += replayTick {
			if at%test.interval == 0 {
				v.demand.record(test.rank)
			}
			if at%(500*time.Millisecond) == 0 {
				v.demand.record(2)
			}
			v.demand.update(replayTick)
		}
		s.now = start
		r := Request{Rank: 2, FirstByteDue: start.Add(time.Second)}
		if got := s.reservedSlots(v, &r, 540); got < test.least || got > test.most {
			t.Errorf("%s: %.0f slots reserved, want %.0f to %.0f", test.name, got, test.least, test.most)
		}
	}
}
