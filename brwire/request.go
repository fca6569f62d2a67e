package brwire

import (
	"bramleyroute/brerror"
	"time"
)

// Names of the messages between entries and schedulers.
const (
	NameSubmit     = "submit"
	NameGrant      = "grant"
	NameRefuse     = "refuse"
	NameWithdraw   = "withdraw"
	NameStarted    = "started"
	NameFirstToken = "first_token"
	NameDone       = "done"
	NameJoin       = "join"
	NameBound      = "bound"
	NameLocate     = "locate"
	NameAttach     = "attach"
	NameReport     = "report"
)

// Submit asks the scheduler of a pool for a grant. The entry keeps the body and
// the caller's connection.
type Submit struct {
	RequestID     string        `cbor:"request_id"`
	Assigned      bool          `cbor:"assigned"` // the id was made by the entry, so no other entry can hold it
	Pool          string        `cbor:"pool"`
	Customer      string        `cbor:"customer"`
	Route         string        `cbor:"route"`
	Tier          int           `cbor:"tier"`     // 1 (highest) to 5
	Deadline      time.Duration `cbor:"deadline"` // until the first token, from the sending of Submit
	PromptTokens  int           `cbor:"prompt_tokens"`
	MaxTokens     int           `cbor:"max_tokens"`
	PrefixHashes  []uint64      `cbor:"prefix_hashes,omitempty"` // one per block of PrefixBlockTokens, each over the whole prefix up to its end
	NonIdempotent bool          `cbor:"non_idempotent"`

	// Bound is the epoch in which a scheduler bound the id to this entry, 0 when
	// none did. The entry has held the request ever since, so that no other entry
	// can have dispatched it.
	Bound uint64 `cbor:"bound,omitempty"`
}

// Bound tells an entry that its request is queued and that its id, which the
// caller made, is bound to the entry.
type Bound struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
}

// Times of the bindings of queued requests. An entry that is cut off from the
// scheduler must have stopped to rely on a binding before the scheduler gives the
// id to another entry. Both count from the end of the entry's connection, which
// the entry can't notice later than the scheduler's last frame.
const (
	BindingValid = 6 * time.Second // at the entry, since the last frame of the scheduler
	BindingHold  = 7 * time.Second // at the scheduler, since the end of the connection
)

// PrefixBlockTokens is the length in tokens of the blocks that prefix hashes
// and cache events speak of.
const PrefixBlockTokens = 64

// Grant allows the entry one dispatch of one request to one endpoint.
type Grant struct {
	RequestID  string        `cbor:"request_id"`
	Epoch      uint64        `cbor:"epoch"`
	EndpointID string        `cbor:"endpoint_id"`
	Address    string        `cbor:"address"` // host:port
	Version    string        `cbor:"version"`
	Window     time.Duration `cbor:"window"` // the dispatch must start within this time of the grant's arrival
	Number     uint64        `cbor:"number"` // of the grant within its epoch, from 1; echoed in Withdraw, Started, FirstToken and Done
}

// Refuse ends a submit without a grant.
type Refuse struct {
	RequestID string        `cbor:"request_id"`
	Epoch     uint64        `cbor:"epoch"`
	Error     brerror.Error `cbor:"error"`
}

// Withdraw takes a queued or granted request back before it was dispatched.
type Withdraw struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
	Number    uint64 `cbor:"number"` // of the grant; 0 when none arrived
}

// Started tells that the dispatch passed the boundary: from here the request
// may have run.
type Started struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
	Number    uint64 `cbor:"number"` // of the grant; 0 when none arrived
}

// FirstToken tells that the first token of the answer arrived.
type FirstToken struct {
	RequestID string        `cbor:"request_id"`
	Epoch     uint64        `cbor:"epoch"`
	Number    uint64        `cbor:"number"`  // of the grant
	Elapsed   time.Duration `cbor:"elapsed"` // since the dispatch
}

// Done ends a granted request. Outcome NotRun returns the grant unused.
type Done struct {
	RequestID    string          `cbor:"request_id"`
	Epoch        uint64          `cbor:"epoch"`
	Number       uint64          `cbor:"number"` // of the grant; a late copy cannot end a later grant of the same id
	OK           bool            `cbor:"ok"`
	Outcome      brerror.Outcome `cbor:"outcome"`
	Kind         brerror.Kind    `cbor:"kind"` // meaningful when OK is false
	PromptTokens int             `cbor:"prompt_tokens"`
	CachedTokens int             `cbor:"cached_tokens"` // of PromptTokens, served from the prefix cache
	OutputTokens int             `cbor:"output_tokens"`
	FirstToken   time.Duration   `cbor:"first_token"` // since the dispatch; 0 when none came
	Duration     time.Duration   `cbor:"duration"`    // since the dispatch
}

// Join is the scheduler's call to an entry after it took a pool over. The entry
// answers with Recover and from then on accepts no grant of an older epoch.
type Join struct {
	Pool  string `cbor:"pool"`
	Epoch uint64 `cbor:"epoch"`
}

// Recover tells a new owner what an entry holds for its pool.
type Recover struct {
	EntryID  string       `cbor:"entry_id"`
	Pool     string       `cbor:"pool"`
	Epoch    uint64       `cbor:"epoch"`
	Queued   []Submit     `cbor:"queued"`
	Running  []RunningRef `cbor:"running"`
	Finished []string     `cbor:"finished"` // request ids dispatched and ended within the retention
	Ended    []EndedRef   `cbor:"ended"`    // as Finished, with where they ran; an id is in one of the two

	// StartedAgo is the age of the entry's process; 0 counts as just started.
	// What an earlier process of the entry dispatched is in no report.
	StartedAgo time.Duration `cbor:"started_ago"`
}

// EndedRef names a dispatched request that ended.
type EndedRef struct {
	RequestID  string `cbor:"request_id"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Customer   string `cbor:"customer"`
	Ran        bool   `cbor:"ran"` // it certainly ran; otherwise its outcome is unknown
}

// RunningRef names a dispatched request that has not ended.
type RunningRef struct {
	Submit     Submit `cbor:"submit"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Version    string `cbor:"version"`
}

// Locate asks a scheduler where a request was dispatched.
type Locate struct {
	Pool      string `cbor:"pool"`
	RequestID string `cbor:"request_id"`
}

// Located answers Locate.
type Located struct {
	Found      bool   `cbor:"found"`
	Finished   bool   `cbor:"finished"`
	EntryID    string `cbor:"entry_id"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Customer   string `cbor:"customer"` // whose request it is; only that customer may read the answer
}

// Attach tells the entry that dispatched a request that another entry's caller
// reads its answer, or has stopped. While a reader is attached, the request isn't
// canceled when the first caller goes away.
type Attach struct {
	RequestID string `cbor:"request_id"`
	ReaderID  string `cbor:"reader_id"` // unique for each resume
	Attached  bool   `cbor:"attached"`
}

// Ack is the empty answer of a call.
type Ack struct{}

// NameHello is the first push on every link between daemons.
const NameHello = "hello"

// Hello names the daemon that dialled.
type Hello struct {
	DaemonID string `cbor:"daemon_id"`
}

// Pooled carries a message to or from the scheduler of one pool; a daemon may
// own several.
type Pooled[T any] struct {
	Pool    string `cbor:"pool"`
	Message T      `cbor:"message"`
}
