package brplace

import (
	"testing"
	"time"
)

// longEvents is a number of events that makes no stream a short one.
const longEvents = 30

// draftingKinds are the streams of a fleet that drafts itineraries and letters and
// answers travellers, with 4 slots for each endpoint.
var draftingKinds = []streamKind{
	{rank: 0, perEndpoint: 2.1, prompt: 2890, events: 17, target: 600 * time.Millisecond, deadline: 6 * time.Second, worth: 5.3, lateWorth: 1.6, prefill: 68 * time.Millisecond, interval: 19 * time.Millisecond},
	{rank: 1, perEndpoint: 1.56, prompt: 1800, events: 8, target: 500 * time.Millisecond, deadline: 4 * time.Second, worth: 1.6, lateWorth: 0.48, prefill: 42 * time.Millisecond, interval: 19 * time.Millisecond},
	{rank: 2, perEndpoint: 0.78, prompt: 543, events: 93, target: 300 * time.Millisecond, deadline: 15 * time.Second, worth: 0.78, lateWorth: 0.23, prefill: 13 * time.Millisecond, interval: 19 * time.Millisecond},
}

// dispatchKinds are the streams of a van dispatch, with 19 slots for each endpoint:
// plans of a day, detours, and summaries that take a tenth of the slot time of either.
var dispatchKinds = []streamKind{
	{rank: 0, perEndpoint: 3.57, prompt: 6610, events: 76, target: 500 * time.Millisecond, deadline: 15 * time.Second, worth: 9, lateWorth: 2.7, prefill: 42 * time.Millisecond, interval: 18 * time.Millisecond},
	{rank: 1, perEndpoint: 5.03, prompt: 628, events: 58, target: 600 * time.Millisecond, deadline: 12 * time.Second, worth: 1.1, lateWorth: 0.34, prefill: 4 * time.Millisecond, interval: 18 * time.Millisecond},
	{rank: 2, perEndpoint: 6.12, prompt: 1800, events: 5, target: time.Second, deadline: 3 * time.Second, worth: 0.27, lateWorth: 0.08, prefill: 11 * time.Millisecond, interval: 18 * time.Millisecond},
}

// TestLargeFleetSpreadsRequests guards against daemons that all choose the endpoint
// which is the cheapest in their common, late picture, and against a daemon that uses
// all endpoints, so that it has to open a connection for nearly every stream. The
// choice among all endpoints, as in a small fleet, is the one to compare with.
func TestLargeFleetSpreadsRequests(t *testing.T) {
	for _, test := range []struct {
		load, least, gain float64 // least part of the worth earned, and of what the full choice earns
	}{{0.7, 0.95, 1.1}, {1, 0.95, 1.2}, {1.5, 0.8, 1.3}} {
		replay := fleetReplay{
			daemons: 100, endpoints: 78, slots: 4, kinds: draftingKinds, load: test.load, duration: 8 * time.Second,
			reportInterval: 150 * time.Millisecond, reportDelay: 100 * time.Millisecond,
		}
		sampled := replay.run()
		replay.fullChoice = true
		full := replay.run()
		t.Logf("load %.1f: earned %.3f with %d connections for %d streams; full choice: %.3f, %d, %d",
			test.load, sampled.part(), len(sampled.pairs), sampled.streams, full.part(), len(full.pairs), full.streams)
		if sampled.part() < test.least || sampled.part() < test.gain*full.part() {
			t.Errorf("load %.1f: earned %.3f of the worth, want at least %.2f and %.1f times the %.3f of the full choice",
				test.load, sampled.part(), test.least, test.gain, full.part())
		}
		if len(sampled.pairs) > sampled.streams/2 {
			t.Errorf("load %.1f: %d pairs of daemon and endpoint for %d streams, want at most half as many", test.load, len(sampled.pairs), sampled.streams)
		}
	}
}

// TestUrgentStreamsInLargeFleet guards against a large fleet in which streams of the last
// rank take the slots that more urgent ones need before their dispatches are reported:
// at twice the usual load three quarters of the urgent ones were in time.
func TestUrgentStreamsInLargeFleet(t *testing.T) {
	r := fleetReplay{
		daemons: 100, endpoints: 78, slots: 4, kinds: draftingKinds, load: 2, duration: 10 * time.Second,
		reportInterval: 150 * time.Millisecond, reportDelay: 100 * time.Millisecond,
	}.run()
	t.Logf("earned %.3f, on time by rank %.3f %.3f %.3f", r.part(), r.onTime(0), r.onTime(1), r.onTime(2))
	if r.onTime(0) < 0.85 || r.onTime(0) < r.onTime(1) || r.onTime(1) < r.onTime(2) {
		t.Errorf("on time by rank: %.3f, %.3f, %.3f; want at least 0.85 of the most urgent ones, and each rank before the next", r.onTime(0), r.onTime(1), r.onTime(2))
	}
}

