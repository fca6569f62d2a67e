package brdaemon

import (
	"sync/atomic"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"
)

// stampWarnInterval is the minimum time between warnings of stamps that are too
// far ahead. A VM with a wrong clock sends one with each message.
const stampWarnInterval = time.Minute

// stamps tracks received stamps that were refused as too far ahead.
type stamps struct {
	refused     atomic.Int64
	lastWarning atomic.Int64 // time of the last warning, in nanoseconds since the Unix epoch
}

// stampMessages adds the timeline's stamps to messages on the daemon's links
// and advances the timeline's clock by received stamps, so that events of
// several daemons merge in causal order.
func (d *Daemon) stampMessages(m *brpeer.Mux) {
	k := d.recorder.Clock()
	m.Stamp = k.Now
	m.ReceiveStamp = func(s brtimeline.Stamp) {
		_, err := k.Receive(s)
		if err == nil {
			return
		}
		d.stamps.refused.Add(1)
		now, last := d.clock.Now().UnixNano(), d.stamps.lastWarning.Load()
		if now-last >= int64(stampWarnInterval) && d.stamps.lastWarning.CompareAndSwap(last, now) {
			d.log.Warn().Err(err).Msg("a peer's clock is too far ahead; its timeline stamps are ignored")
		}
	}
}
