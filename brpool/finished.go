package brpool

import (
	"time"

	"bramleyroute/brerror"
)

const (
	// bucketWidth is the granularity at which recorded requests are removed.
	bucketWidth = 10 * time.Second
	// maxFinished limits the recorded requests: 10 minutes at 660 requests per
	// second, 2.6 times the two-year target of one pool.
	maxFinished = 400_000
	// maxClockLead is how far the time in an ID may be ahead of the scheduler's
	// clock: 2 s at the entry plus the clock skew.
	maxClockLead = 2*time.Second + 2*ClockSkew
)

// requestKey is the binary form of a request ID.
type requestKey [16]byte

// parseID returns the key of a UUIDv7 in canonical form: 36 characters, lower
// case. It rejects any other form, which would be a second name for the same ID.
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

// createdAt returns the time in the ID (RFC 9562, section 5.7).
func (k requestKey) createdAt() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// finishedRequest records where a request ran.
type finishedRequest struct {
	entry, endpoint, address, customer string
	ran                                bool // if false, the outcome is unknown
}

// refusal returns the error for a repeated submission of the request.
func (f finishedRequest) refusal() *brerror.Error {
	if f.ran {
		return brerror.New(brerror.AlreadyRun, "the request has run").WithEarlierRequest(f.entry, f.address)
	}
	return brerror.New(brerror.UnknownOutcome, "the request was dispatched and may have run").WithEarlierRequest(f.entry, f.address)
}

// finishedSet holds the finished requests by ID. The zero value is empty.
type finishedSet struct {
	byID       map[requestKey]finishedRequest
	buckets    map[int64][]requestKey // by creation time of the ID
	oldestTime time.Time              // IDs created earlier have been removed
}

func (s *finishedSet) add(now time.Time, k requestKey, e finishedRequest) {
	at := k.createdAt()
	if s.tooOld(now, k, Retention) {
		return
	}
	if s.byID == nil {
		s.byID, s.buckets = make(map[requestKey]finishedRequest), make(map[int64][]requestKey)
	}
	if _, ok := s.byID[k]; !ok {
		b := at.UnixMilli() / bucketWidth.Milliseconds()
		s.buckets[b] = append(s.buckets[b], k)
	}
	s.byID[k] = e
	for len(s.byID) > maxFinished {
		s.dropOldest()
	}
}

// tooOld reports whether an ID is so old that its record may have been removed.
func (s *finishedSet) tooOld(now time.Time, k requestKey, retention time.Duration) bool {
	at := k.createdAt()
	return now.Sub(at) > retention || retention == Retention && at.Before(s.oldestTime)
}

// expire removes the IDs that are refused as too old.
func (s *finishedSet) expire(now time.Time) {
	limit := now.Add(-Retention-bucketWidth).UnixMilli() / bucketWidth.Milliseconds()
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
	s.oldestTime = time.UnixMilli((oldest + 1) * bucketWidth.Milliseconds())
}

func (s *finishedSet) drop(bucket int64) {
	for _, k := range s.buckets[bucket] {
		delete(s.byID, k)
	}
	delete(s.buckets, bucket)
}
