package brentry

import (
	"time"

	"bramleyroute/brerror"
	"github.com/google/uuid"
)

const (
	// maxClockLead is how far the time in an ID may be ahead of the entry's clock. It
	// allows for the difference between the clocks of callers and entries.
	maxClockLead = 2 * time.Second
	// maxAge is the maximum age of an ID without a record. It equals the retention of
	// bindings at schedulers.
	maxAge = 10 * time.Minute
	// maxAgeNonIdempotent is maxAge for non-idempotent requests. It equals the
	// retention of ledger records.
	maxAgeNonIdempotent = 24 * time.Hour
	fieldRequestID      = "request_id"
)

// idTime returns the time of creation in id, which must be a UUIDv7 in canonical
// form.
func idTime(id string) (time.Time, error) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return time.Time{}, brerror.New(brerror.InvalidRequest, "must be a UUIDv7 in lower case").WithField(fieldRequestID)
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// checkClockLead returns an error if id was created more than maxClockLead after
// now.
func checkClockLead(id string, now time.Time) error {
	created, err := idTime(id)
	if err != nil {
		return err
	}
	if lead := created.Sub(now); lead > maxClockLead {
		return brerror.New(brerror.InvalidRequest, "time of creation is %v ahead of this entry's clock", lead.Round(time.Millisecond)).WithField(fieldRequestID)
	}
	return nil
}

// checkAge returns an error if id is older than limit: whether such a request has run
// is unknown, because its record may have been deleted.
func checkAge(id string, now time.Time, limit time.Duration) error {
	created, err := idTime(id)
	if err != nil {
		return err
	}
	if age := now.Sub(created); age > limit {
		return brerror.New(brerror.TooOld, "created %v ago and has no record", age.Round(time.Second)).WithField(fieldRequestID)
	}
	return nil
}
