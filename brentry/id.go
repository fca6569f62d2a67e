package brentry

import (
	"time"

	"bramleyroute/brerror"
	"github.com/google/uuid"
)

const (
	// maxAhead allows for clocks that differ between callers and entries.
	maxAhead = 2 * time.Second
	// maxAge is how old an id may be that is not on record: the retention of
	// bindings at schedulers.
	maxAge = 10 * time.Minute
	// maxAgeNonIdempotent is the retention of ledger records.
	maxAgeNonIdempotent = 24 * time.Hour
	fieldRequestID      = "request_id"
)

// idTime returns the time in a UUIDv7 in its canonical form.
func idTime(id string) (time.Time, error) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return time.Time{}, brerror.New(brerror.InvalidRequest, "not a UUIDv7 in lower case").WithField(fieldRequestID)
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// checkAhead refuses an id that was made in the future of now.
func checkAhead(id string, now time.Time) error {
	made, err := idTime(id)
	if err != nil {
		return err
	}
	if ahead := made.Sub(now); ahead > maxAhead {
		return brerror.New(brerror.InvalidRequest, "made %v ahead of this entry's clock", ahead.Round(time.Millisecond)).WithField(fieldRequestID)
	}
	return nil
}

// checkAge refuses an id that is too old to tell whether it has run.
func checkAge(id string, now time.Time, limit time.Duration) error {
	made, err := idTime(id)
	if err != nil {
		return err
	}
	if age := now.Sub(made); age > limit {
		return brerror.New(brerror.TooOld, "made %v ago and not on record", age.Round(time.Second)).WithField(fieldRequestID)
	}
	return nil
}
