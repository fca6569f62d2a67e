package brfleet

import (
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"

	"github.com/cespare/xxhash/v2"
)

// kindLimit is the kind of the records of the limits that endpoints state, by endpoint.
// Each daemon may write them.
const kindLimit = "limit"

// limitRecord is the value of a record of a limit.
type limitRecord struct {
	brlimit.Limit
	Rejected bool `cbor:"rejected,omitempty"` // it was published because of a rejection
}

// rejectionLifetime is the age up to which a record of a rejection still tells that its
// endpoint has no room.
const rejectionLifetime = time.Second

// publishLimit publishes a limit to all daemons.
func (f *Fleet) publishLimit(l brplace.LimitLearned) {
	key := kindLimit + "/" + l.ID
	version := brgossip.Version{Epoch: l.Born}
	if r, ok := f.node.Get(key); ok && r.Version.Epoch == l.Born {
		version = r.Version
	}
	version.Seq = f.nextWriterSeq(version.Seq)
	f.node.Publish(brgossip.Record{Key: key, Version: version, Value: encode(limitRecord{l.Limit, l.Rejected}), Lifetime: brlimit.Lifetime})
}

// nextWriterSeq returns a sequence number after seq. Its last 16 bits are a hash of this
// daemon, so that of two records that two daemons publish at once one is newer everywhere.
func (f *Fleet) nextWriterSeq(seq uint64) uint64 {
	const writerBits = 16
	return (seq>>writerBits+1)<<writerBits | xxhash.Sum64String(f.cfg.ID)>>(64-writerBits)
}

// applyLimitRecord applies the newest limit of an endpoint.
func (f *Fleet) applyLimitRecord(r brgossip.Record) {
	limit, ok := decodeChecked(f, r, checkLimit)
	if !ok {
		return
	}
	rejected := limit.Rejected && r.Age < rejectionLifetime
	f.proxy.ApplyEvent(brplace.LimitPublished{ID: r.Name(), Born: r.Version.Epoch, Limit: limit.Limit, Rejected: rejected})
	f.cfg.Log.Info().Str("endpoint", r.Name()).Bool("limited", limit.Limited).Float64("limit_per_s", limit.Rate).
		Bool("brittle", limit.Brittle).Int("rejections_per_s", limit.RejectionLimit).Bool("rejected", rejected).
		Dur("age_ms", r.Age).Msg("limit of an endpoint published")
}

// limitExpired lifts a limit that no response has stated for its lifetime.
func (f *Fleet) limitExpired(r brgossip.Record) {
	f.proxy.ApplyEvent(brplace.LimitPublished{ID: r.Name(), Born: r.Version.Epoch})
	f.cfg.Log.Info().Str("endpoint", r.Name()).Msg("limit of an endpoint expired")
}
