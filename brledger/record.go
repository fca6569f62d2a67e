package brledger

import (
	"time"

	"bramleyroute/brerror"
	"github.com/google/uuid"
)

// Bounds of the ledger.
const (
	// Retention is how long a request id stays on record, and the age from
	// which an id that is not on record is refused.
	Retention = 24 * time.Hour
	// MaxAhead is how far the time of an id may be ahead of the stamped time:
	// 2 s that an entry accepts and 1 s of clock skew to the leader.
	MaxAhead = 3 * time.Second
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// MaxFieldBytes bounds the names in a record.
	MaxFieldBytes = 256
	// recordOverhead is the accounted size of a record without its texts, in
	// bytes: the struct, its place in the map and in the expiry order.
	recordOverhead = 256
)

// Answer is what a finished request answered.
type Answer struct {
	Status      int    `cbor:"status" json:"status"` // HTTP status code
	ContentType string `cbor:"content_type,omitempty" json:"content_type,omitempty"`
	Body        []byte `cbor:"body,omitempty" json:"body,omitempty"`
	TooLarge    bool   `cbor:"too_large,omitempty" json:"too_large,omitempty"` // the body was too large to keep
}

// Record is the state of one request.
type Record struct {
	RequestID string    `cbor:"request_id" json:"request_id"`
	Customer  string    `cbor:"customer" json:"customer"` // whose request it is; no other may read the answer
	Entry     string    `cbor:"entry" json:"entry"`       // that began it
	Endpoint  string    `cbor:"endpoint" json:"endpoint"` // address that it is dispatched to
	BegunAt   time.Time `cbor:"begun_at" json:"begun_at"`
	Finished  bool      `cbor:"finished" json:"finished"`
	Answer    Answer    `cbor:"answer" json:"answer"` // when Finished
}

// Begin asks to dispatch a request.
type Begin struct {
	RequestID string `cbor:"request_id"`
	Customer  string `cbor:"customer"`
	Entry     string `cbor:"entry"`
	Endpoint  string `cbor:"endpoint"`
}

// Finish records the answer of a request.
type Finish struct {
	RequestID string `cbor:"request_id"`
	Entry     string `cbor:"entry"`
	Answer    Answer `cbor:"answer"`
}

// Release removes the record of a request that was provably not sent.
type Release struct {
	RequestID string `cbor:"request_id"`
	Entry     string `cbor:"entry"`
}

// Limits bound a ledger. All replicas must use the same.
type Limits struct {
	Records int
	Bytes   int // accounted size; a begun record counts with the largest answer
}

// DefaultLimits keep the ledger within about half of a daemon's 256 MB, and
// allow about 2,000 requests to be in progress at a time.
var DefaultLimits = Limits{Records: 200_000, Bytes: 128 << 20}

// MintedAt returns the time inside of a UUIDv7, with a resolution of 1 ms. The
// error is invalid_request for any other text.
func MintedAt(requestID string) (time.Time, error) {
	id, err := uuid.Parse(requestID)
	// Parse also accepts other spellings, which would be other keys.
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != requestID {
		return time.Time{}, brerror.New(brerror.InvalidRequest, "%.64q is not a UUIDv7 in lower case", requestID).WithField("request_id")
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms).UTC(), nil
}

// size returns the accounted bytes of r. A record in progress reserves the
// largest answer, so that a finish is never refused for lack of room.
func (r Record) size() int {
	n := recordOverhead + len(r.RequestID) + len(r.Entry) + len(r.Endpoint)
	if !r.Finished {
		return n + MaxAnswer + MaxFieldBytes
	}
	return n + len(r.Answer.Body) + len(r.Answer.ContentType)
}
