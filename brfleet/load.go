package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
)

const (
	kindConcurrency = "concurrency" // counts of responses by load level, by daemon incarnation
	kindLoad        = "load"        // work dispatched to endpoints, by daemon incarnation
	kindDomainLoad  = "near"        // the same, for the daemons of the same failure domain
	kindQuotaUsage  = "spent"       // quota usage of customers, by daemon incarnation

	// loadLifetime is the time without a report after which the dispatches of a
	// daemon no longer count.
	loadLifetime = 2 * time.Second
	// maxReportInterval is the longest interval between two reports.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest interval between two reports. In a small fleet
	// it grows to reportIntervalPerDaemon times the number of daemons, so that each
	// daemon receives at most 670 reports per second.
	minReportInterval       = 20 * time.Millisecond
	reportIntervalPerDaemon = 1500 * time.Microsecond
	// domainIntervalPerDaemon times the number of daemons in the failure domain is the
	// interval between two reports to these in a large fleet, and fleetIntervalPerDaemon
	// times the number of all daemons that between two reports to all. Both intervals
	// grow with a report of more than usualEndpoints, so that the reports take the same
	// part of the relays' links under any load.
	domainIntervalPerDaemon = 3 * time.Millisecond
	fleetIntervalPerDaemon  = 4 * time.Millisecond
	usualEndpoints          = 5
	// reportRetention is the time that an endpoint without running requests stays in the
	// reports, and domainReportRetention the shortest such time in the more frequent
	// reports to the failure domain, where it lasts at least until the next report.
	reportRetention       = 500 * time.Millisecond
	domainReportRetention = 150 * time.Millisecond
	// quotaUsageIntervalPerDaemon times the number of daemons is the shortest interval
	// between two reports of quota usage. Between reports the other daemons
	// extrapolate the usage.
	quotaUsageIntervalPerDaemon = 3 * time.Millisecond
	// countsIntervalPerDaemon times the number of daemons, and at least minCountsInterval, is
	// the interval between two reports of the counts of responses. They hold some 25 bytes for
	// each endpoint with a response, and with a second or two a daemon still notices in time
	// that an endpoint has turned slow.
	countsIntervalPerDaemon = 15 * time.Millisecond
	minCountsInterval       = 500 * time.Millisecond
	countsLifetime          = 10 * time.Second
)

// scheduleReport requests a report from runLoad. It doesn't block.
func (f *Fleet) scheduleReport() {
	select {
	case f.reportDue <- struct{}{}:
	default:
	}
}

// runLoad publishes this daemon's load and its customers' quota usage until the fleet is
// closed.
func (f *Fleet) runLoad() {
	r := loadReporter{Fleet: f}
	for r.wait() {
		r.publish()
	}
}

// loadReporter publishes the reports of one daemon.
type loadReporter struct {
	*Fleet
	seq              uint64
	interval         time.Duration // until the next report
	reportedAt       time.Time     // time of the last report to the failure domain
	loadReportedAt   time.Time
	usageReportedAt  time.Time
	countsReportedAt time.Time // of responses, for brconcurrency
}

// wait waits for the time of the next report and reports whether the fleet is still
// open. In a small fleet the next report is due after a change and the interval, and at
// least every maxReportInterval. In a large fleet it is due after the interval, whatever
// happens meanwhile: if a dispatch caused it, it would nearly always show a request in
// progress, also where requests end long before the report after it.
func (r *loadReporter) wait() bool {
	select {
	case <-r.stop:
		return false
	case <-r.cfg.Clock.After(r.interval):
	}
	if r.node.SendsDomainRecords() {
		return true
	}
	select {
	case <-r.stop:
		return false
	case <-r.reportDue:
	case <-r.cfg.Clock.After(maxReportInterval):
	}
	return true
}

