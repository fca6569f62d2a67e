package brfleet

import (
	"fmt"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
	"bramleyroute/brwire"
)

const (
	kindLoad = "load"

	// loadLifetime is the time without a report after which a daemon's dispatches
	// no longer count.
	loadLifetime = 2 * time.Second
	// loadRenew is the longest pause between two reports.
	loadRenew = 400 * time.Millisecond
	// loadPause is the shortest pause between two reports, and loadSpread what it
	// grows to for each daemon of a large fleet: each takes 1,600 reports a second
	// at most, whatever their number.
	loadPause  = 20 * time.Millisecond
	loadSpread = 625 * time.Microsecond
)

// load is what one daemon tells the others about its work.
type load struct {
	Place brplace.Report `cbor:"place"`
	Quota brquota.Report `cbor:"quota"`
}

// changed schedules a report. It doesn't block.
func (f *Fleet) changed() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// runLoad publishes this daemon's load when it changes.
func (f *Fleet) runLoad() {
	for seq := uint64(1); ; seq++ {
		select {
		case <-f.stop:
			return
		case <-f.dirty:
		case <-f.cfg.Clock.After(loadRenew):
		}
		f.publishLoad(seq)
		select {
		case <-f.stop:
			return
		case <-f.cfg.Clock.After(max(loadPause, time.Duration(f.daemons.Load())*loadSpread)):
		}
	}
}

func (f *Fleet) publishLoad(seq uint64) {
	var l load
	l.Place, l.Quota = f.proxy.Reports()
	value, err := brwire.Encode(l)
	if err != nil {
		panic(fmt.Sprintf("brfleet: encode load: %v", err))
	}
	f.node.Publish(brgossip.Record{
		Key: f.loadKey, Version: brgossip.Version{Seq: seq}, Value: value, Lifetime: loadLifetime,
	})
}

func (f *Fleet) loadRecord(r brgossip.Record) {
	if r.Key == f.loadKey {
		return
	}
	l, err := brwire.Decode[load](r.Value)
	if err != nil {
		f.cfg.Log.Warn().Str("daemon", r.Name()).Err(err).Msg("load of a daemon can't be read")
		return
	}
	f.proxy.Place(brplace.PeerReported{Daemon: r.Key, Report: l.Place})
	f.proxy.PeerReported(r.Key, l.Quota)
}
