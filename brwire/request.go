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
	NamePathLost   = "path_lost"
	NameDone       = "done"
	NameJoin       = "join"
	NameIDBound    = "bound"
	NameLocate     = "locate"
	NameAttach     = "attach"
	NameReport     = "report"
)

// Submit requests a grant from the scheduler of a pool. The body and the caller's
// connection stay at the entry.
type Submit struct {
	RequestID     string        `cbor:"request_id"`
	GeneratedID   bool          `cbor:"assigned"` // the entry generated the ID, so no other entry can have the request
	Pool          string        `cbor:"pool"`
	Customer      string        `cbor:"customer"`
	Route         string        `cbor:"route"`
	Tier          int           `cbor:"tier"`     // 1 (highest) to 5
	Deadline      time.Duration `cbor:"deadline"` // until the first token, from the time Submit was sent
	PromptTokens  int           `cbor:"prompt_tokens"`
	MaxTokens     int           `cbor:"max_tokens"`
	PrefixHashes  []uint64      `cbor:"prefix_hashes,omitempty"` // one per block of PrefixBlockTokens, over the prompt from its start to the end of the block
	NonIdempotent bool          `cbor:"non_idempotent"`
	Fingerprint   string        `cbor:"fingerprint,omitempty"` // a brquarantine.Request.ID; the same under another RequestID

	// BoundEpoch is the epoch in which a scheduler bound the ID to this entry, or 0 if the
	// ID is not bound. The entry has held the request since then, so no other entry
	// can have dispatched it.
	BoundEpoch uint64 `cbor:"bound,omitempty"`
}

// IDBound informs an entry that its request is queued and that the ID, which the caller
// generated, is bound to the entry.
type IDBound struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
}

// Validity of the bindings of queued requests. An entry that has lost its connection
// to the scheduler must stop relying on a binding before the scheduler binds the ID to
// another entry. The scheduler counts from the end of the connection; the entry counts
// from the scheduler's last frame, which is never later.
const (
	BindingValid = 6 * time.Second // at the entry, since the scheduler's last frame
	BindingHold  = 7 * time.Second // at the scheduler, since the end of the connection
)

// PrefixBlockTokens is the length, in tokens, of the blocks to which prefix hashes and
// cache events refer.
const PrefixBlockTokens = 64

// Grant allows the entry to dispatch one request to one endpoint once.
type Grant struct {
	RequestID  string        `cbor:"request_id"`
	Epoch      uint64        `cbor:"epoch"`
	EndpointID string        `cbor:"endpoint_id"`
	Address    string        `cbor:"address"` // host:port
	Version    string        `cbor:"version"`
	Window     time.Duration `cbor:"window"` // the dispatch must start within this time after the grant arrived
	Number     uint64        `cbor:"number"` // sequence number of the grant in its epoch, from 1; repeated in Withdraw, Started, FirstToken and Done
}

// Refuse rejects a Submit.
type Refuse struct {
	RequestID string        `cbor:"request_id"`
	Epoch     uint64        `cbor:"epoch"`
	Error     brerror.Error `cbor:"error"`
}

// Withdraw cancels a queued or granted request that has not been dispatched.
type Withdraw struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
	Number    uint64 `cbor:"number"` // number of the grant; 0 if none arrived
}

// Started reports that the dispatch has begun. From then on the request may have run.
type Started struct {
	RequestID string `cbor:"request_id"`
	Epoch     uint64 `cbor:"epoch"`
	Number    uint64 `cbor:"number"` // number of the grant; 0 if none arrived
}

// FirstToken reports the arrival of the first token of the response.
type FirstToken struct {
	RequestID string        `cbor:"request_id"`
	Epoch     uint64        `cbor:"epoch"`
	Number    uint64        `cbor:"number"`  // number of the grant
	Elapsed   time.Duration `cbor:"elapsed"` // since the dispatch
}

// PathLost reports that the entry may have lost its path to the endpoint of a dispatched
// request. How the request goes on says nothing about the endpoint.
type PathLost struct {
	RequestID string `cbor:"request_id"`
}

