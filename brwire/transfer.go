package brwire

import "time"

// NameTransferRecords is the name of the call that transfers the records of a
// stopping entry to another entry.
const NameTransferRecords = "inherit"

// MaxTransferRecords is the maximum number of records in one TransferRecords. It
// keeps the message far below MaxMessage.
const MaxTransferRecords = 5000

// TransferRecords transfers the records of a stopping entry to another entry, which
// reports them as its own from then on. More than MaxTransferRecords records are
// sent in several messages.
type TransferRecords struct {
	EntryID string              `cbor:"entry_id"`
	Ended   []TransferredRecord `cbor:"ended"`
	// StartedAgo has the meaning of JoinReply.StartedAgo. Older requests of the entry,
	// or of entries whose records were transferred to it, may have no record.
	StartedAgo time.Duration `cbor:"started_ago"`
}

// TransferredRecord is the record of a request that was dispatched and has ended.
type TransferredRecord struct {
	EndedRef
	Pool string        `cbor:"pool"`
	Ago  time.Duration `cbor:"ago"` // time since the request ended
}
