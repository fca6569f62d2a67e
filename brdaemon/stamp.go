package brdaemon

import (
	"sync/atomic"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"
)

// stampWarnEvery paces the warnings of stamps that are too far ahead; a VM with
// a wrong clock sends one with each message.
const stampWarnEvery = time.Minute

// stamps moves the timeline's clock by the stamps of received messages.
type stamps struct {
	refused atomic.Int64
	warned  atomic.Int64 // UnixNano of the last warning
}

// stampMessages makes the daemon's links carry the timeline's stamps, so that
// events of several daemons merge in causal order.
func (d *Daemon) stampMessages(m *brpeer.Mux) {
	k := d.recorder.Clock()
	m.Stamp = k.Now
	m.Received = func(s brtimeline.Stamp) {
		_, err := k.Receive(s)
		if err == nil {
			return
		}
		d.stamps.refused.Add(1)
		now, last := d.clock.Now().UnixNano(), d.stamps.warned.Load()
		if now-last >= int64(stampWarnEvery) && d.stamps.warned.CompareAndSwap(last, now) {
			d.log.Warn().Err(err).Msg("a peer's clock is too far ahead; its timeline stamps are ignored")
		}
	}
}