// TestShortRequestsUnderOverload guards against a kind of request that never runs under
// lasting overload because it is of the last rank, although it takes a tenth of the slot
// time of the others, and against short requests that cost the most urgent ones their
// time. A replay in which the short ones aren't known as such is the one to compare with.
func TestShortRequestsUnderOverload(t *testing.T) {
	for _, load := range []float64{2, 2.5} {
		replay := fleetReplay{
			daemons: 11, endpoints: 9, slots: 19, kinds: dispatchKinds, load: load, duration: 12 * time.Second,
			reportInterval: 20 * time.Millisecond, reportDelay: 10 * time.Millisecond,
		}
		known := replay.run()
		replay.hideShort = true
		hidden := replay.run()
		t.Logf("load %.1f: earned %.3f, on time by rank %.3f %.3f %.3f; hidden: %.3f, %.3f %.3f %.3f", load,
			known.part(), known.onTime(0), known.onTime(1), known.onTime(2), hidden.part(), hidden.onTime(0), hidden.onTime(1), hidden.onTime(2))
		if known.onTime(2) < 0.5 || known.onTime(2) < 2*hidden.onTime(2) {
			t.Errorf("load %.1f: %.3f of the short requests are on time, want at least half, and twice the %.3f without the rule", load, known.onTime(2), hidden.onTime(2))
		}
		if known.onTime(0) < hidden.onTime(0)-0.02 || known.part() < hidden.part() {
			t.Errorf("load %.1f: %.3f of the urgent requests on time and %.3f of the worth earned, want at least %.3f less 0.02, and %.3f",
				load, known.onTime(0), known.part(), hidden.onTime(0), hidden.part())
		}
	}
}

// largeDrafting is a large fleet whose endpoints work in steps, as model engines do. The
// reports are as late as in a fleet of 200 daemons.
var largeDrafting = fleetReplay{
	daemons: 100, endpoints: 78, slots: 4, kinds: draftingKinds, duration: 10 * time.Second, stepped: true, spread: 1,
	reportInterval: 800 * time.Millisecond, reportDelay: 100 * time.Millisecond,
	domainInterval: 100 * time.Millisecond, domainDelay: 35 * time.Millisecond,
}

// TestDomainReports guards against urgent streams that wait at an endpoint while others
// have room, because the daemons know of each other's dispatches only when they have
// ended. A replay without the reports to the own failure domain, with the others as
// frequent as the same traffic permits, is the one to compare with.
func TestDomainReports(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2} {
		replay := largeDrafting
		replay.load = load
		domain := replay.run()
		replay.domainInterval, replay.reportInterval = 0, 300*time.Millisecond
		none := replay.run()
		t.Logf("load %.1f: %v; without: %v", load, domain, none)
		if domain.part() < none.part()+0.02 {
			t.Errorf("load %.1f: earned %.3f of the worth, want at least 0.02 more than the %.3f without", load, domain.part(), none.part())
		}
		if load == 1 && domain.late(0) >= 0.05 {
			t.Errorf("%.3f of the urgent streams began late, want less than 0.05", domain.late(0))
		}
	}
}

// TestLargeFleetOverload guards against daemons that all send their waiting requests to
// the few slots that appear free: over 30 streams waited at one endpoint, which queues
// queuedStreams, and most of the urgent ones began late.
func TestLargeFleetOverload(t *testing.T) {
	const queuedStreams = 24
	for _, load := range []float64{2, 3} {
		replay := largeDrafting
		replay.load = load
		r := replay.run()
		t.Logf("load %.1f: %v", load, r)
		if r.longest > queuedStreams || r.onTime(0) < 0.5 {
			t.Errorf("load %.1f: %d streams waited at one endpoint, %.3f of the urgent streams on time; want at most %d and at least 0.5", load, r.longest, r.onTime(0), queuedStreams)
		}
	}
}

// bookingKinds are the calls of a booking service: all of the last rank, and much shorter
// than the interval between two reports.
var bookingKinds = []streamKind{
	{rank: 2, perEndpoint: 40, events: 0.001, target: 120 * time.Millisecond, deadline: 600 * time.Millisecond, worth: 0.3, lateWorth: 0.09, prefill: 15 * time.Millisecond, interval: time.Millisecond},
}

// TestShortCallsInLargeFleet guards against calls that wait for slots which are reserved
// for more urgent requests, of which the service has none, or which are free long before
// the next report says so. If reports are sent at dispatches, most of them show a call
// that ends soon after.
func TestShortCallsInLargeFleet(t *testing.T) {
	replay := largeDrafting
	replay.kinds, replay.endpoints, replay.slots, replay.stepped, replay.spread = bookingKinds, 6, 6, false, 0
	replay.duration = 6 * time.Second
	for _, load := range []float64{1, 2} {
		replay.load = load
		replay.reportOnDispatch = true
		t.Logf("load %.1f: %v if reported on dispatch", load, replay.run())
		replay.reportOnDispatch = false
		r := replay.run()
		t.Logf("load %.1f: %v", load, r)
		if r.onTime(2) < 0.95 || r.rejected > 0 {
			t.Errorf("load %.1f: %.3f of the calls on time and %d rejected, want at least 0.95 and none", load, r.onTime(2), r.rejected)
		}
	}
}
