package brfleet

import (
	"math"
	"testing"
	"time"

	"bramleyroute/brcanary"
	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"
	"bramleyroute/brquarantine"
	"bramleyroute/brquota"
)

// FuzzRecord guards against a record of another daemon that ends or blocks this one, or
// after which it takes no sound record of an endpoint.
func FuzzRecord(f *testing.F) {
	negative := brplace.Usage{Active: -1, PendingPromptTokens: math.MinInt, Ended: 1, Failed: 2, EventInterval: -1}
	for name, value := range oddEndpointValues("odd") {
		_ = name
		f.Add(kindEndpoint+"/odd", uint64(1), uint64(1), value)
	}
	for kind, value := range map[string][]byte{
		kindLoad:       encode(brplace.Report{"e": negative}),
		kindDomainLoad: encode(brplace.Report{"e": {Active: math.MaxInt, Ended: math.MaxUint64}}),
		kindQuotaUsage: encode(brquota.Report{Customers: map[string]brquota.Totals{"c": {Spent: math.MinInt64}}, Retries: map[string]float64{"s": math.NaN()}, Uptime: -1}),
		kindPolicy:     encode(brcore.Document{Version: 1, Index: math.MaxUint64, Body: []byte("{")}),
		kindShare:      encode(versionShare{Rollout: brcore.Rollout{Service: "s"}, Share: math.NaN()}),
		kindTally:      encode(tallies{tallyKey("s", "r", "v"): brcanary.Tally{Failed: math.Inf(1)}}),
		kindLimit:      encode(brlimit.Limit{Limited: true, Rate: math.NaN()}),
		"unknown":      {0xff},
	} {
		f.Add(kind+"/e", uint64(1), uint64(1), value)
	}
	f.Add(kindEvidence+"/request/x", uint64(1), uint64(1), encode(brquarantine.Evidence{Lost: []string{"b", "a"}}))
	f.Add(brgossip.KindDaemon+"/x", uint64(1), uint64(1), encode(brgossip.Daemon{ID: "x", Address: "no address", Replica: true}))
	c := newCluster(f, 1, 0)
	fleet := c.fleets[0]
	var seq uint64
	f.Fuzz(func(t *testing.T, key string, epoch, version uint64, value []byte) {
		fleet.node.Publish(brgossip.Record{Key: key, Version: brgossip.Version{Epoch: epoch, Seq: version}, Value: value, Lifetime: time.Second})
		fleet.proxy.ApplyEvent(brplace.Tick{})
		fleet.proxy.PlacementReport(time.Second)
		seq++
		sound := Announcement{Endpoint: brplace.Endpoint{ID: "sound", Service: "s", Address: "10.0.0.2:1", Slots: int(1 + seq%9)}, Born: 1 << 52, Sequence: seq}
		if err := fleet.Announce(t.Context(), sound); err != nil {
			t.Fatal(err)
		}
		if a, ok := fleet.endpoints.serving("sound"); !ok || a.Endpoint.Slots != sound.Endpoint.Slots {
			t.Errorf("after the record %q: endpoint %+v, want the one that was announced", key, a)
		}
	})
}
