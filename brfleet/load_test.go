package brfleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
	"bramleyroute/brwire"
)

// TestReportsFitTheLinks guards against reports that fill the links of a large fleet:
// with 200 daemons each one receives the reports of all others, which may take a quarter
// of a link of 10 Mbit/s.
func TestReportsFitTheLinks(t *testing.T) {
	const (
		daemons  = 200
		linkRate = 10e6 / 8 // bytes/s
		busy     = 5        // endpoints in a report: 2.7 requests running, the others ended within reportRetention
		active   = 7        // customers with requests in the last 2 s
	)
	load := brplace.Report{}
	for i := range busy {
		load[fmt.Sprintf("i-%010x", i*7919)] = brplace.Usage{Active: 1, PendingPromptTokens: 2890, Ended: 1200, Failed: 30, EventInterval: 19123456 * time.Nanosecond}
	}
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
	perSecond := func(interval time.Duration) float64 { return daemons / (daemons * interval).Seconds() }
	loadBytes, usageBytes := size(kindLoad, encode(load)), size(kindQuotaUsage, encode(usage))
	// A daemon receives as many reports of its failure domain in a second whatever the
	// number of its daemons is.
	rate := loadBytes*(perSecond(reportIntervalPerDaemon)+perSecond(fleetIntervalPerDaemon)) + usageBytes*perSecond(quotaUsageIntervalPerDaemon)
	t.Logf("load report %.0f bytes, usage report %.0f bytes, %.0f bytes/s", loadBytes, usageBytes, math.Round(rate))
	if rate > linkRate/4 {
		t.Errorf("reports of %d daemons take %.0f bytes/s, want at most %.0f", daemons, rate, linkRate/4)
	}
}
