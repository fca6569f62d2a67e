package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
)

const (
	kindLoad       = "load"  // work dispatched to endpoints, by daemon incarnation
	kindQuotaUsage = "spent" // quota usage of customers, by daemon incarnation

	// loadLifetime is the time without a report after which the dispatches of a
	// daemon no longer count.
	loadLifetime = 2 * time.Second
	// maxReportInterval is the longest interval between two reports.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest interval between two reports. In a large
	// fleet it grows to reportIntervalPerDaemon times the number of daemons, so
	// that each daemon receives at most 670 reports per second.
	minReportInterval       = 20 * time.Millisecond
	reportIntervalPerDaemon = 1500 * time.Microsecond
	// quotaUsageIntervalPerDaemon times the number of daemons is the shortest interval
	// between two reports of quota usage. Between reports the other daemons
	// extrapolate the usage.
	quotaUsageIntervalPerDaemon = 3 * time.Millisecond
)

// scheduleReport requests a report from runLoad. It doesn't block.
func (f *Fleet) scheduleReport() {
	select {
	case f.reportDue <- struct{}{}:
	default:
	}
}

// runLoad publishes this daemon's load and its customers' quota usage after a
// change, and at least every maxReportInterval.
func (f *Fleet) runLoad() {
	var usageReportedAt time.Time
	for seq := uint64(1); ; seq++ {
		select {
		case <-f.stop:
			return
		case <-f.reportDue:
		case <-f.cfg.Clock.After(maxReportInterval):
		}
		daemons := time.Duration(f.daemons.Load())
		placement, usage := f.proxy.Reports()
		publishReport(f, kindLoad, seq, placement)
		if now := f.cfg.Clock.Now(); now.Sub(usageReportedAt) >= daemons*quotaUsageIntervalPerDaemon {
			usageReportedAt = now
			publishReport(f, kindQuotaUsage, seq, usage)
		}
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(max(minReportInterval, daemons*reportIntervalPerDaemon)):
		}
	}
}

func publishReport[T any](f *Fleet, kind string, seq uint64, report T) {
	f.node.Publish(brgossip.Record{
		Key: kind + "/" + f.incarnation, Version: brgossip.Version{Seq: seq}, Value: encode(report), Lifetime: loadLifetime,
	})
}

func (f *Fleet) applyLoadRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decode[brplace.Report](f, r); ok {
		f.proxy.ApplyEvent(brplace.PeerReported{Daemon: r.Name(), Report: report})
	}
}

func (f *Fleet) applyQuotaUsageRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decode[brquota.Report](f, r); ok {
		f.proxy.PeerReported(r.Name(), report)
	}
}
