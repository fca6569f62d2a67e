package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
)

const (
	kindLoad       = "load"  // work dispatched to endpoints, by daemon incarnation
	kindDomainLoad = "near"  // the same, for the daemons of the same failure domain
	kindQuotaUsage = "spent" // quota usage of customers, by daemon incarnation

	// loadLifetime is the time without a report after which the dispatches of a
	// daemon no longer count.
	loadLifetime = 2 * time.Second
	// maxReportInterval is the longest interval between two reports.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest interval between two reports. It grows to
	// reportIntervalPerDaemon times the number of daemons that receive them, so that
	// each daemon receives at most 670 reports per second. In a large fleet these are
	// the daemons of the failure domain; the others receive the load at intervals of
	// fleetIntervalPerDaemon times the number of all daemons.
	minReportInterval       = 20 * time.Millisecond
	reportIntervalPerDaemon = 1500 * time.Microsecond
	fleetIntervalPerDaemon  = 2500 * time.Microsecond
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
// change, and at least every maxReportInterval. The daemons of the same failure domain
// receive the load more often than the whole fleet.
func (f *Fleet) runLoad() {
	var loadReportedAt, usageReportedAt time.Time
	for seq := uint64(1); ; seq++ {
		select {
		case <-f.stop:
			return
		case <-f.reportDue:
		case <-f.cfg.Clock.After(maxReportInterval):
		}
		daemons, now := time.Duration(f.daemons.Load()), f.cfg.Clock.Now()
		receivers, fleetInterval := daemons, time.Duration(0)
		placement, usage := f.proxy.Reports()
		if f.node.SendsDomainRecords() {
			receivers, fleetInterval = time.Duration(f.domainDaemons.Load()), daemons*fleetIntervalPerDaemon
			publishReport(f, kindDomainLoad, seq, placement)
		}
		if now.Sub(loadReportedAt) >= fleetInterval {
			loadReportedAt = now
			publishReport(f, kindLoad, seq, placement)
		}
		if now.Sub(usageReportedAt) >= daemons*quotaUsageIntervalPerDaemon {
			usageReportedAt = now
			publishReport(f, kindQuotaUsage, seq, usage)
		}
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(max(minReportInterval, receivers*reportIntervalPerDaemon)):
		}
	}
}

func publishReport[T any](f *Fleet, kind string, seq uint64, report T) {
	f.node.Publish(brgossip.Record{
		Key: kind + "/" + f.incarnation, Version: brgossip.Version{Seq: seq}, Value: encode(report), Lifetime: loadLifetime,
	})
}

// applyLoadRecord applies a load record of either kind, unless a newer one of the same
// daemon has been applied.
func (f *Fleet) applyLoadRecord(r brgossip.Record) {
	if r.Name() == f.incarnation || r.Version.Seq <= f.loadSeqs[r.Name()] {
		return
	}
	if report, ok := decode[brplace.Report](f, r); ok {
		f.loadSeqs[r.Name()] = r.Version.Seq
		f.proxy.ApplyEvent(brplace.PeerReported{Daemon: r.Name(), Report: report})
	}
}

// expireLoad removes the load of a daemon that no longer sends records of one kind. If
// it still sends the other kind, its next record adds it again.
func (f *Fleet) expireLoad(daemon string) {
	delete(f.loadSeqs, daemon)
	f.proxy.ApplyEvent(brplace.PeerLost{Daemon: daemon})
}

func (f *Fleet) applyQuotaUsageRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decode[brquota.Report](f, r); ok {
		f.proxy.PeerReported(r.Name(), report)
	}
}