// publish publishes the reports that are due. The daemons of the same failure domain
// receive the load more often than the whole fleet.
func (r *loadReporter) publish() {
	r.seq++
	now := r.cfg.Clock.Now()
	large := r.node.SendsDomainRecords()
	interval, fleetInterval := r.reportIntervals(large)
	if large {
		report := r.proxy.PlacementReport(max(domainReportRetention, now.Sub(r.reportedAt)))
		r.reportedAt = now
		publishReport(r.Fleet, kindDomainLoad, r.seq, loadLifetime, report)
		interval, fleetInterval = scaleInterval(interval, report), scaleInterval(fleetInterval, report)
	}
	if now.Sub(r.loadReportedAt) >= fleetInterval {
		r.loadReportedAt = now
		lifetime := max(loadLifetime, 2*fleetInterval)
		publishReport(r.Fleet, kindLoad, r.seq, lifetime, r.proxy.PlacementReport(reportRetention))
	}
	if now.Sub(r.usageReportedAt) >= time.Duration(r.daemons.Load())*quotaUsageIntervalPerDaemon {
		r.usageReportedAt = now
		publishReport(r.Fleet, kindQuotaUsage, r.seq, loadLifetime, r.proxy.QuotaReport())
	}
	r.publishCounts(now)
	r.interval = interval
}

// publishCounts publishes what this daemon has counted of the responses of endpoints, if it is due
// and endpoints' limits are learned.
func (r *loadReporter) publishCounts(now time.Time) {
	interval := max(minCountsInterval, time.Duration(r.daemons.Load())*countsIntervalPerDaemon)
	if !r.cfg.LearnConcurrency || now.Sub(r.countsReportedAt) < interval {
		return
	}
	r.countsReportedAt = now
	publishReport(r.Fleet, kindConcurrency, r.seq, max(countsLifetime, 3*interval), r.proxy.ConcurrencyReport(2*interval))
}

func (f *Fleet) applyConcurrencyRecord(r brgossip.Record) {
	if r.Name() == f.incarnation || !f.cfg.LearnConcurrency {
		return
	}
	if report, ok := decodeChecked(f, r, checkConcurrency); ok {
		f.proxy.ApplyEvent(brplace.ConcurrencyReported{Daemon: r.Name(), Report: report})
	}
}

// reportIntervals returns the shortest interval between two reports, and that between
// two reports to the whole fleet if it is large, so that these are less frequent.
func (f *Fleet) reportIntervals(large bool) (interval, fleetInterval time.Duration) {
	daemons := time.Duration(f.daemons.Load())
	if !large {
		return max(minReportInterval, daemons*reportIntervalPerDaemon), 0
	}
	domain := time.Duration(f.domainDaemons.Load())
	return max(minReportInterval, domain*domainIntervalPerDaemon), daemons * fleetIntervalPerDaemon
}

// scaleInterval returns the interval until the report after r. See usualEndpoints.
func scaleInterval(interval time.Duration, r brplace.Report) time.Duration {
	return interval * time.Duration(max(usualEndpoints, len(r))) / usualEndpoints
}

func publishReport[T any](f *Fleet, kind string, seq uint64, lifetime time.Duration, report T) {
	f.node.Publish(brgossip.Record{
		Key: kind + "/" + f.incarnation, Version: brgossip.Version{Seq: seq}, Value: encode(report), Lifetime: lifetime,
	})
}

// applyLoadRecord applies a load record of either kind, unless a newer one of the same
// daemon has been applied.
func (f *Fleet) applyLoadRecord(r brgossip.Record) {
	if r.Name() == f.incarnation || r.Version.Seq <= f.loadSeqs[r.Name()] {
		return
	}
	if report, ok := decodeChecked(f, r, checkLoad); ok {
		f.loadSeqs[r.Name()] = r.Version.Seq
		f.proxy.ApplyEvent(brplace.PeerReported{Daemon: r.Name(), Report: report})
	}
}

func (f *Fleet) applyQuotaUsageRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decodeChecked(f, r, checkQuotaUsage); ok {
		f.proxy.PeerReported(r.Name(), report)
	}
}
