package brfleet

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brcanary"
	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
	"bramleyroute/brquota"
)

// TestOddReports guards against a report of another daemon with numbers that nobody can
// have counted and that stay in sums, averages and decisions of this daemon.
func TestOddReports(t *testing.T) {
	f := newCluster(t, 1, 0).fleets[0] // no other daemon reports
	policy, err := f.cfg.DecodePolicy(testPolicy(t, 1))
	if err != nil {
		t.Fatal(err)
	}
	f.proxy.SetPolicy(brpolicy.Compile(policy))
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer endpoint.Close()
	e := brplace.Endpoint{ID: "e", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 1}
	if err := f.Announce(t.Context(), Announcement{Endpoint: e, Born: 1, Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	n := 0
	publish := func(kind, name string, value []byte) {
		n++
		f.node.Publish(brgossip.Record{Key: kind + "/" + name, Version: brgossip.Version{Seq: uint64(n)}, Value: value, Lifetime: time.Minute})
	}
	for _, u := range []brplace.Usage{
		{Active: math.MinInt}, {Active: -1}, {Active: math.MaxInt}, {PendingPromptTokens: math.MaxInt}, {PendingPromptTokens: -1},
		{Ended: 1, Failed: 2}, {Ended: math.MaxUint64}, {EventInterval: -1}, {EventInterval: math.MaxInt64},
	} {
		name := fmt.Sprint("load", n)
		publish(kindLoad, name, encode(brplace.Report{"e": u}))
		if _, applied := f.loadSeqs[name]; applied {
			t.Errorf("usage %+v was applied", u)
		}
	}
	for _, tally := range []brcanary.Tally{{Failed: math.NaN()}, {Responses: math.Inf(1)}, {LatencyRatios: -1}} {
		name := fmt.Sprint("tally", n)
		publish(kindTally, name, encode(tallies{tallyKey("s", "r", "v"): tally}))
		f.rollouts.mu.Lock()
		if _, applied := f.rollouts.reported[name]; applied {
			t.Errorf("tally %+v was applied", tally)
		}
		f.rollouts.mu.Unlock()
	}
	for _, share := range []float64{math.NaN(), -1, 2} {
		name := fmt.Sprint("share", n)
		publish(kindShare, name, encode(versionShare{Rollout: brcore.Rollout{Service: name}, Share: share}))
		f.rollouts.mu.Lock()
		if _, applied := f.rollouts.shares[name]; applied {
			t.Errorf("share %v was applied", share)
		}
		f.rollouts.mu.Unlock()
	}
	publish(kindLimit, "e", encode(brlimit.Limit{Limited: true, Rate: math.NaN()}))
	publish(kindQuotaUsage, "q", encode(brquota.Report{Retries: map[string]float64{"s": math.NaN()}}))
	publish(kindQuotaUsage, "q", encode(brquota.Report{Customers: map[string]brquota.Totals{"c": {Spent: math.MinInt64}}}))
	front := httptest.NewServer(f.Proxy())
	defer front.Close()
	if status := get(t, front); status != http.StatusOK {
		t.Errorf("status %d after the odd reports, want 200", status)
	}
}

// TestReportsInRange guards against a check that drops what daemons do report.
func TestReportsInRange(t *testing.T) {
	for i, err := range []error{
		checkLoad(brplace.Report{"e": {}, "f": {Active: 1 << 20, PendingPromptTokens: 1 << 45, Ended: 1 << 40, Failed: 1 << 40, EventInterval: time.Hour}}),
		checkQuotaUsage(brquota.Report{Customers: map[string]brquota.Totals{"c": {Spent: -5, Demand: 1 << 60}}, Retries: map[string]float64{"s": 1 << 40}}),
		checkTallies(tallies{"": {Responses: 1e9, Failed: 1e9, LatencyRatios: 1e12}}),
		checkShare(versionShare{}), checkShare(versionShare{Share: 1}), checkLimit(limitRecord{}), checkLimit(limitRecord{Limit: brlimit.Limit{Limited: true, Rate: 1e9}}), checkPause(time.Second),
	} {
		if err != nil {
			t.Errorf("report %d: %v", i, err)
		}
	}
}
