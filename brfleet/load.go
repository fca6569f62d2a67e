package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
)

const (
	kindLoad  = "load"  // by daemon and start: what it has running at the endpoints
	kindSpent = "spent" // by daemon and start: what customers spent there

	// loadLifetime is the time without a report after which a daemon's dispatches
	// no longer count.
	loadLifetime = 2 * time.Second
	// loadRenew is the longest pause between two reports.
	loadRenew = 400 * time.Millisecond
	// loadPause is the shortest pause between two reports, and loadSpread what it
	// grows to for each daemon of a large fleet: each takes 1,000 reports a second
	// at most, whatever their number.
	loadPause  = 20 * time.Millisecond
	loadSpread = time.Millisecond
	// spentSpread is the pause between two reports of what customers spent, for
	// each daemon: between reports the others assume that it goes on.
	spentSpread = 1500 * time.Microsecond
)

// changed schedules a report. It doesn't block.
func (f *Fleet) changed() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// runLoad publishes this daemon's load, and what customers spent here, when they
// change.
func (f *Fleet) runLoad() {
	var spentAt time.Time
	for seq := uint64(1); ; seq++ {
		select {
		case <-f.stop:
			return
		case <-f.dirty:
		case <-f.cfg.Clock.After(loadRenew):
		}
		daemons := time.Duration(f.daemons.Load())
		place, spent := f.proxy.Reports()
		publishReport(f, kindLoad, seq, place)
		if now := f.cfg.Clock.Now(); now.Sub(spentAt) >= daemons*spentSpread {
			spentAt = now
			publishReport(f, kindSpent, seq, spent)
		}
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(max(loadPause, daemons*loadSpread)):
		}
	}
}

func publishReport[T any](f *Fleet, kind string, seq uint64, report T) {
	f.node.Publish(brgossip.Record{
		Key: kind + "/" + f.incarnation, Version: brgossip.Version{Seq: seq}, Value: encode(report), Lifetime: loadLifetime,
	})
}

func (f *Fleet) loadRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decode[brplace.Report](f, r); ok {
		f.proxy.Place(brplace.PeerReported{Daemon: r.Name(), Report: report})
	}
}

func (f *Fleet) spentRecord(r brgossip.Record) {
	if r.Name() == f.incarnation {
		return
	}
	if report, ok := decode[brquota.Report](f, r); ok {
		f.proxy.PeerReported(r.Name(), report)
	}
}
