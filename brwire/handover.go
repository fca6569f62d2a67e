package brwire

import "time"

// NameInherit is the call by which an entry that stops hands its records to
// another entry.
const NameInherit = "inherit"

// MaxInherit bounds the records of one Inherit, so that it stays far below
// MaxMessage.
const MaxInherit = 5000

// Inherit hands the records of an entry that stops to another one, which reports
// them as its own from then on. Several follow each other when there are more
// than MaxInherit records.
type Inherit struct {
	EntryID string      `cbor:"entry_id"`
	Ended   []Inherited `cbor:"ended"`
	// StartedAgo is that of Recover: older requests of the entry, or of those
	// whose records it had, may be on no record.
	StartedAgo time.Duration `cbor:"started_ago"`
}

// Inherited is the record of a request that was dispatched and has ended.
type Inherited struct {
	EndedRef
	Pool string        `cbor:"pool"`
	Ago  time.Duration `cbor:"ago"` // since its end
}
