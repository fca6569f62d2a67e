package brpool

import (
	"time"

	"bramleyroute/brerror"
)

const (
	// bucketSpan is the granularity at which ended requests are forgotten.
	bucketSpan = 10 * time.Second
	// maxFinished bounds the ended requests on record: 10 minutes at 660
	// requests per second, 2.6 times the two-year target of one pool.
	maxFinished = 400_000
	// maxAhead is how far ahead of the scheduler's clock an id may be minted:
	// 2 s at the entry and the clocks' skew.
	maxAhead = 2*time.Second + 2*ClockSkew
)

// requestKey is the binary form of a request id.
type requestKey [16]byte

// parseID returns the key of a UUIDv7 in its canonical form: 36 characters,
// lower case. Any other form is refused, because it would be a second name of
// the same id.
func parseID(id string) (k requestKey, ok bool) {
	if len(id) != 36 {
		return k, false
	}
	n := 0
	for i := 0; i < len(id); i++ {
		c := id[i]
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if c != '-' {
				return k, false
			}
			continue
		}
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		default:
			return k, false
		}
		k[n/2] = k[n/2]<<4 | c
		n++
	}
	return k, k[6]>>4 == 7 && k[8]>>6 == 2
}

// minted returns the time in the id (RFC 9562, section 5.7).
func (k requestKey) minted() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// ended tells where a request ran.
type ended struct {
	entry, endpoint, address, customer string
	ran                                bool // otherwise its outcome is unknown
}

// refusal returns what a resend of the request is told.
func (e ended) refusal() *brerror.Error {
	if e.ran {
		return brerror.New(brerror.AlreadyRun, "the request has run").WithRun(e.entry, e.address)
	}
	return brerror.New(brerror.UnknownOutcome, "the request was dispatched and may have run").WithRun(e.entry, e.address)
}

// finishedSet holds the ended requests by id. Its zero value is empty.
type finishedSet struct {
	byID    map[requestKey]ended
	buckets map[int64][]requestKey // by the id's time
	floor   time.Time              // ids minted earlier are no longer on record
}

func (s *finishedSet) add(now time.Time, k requestKey, e ended) {
	at := k.minted()
	if s.tooOld(now, k, Retention) {
		return
	}
	if s.byID == nil {
		s.byID, s.buckets = make(map[requestKey]ended), make(map[int64][]requestKey)
	}
	if _, ok := s.byID[k]; !ok {
		b := at.UnixMilli() / bucketSpan.Milliseconds()
		s.buckets[b] = append(s.buckets[b], k)
	}
	s.byID[k] = e
	for len(s.byID) > maxFinished {
		s.dropOldest()
	}
}

// tooOld reports whether an id is so old that it may have been on record.
func (s *finishedSet) tooOld(now time.Time, k requestKey, retention time.Duration) bool {
	at := k.minted()
	return now.Sub(at) > retention || retention == Retention && at.Before(s.floor)
}

// expire forgets the ids that are refused as too old anyway.
func (s *finishedSet) expire(now time.Time) {
	limit := now.Add(-Retention-bucketSpan).UnixMilli() / bucketSpan.Milliseconds()
	for b := range s.buckets {
		if b < limit {
			s.drop(b)
		}
	}
}

func (s *finishedSet) dropOldest() {
	first, oldest := true, int64(0)
	for b := range s.buckets {
		if first || b < oldest {
			first, oldest = false, b
		}
	}
	s.drop(oldest)
	s.floor = time.UnixMilli((oldest + 1) * bucketSpan.Milliseconds())
}

func (s *finishedSet) drop(bucket int64) {
	for _, k := range s.buckets[bucket] {
		delete(s.byID, k)
	}
	delete(s.buckets, bucket)
}
