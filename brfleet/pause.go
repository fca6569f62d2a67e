package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
)

// kindPause is the kind of the records of pauses that endpoints ask for, by endpoint. Each
// daemon may write them.
const kindPause = "pause"

// publishPause publishes the pause of an endpoint if requests of several daemons reach it
// over the connections of one. An endpoint asks the daemon at the other end of the
// connection, and can't tell whose request it is.
func (f *Fleet) publishPause(e brplace.Endpoint, pause time.Duration, relayed bool) {
	if !relayed && f.paths.server.Stats().Open == 0 {
		return
	}
	key := kindPause + "/" + e.ID
	version := brgossip.Version{Epoch: e.Born}
	if r, ok := f.node.Get(key); ok && r.Version.Epoch == e.Born {
		version = r.Version
	}
	version.Seq = f.nextWriterSeq(version.Seq)
	f.node.Publish(brgossip.Record{Key: key, Version: version, Value: encode(pause), Lifetime: max(pause, time.Second)})
}

// applyPauseRecord applies the pause of an endpoint.
func (f *Fleet) applyPauseRecord(r brgossip.Record) {
	pause, ok := decodeChecked(f, r, checkPause)
	if !ok {
		return
	}
	if remaining := pause - r.Age; remaining > 0 {
		f.proxy.ApplyEvent(brplace.EndpointPaused{ID: r.Name(), Duration: remaining})
	}
}
