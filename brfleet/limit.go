package brfleet

import (
	"bramleyroute/brgossip"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"

	"github.com/cespare/xxhash/v2"
)

// kindLimit is the kind of the records of the limits that endpoints state, by endpoint.
// Each daemon may write them.
const kindLimit = "limit"

// publishLimit publishes a limit to all daemons.
func (f *Fleet) publishLimit(l brplace.LimitLearned) {
	key := kindLimit + "/" + l.ID
	version := brgossip.Version{Epoch: l.Born}
	if r, ok := f.node.Get(key); ok && r.Version.Epoch == l.Born {
		version = r.Version
	}
	version.Seq = f.nextLimitSeq(version.Seq)
	f.node.Publish(brgossip.Record{Key: key, Version: version, Value: encode(l.Limit), Lifetime: brlimit.Lifetime})
}

// nextLimitSeq returns a sequence number after seq. Its last 16 bits are a hash of this
// daemon, so that of two limits that two daemons publish at once one is newer everywhere.
func (f *Fleet) nextLimitSeq(seq uint64) uint64 {
	const writerBits = 16
	return (seq>>writerBits+1)<<writerBits | xxhash.Sum64String(f.cfg.ID)>>(64-writerBits)
}

// applyLimitRecord applies the newest limit of an endpoint.
func (f *Fleet) applyLimitRecord(r brgossip.Record) {
	limit, ok := decodeChecked(f, r, checkLimit)
	if !ok {
		return
	}
	f.proxy.ApplyEvent(brplace.LimitPublished{ID: r.Name(), Born: r.Version.Epoch, Limit: limit})
	f.cfg.Log.Info().Str("endpoint", r.Name()).Bool("limited", limit.Limited).Float64("limit_per_s", limit.Rate).
		Dur("age_ms", r.Age).Msg("limit of an endpoint published")
}

// limitExpired lifts a limit that no response has stated for its lifetime.
func (f *Fleet) limitExpired(r brgossip.Record) {
	f.proxy.ApplyEvent(brplace.LimitPublished{ID: r.Name(), Born: r.Version.Epoch})
	f.cfg.Log.Info().Str("endpoint", r.Name()).Msg("limit of an endpoint expired")
}
