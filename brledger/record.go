package brledger

import (
	"time"

	"bramleyroute/brerror"
	"github.com/google/uuid"
)

// Limits of the ledger.
const (
	// Retention is the minimum time for which a record is stored, and the age from
	// which an ID without a record is refused.
	Retention = 24 * time.Hour
	// MaxIDAhead is the maximum by which the time in an ID may be ahead of the
	// stamped time: 2 s accepted by entries plus 1 s of clock skew between entry
	// and leader.
	MaxIDAhead = 3 * time.Second
	// MaxResponseBytes is the size of the largest response body that is stored, in bytes.
	MaxResponseBytes = 64 << 10
	// MaxFieldBytes is the maximum length of a text field of a record, in bytes.
	MaxFieldBytes = 256
	// recordOverhead is the accounted size of a record without its text fields,
	// in bytes: the struct, its map entry and its element in the expiry order.
	recordOverhead = 256
)

// Response is the response to a finished request.
type Response struct {
	Status      int    `cbor:"status" json:"status"` // HTTP status code
	ContentType string `cbor:"content_type,omitempty" json:"content_type,omitempty"`
	Body        []byte `cbor:"body,omitempty" json:"body,omitempty"`
	TooLarge    bool   `cbor:"too_large,omitempty" json:"too_large,omitempty"` // the body was too large to store
}

// Record is the state of one request.
type Record struct {
	RequestID string    `cbor:"request_id" json:"request_id"`
	Customer  string    `cbor:"customer" json:"customer"` // owner of the request; other customers must not read the response
	Entry     string    `cbor:"entry" json:"entry"`       // ID of the entry that began the request
	Endpoint  string    `cbor:"endpoint" json:"endpoint"` // address to which the request is dispatched
	BegunAt   time.Time `cbor:"begun_at" json:"begun_at"`
	Finished  bool      `cbor:"finished" json:"finished"`
	Response  Response  `cbor:"answer" json:"answer"` // valid if Finished is set
}

// Begin requests permission to dispatch a request.
type Begin struct {
	RequestID string `cbor:"request_id"`
	Customer  string `cbor:"customer"`
	Entry     string `cbor:"entry"`
	Endpoint  string `cbor:"endpoint"`
}

// Finish stores the response to a request.
type Finish struct {
	RequestID string   `cbor:"request_id"`
	Entry     string   `cbor:"entry"`
	Response  Response `cbor:"answer"`
}

// Release removes the record of a request that is known not to have been sent.
type Release struct {
	RequestID string `cbor:"request_id"`
	Entry     string `cbor:"entry"`
}

// Limits are the limits of a ledger. All replicas must use the same limits.
type Limits struct {
	Records int
	Bytes   int // accounted size; an unfinished record counts with the largest response
}

// DefaultLimits keeps the ledger within about half of a daemon's 256 MB and allows
// about 2,000 requests in progress at a time.
var DefaultLimits = Limits{Records: 200_000, Bytes: 128 << 20}

// CreatedAt returns the creation time encoded in a UUIDv7, with a resolution of 1 ms.
// The error is invalid_request if requestID is not a UUIDv7 in canonical lower case.
func CreatedAt(requestID string) (time.Time, error) {
	id, err := uuid.Parse(requestID)
	// Parse accepts other spellings of the same UUID, which would be distinct keys.
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != requestID {
		return time.Time{}, brerror.New(brerror.InvalidRequest, "%.64q is not a UUIDv7 in lower case", requestID).WithField("request_id")
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms).UTC(), nil
}

// size returns the accounted size of r in bytes. An unfinished record includes the
// largest response, so that Finish never fails for lack of space.
func (r Record) size() int {
	n := recordOverhead + len(r.RequestID) + len(r.Entry) + len(r.Endpoint)
	if !r.Finished {
		return n + MaxResponseBytes + MaxFieldBytes
	}
	return n + len(r.Response.Body) + len(r.Response.ContentType)
}