// Done ends a granted request. An Outcome of NotRun returns the grant unused.
type Done struct {
	RequestID    string          `cbor:"request_id"`
	Epoch        uint64          `cbor:"epoch"`
	Number       uint64          `cbor:"number"` // number of the grant; prevents a delayed copy from ending a later grant of the same ID
	OK           bool            `cbor:"ok"`
	Outcome      brerror.Outcome `cbor:"outcome"`
	Kind         brerror.Kind    `cbor:"kind"` // valid if OK is false
	PromptTokens int             `cbor:"prompt_tokens"`
	CachedTokens int             `cbor:"cached_tokens"` // part of PromptTokens served from the prefix cache
	OutputTokens int             `cbor:"output_tokens"`
	EndpointLost bool            `cbor:"endpoint_lost,omitempty"` // the endpoint ended the connection and couldn't resume the response
	PathFailed   bool            `cbor:"path_failed,omitempty"`   // the failure may be one of the entry's path to the endpoint and says nothing about the endpoint
	FirstToken   time.Duration   `cbor:"first_token"`             // since the dispatch; 0 if none arrived
	Duration     time.Duration   `cbor:"duration"`                // since the dispatch
}

// Join is the call of a scheduler to an entry after it became the owner of a pool. The
// entry replies with JoinReply and from then on accepts no grant of an older epoch.
type Join struct {
	Pool  string `cbor:"pool"`
	Epoch uint64 `cbor:"epoch"`
}

// JoinReply reports the requests of an entry to the new owner of their pool.
type JoinReply struct {
	EntryID  string       `cbor:"entry_id"`
	Pool     string       `cbor:"pool"`
	Epoch    uint64       `cbor:"epoch"`
	Queued   []Submit     `cbor:"queued"`
	Running  []RunningRef `cbor:"running"`
	Finished []string     `cbor:"finished"` // request IDs dispatched and ended within the retention
	Ended    []EndedRef   `cbor:"ended"`    // like Finished, with the endpoint; an ID is in only one of the two

	// StartedAgo is the age of the entry's process; 0 means that it has just started.
	// Requests dispatched by an earlier process of the entry are not reported.
	StartedAgo time.Duration `cbor:"started_ago"`
}

// EndedRef identifies a dispatched request that has ended.
type EndedRef struct {
	RequestID  string `cbor:"request_id"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Customer   string `cbor:"customer"`
	Ran        bool   `cbor:"ran"` // the request is known to have run; otherwise its outcome is unknown
}

// RunningRef identifies a dispatched request that has not ended.
type RunningRef struct {
	Submit     Submit `cbor:"submit"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Version    string `cbor:"version"`
}

// Locate asks a scheduler to which endpoint a request was dispatched.
type Locate struct {
	Pool      string `cbor:"pool"`
	RequestID string `cbor:"request_id"`
}

// LocateReply is the reply to Locate.
type LocateReply struct {
	Found      bool   `cbor:"found"`
	Finished   bool   `cbor:"finished"`
	EntryID    string `cbor:"entry_id"`
	EndpointID string `cbor:"endpoint_id"`
	Address    string `cbor:"address"`
	Customer   string `cbor:"customer"` // owner of the request; only this customer may read the response
}

// Attach informs the entry that dispatched a request that a caller of another entry
// has started or stopped reading the response. While a reader is attached, the request
// isn't canceled when the first caller disconnects.
type Attach struct {
	RequestID string `cbor:"request_id"`
	ReaderID  string `cbor:"reader_id"` // unique for each resume
	Attached  bool   `cbor:"attached"`
}

// EmptyReply is the empty reply to a call.
type EmptyReply struct{}

// NameHello is the name of the first message on every connection between daemons.
const NameHello = "hello"

// Hello identifies the daemon that opened the connection.
type Hello struct {
	DaemonID string `cbor:"daemon_id"`
}

// PoolMessage wraps a message to or from the scheduler of one pool, since a daemon
// may own several pools.
type PoolMessage[T any] struct {
	Pool    string `cbor:"pool"`
	Message T      `cbor:"message"`
}
