package brfleet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
)

// Announcement is an endpoint's heartbeat.
type Announcement struct {
	Endpoint brplace.Endpoint
	Born     uint64 // start time of the endpoint, Unix milliseconds
	Sequence uint64 // number of the heartbeat since the start

	// ColdTime is the time for which the endpoint stays cold, and 0 if it is warm.
	ColdTime time.Duration `cbor:",omitempty"`
	// ColdUnstated reports that the endpoint doesn't say whether it is cold.
	ColdUnstated bool `cbor:",omitempty"`
}

const (
	// maxTextBytes is the maximum length in bytes of each text of an announcement. All
	// daemons keep them, and the ID goes with each request.
	maxTextBytes = 255
	// maxSlots is the maximum number of slots. The slots of a service are added up, and
	// an endpoint that states far more than it has attracts all requests.
	maxSlots = 1 << 16
	// maxBorn and maxSequence are the largest values that JSON encoders of all languages
	// represent exactly. An endpoint with a greater one would count as newer than all of
	// its heartbeats, or as withdrawn.
	maxBorn     = 1 << 53
	maxSequence = 1 << 53
	// maxRecordLifetime is the longest lifetime of the record of an endpoint, with room
	// for another endpointLifetime in a later release.
	maxRecordLifetime = 4 * endpointLifetime
)

// ErrInvalid is wrapped by the errors of announcements that name no endpoint to use.
var ErrInvalid = errors.New("brfleet: invalid announcement")

// Check returns an error that wraps ErrInvalid unless a names an endpoint that a daemon
// can send requests to.
func (a Announcement) Check() error {
	if err := a.checkIdentity(); err != nil {
		return err
	}
	e := a.Endpoint
	for _, text := range []string{e.Service, e.Zone, e.Version} {
		if len(text) > maxTextBytes || !utf8.ValidString(text) {
			return fmt.Errorf("%w: text of %d bytes is too long or not UTF-8", ErrInvalid, len(text))
		}
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	// A dial of an unspecified address connects to this VM.
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fmt.Errorf("%w: no endpoint can have the address %s", ErrInvalid, e.Address)
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return fmt.Errorf("%w: %d slots, want 1 to %d", ErrInvalid, e.Slots, maxSlots)
	}
	if a.ColdTime < 0 || a.ColdTime > MaxColdTime {
		return fmt.Errorf("%w: cold for %v, want 0 to %v", ErrInvalid, a.ColdTime, MaxColdTime)
	}
	return nil
}

// checkIdentity returns an error that wraps ErrInvalid unless the ID, the start and the
// sequence number of a are valid.
func (a Announcement) checkIdentity() error {
	id := a.Endpoint.ID
	if id == "" || len(id) > maxTextBytes || !utf8.ValidString(id) {
		return fmt.Errorf("%w: ID of %d bytes is empty, too long or not UTF-8", ErrInvalid, len(id))
	}
	for i := range len(id) {
		if c := id[i]; c < ' ' || c == 0x7f {
			return fmt.Errorf("%w: ID %q has a control character", ErrInvalid, id)
		}
	}
	if a.Born > maxBorn || a.Sequence > maxSequence {
		return fmt.Errorf("%w: start %d or sequence number %d is too large", ErrInvalid, a.Born, a.Sequence)
	}
	return nil
}

// checkRecord returns an error that wraps ErrInvalid unless a is the valid value of r. A
// withdrawn endpoint has withdrawnSequence, and no more than an ID if it was withdrawn
// before its first announcement.
func (a Announcement) checkRecord(r brgossip.Record) error {
	if r.Lifetime <= 0 || r.Lifetime > maxRecordLifetime {
		return fmt.Errorf("%w: lifetime of %v", ErrInvalid, r.Lifetime)
	}
	if a.Endpoint.ID != r.Name() || a.Born != r.Version.Epoch || a.Sequence != r.Version.Seq {
		return fmt.Errorf("%w: value of another endpoint or version", ErrInvalid)
	}
	if a.Sequence == withdrawnSequence {
		a.Sequence = 0
		if a.Endpoint == (brplace.Endpoint{ID: a.Endpoint.ID, Leaving: true}) {
			return a.checkIdentity()
		}
	}
	return a.Check()
}
