package brfleet

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
	"bramleyroute/brwire"
)

// TestReportsFitTheLinks guards against reports that fill the links of a large fleet.
// With 200 daemons in six failure domains each one receives the reports of all others,
// which may take a quarter of a link of 10 Mbit/s. The relay of a failure domain forwards
// them to its daemons over a link of 100 Mbit/s, of which flooded records take up to 0.4
// in a second: a relay whose link was full delivered heartbeats between replicas half a
// second late, and the leader held no lease.
func TestReportsFitTheLinks(t *testing.T) {
	const (
		daemons   = 200
		domain    = 34
		linkRate  = 10e6 / 8 // bytes/s
		relayRate = 100e6 / 8
		busy      = 5 // endpoints in a report: 2.7 requests running, the others ended within reportRetention
		active    = 7 // customers with requests in the last 2 s
	)
	usage := brquota.Report{Customers: map[string]brquota.Totals{}, Requests: map[string]float64{"huhu26a": 1234, "dalo77b": 345}, Retries: map[string]float64{"huhu26a": 12}, Uptime: time.Minute}
	for i := range active {
		usage.Customers[fmt.Sprintf("cust%03d", i)] = brquota.Totals{Spent: 1_234_567, Demand: 2_345_678}
	}
	size := func(kind string, value []byte) float64 {
		t.Helper()
		b, err := brwire.Encode(brgossip.Record{
			Key: kind + "/front-gt-central-13.19b7e0c5a12", Version: brgossip.Version{Seq: 1000}, Value: value,
			Age: 123456789 * time.Nanosecond, Lifetime: loadLifetime,
		})
		if err != nil {
			t.Fatal(err)
		}
		return float64(len(b))
	}
	perSecond := func(reporters int, interval time.Duration) float64 {
		return float64(reporters) / (time.Duration(reporters) * interval).Seconds()
	}
	for _, endpoints := range []int{busy, 3 * busy} {
		load := reportOf(endpoints)
		intervals := float64(scaleInterval(time.Second, load)) / float64(time.Second)
		loadBytes, usageBytes := size(kindLoad, encode(load)), size(kindQuotaUsage, encode(usage))
		rate := loadBytes/intervals*(perSecond(domain, domainIntervalPerDaemon)+perSecond(daemons, fleetIntervalPerDaemon)) +
			usageBytes*perSecond(daemons, quotaUsageIntervalPerDaemon)
		t.Logf("%d endpoints: load report %.0f bytes, usage report %.0f bytes, %.0f bytes/s, %.0f from the relay", endpoints, loadBytes, usageBytes, rate, domain*rate)
		if rate > linkRate/4 {
			t.Errorf("%d endpoints: reports of %d daemons take %.0f bytes/s, want at most %.0f", endpoints, daemons, rate, linkRate/4)
		}
		if domain*rate > 0.6*relayRate {
			t.Errorf("%d endpoints: the relay forwards %.0f bytes/s, want at most %.0f", endpoints, domain*rate, 0.6*relayRate)
		}
	}
}

// reportOf returns a report with the given number of endpoints.
func reportOf(endpoints int) brplace.Report {
	load := brplace.Report{}
	for i := range endpoints {
		load[fmt.Sprintf("i-%010x", i*7919)] = brplace.Usage{Active: 1, PendingPromptTokens: 2890, Ended: 1200, Failed: 30, EventInterval: 19123456 * time.Nanosecond}
	}
	return load
}

// TestLoadRecordsInOrder guards against an older report of a daemon that replaces a newer
// one, since reports come by two ways, and against load that stays after the daemon has
// stopped reporting.
func TestLoadRecordsInOrder(t *testing.T) {
	f := newCluster(t, 1, 1).fleets[0] // alone, since the fields are used by calls from other daemons
	f.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{ID: "e", Service: "s", Slots: 1}})
	record := func(kind string, seq uint64, active int) brgossip.Record {
		return brgossip.Record{Key: kind + "/other", Version: brgossip.Version{Seq: seq}, Value: encode(brplace.Report{"e": {Active: active}})}
	}
	steps := []struct {
		name  string
		apply func()
		seq   uint64
	}{
		{"of the failure domain", func() { f.applyLoadRecord(record(kindDomainLoad, 5, 1)) }, 5},
		{"older, of the fleet", func() { f.applyLoadRecord(record(kindLoad, 4, 0)) }, 5},
		{"newer, of the fleet", func() { f.applyLoadRecord(record(kindLoad, 6, 2)) }, 6},
		{"expired", func() { f.onExpired(record(kindDomainLoad, 5, 1)) }, 0},
		{"after the expiry", func() { f.applyLoadRecord(record(kindLoad, 7, 1)) }, 7},
		{"undecodable", func() {
			f.applyLoadRecord(brgossip.Record{Key: kindLoad + "/other", Version: brgossip.Version{Seq: 8}, Value: []byte{0xff}})
		}, 7},
	}
	for _, step := range steps {
		step.apply()
		if got := f.loadSeqs["other"]; got != step.seq {
			t.Errorf("%s: the applied report has sequence number %d, want %d", step.name, got, step.seq)
		}
	}
}
