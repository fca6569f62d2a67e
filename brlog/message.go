package brlog

// MessageKind is the kind of a message between two replicas.
type MessageKind uint8

// The message kinds.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageAppend
	MessageAppendReply
	MessageCommit
	MessageSnapshot
	MessageSnapshotReply
	MessageTimeoutNow
	MessageRemoved
)

// Message is what one replica sends to another. Times are nanoseconds on the
// clock of the replica that first wrote them and mean nothing to others, which
// only send them back.
type Message struct {
	Kind MessageKind `cbor:"kind"`
	From ID          `cbor:"from"`
	To   ID          `cbor:"to"`
	Term uint64      `cbor:"term"`

	// Index and LogTerm are the last entry of a candidate, the entry before
	// Entries in an append, the last matching entry in its reply (or a hint
	// where to try next if Reject is set), the last entry known to match in a
	// heartbeat, the last entry of the log in its reply, and the snapshot's entry.
	Index   uint64  `cbor:"index,omitempty"`
	LogTerm uint64  `cbor:"log_term,omitempty"`
	Commit  uint64  `cbor:"commit,omitempty"`
	Entries []Entry `cbor:"entries,omitempty"`
	Reject  bool    `cbor:"reject,omitempty"`

	Transfer  bool `cbor:"transfer,omitempty"`  // a vote that the former leader asked for
	Voter     bool `cbor:"voter,omitempty"`     // the receiver has a vote as the leader knows it
	Confirmed bool `cbor:"confirmed,omitempty"` // Commit is the newest: the leader held its lease

	LeaderTime int64  `cbor:"leader_time,omitempty"` // when the heartbeat was sent
	PeerTime   int64  `cbor:"peer_time,omitempty"`   // when the follower sent its last reply
	Session    uint64 `cbor:"session,omitempty"`     // of the follower's clock

	Chunk *Chunk `cbor:"chunk,omitempty"`
}

// Chunk is a part of a snapshot. A reply carries the Offset that is expected
// next and no data.
type Chunk struct {
	Offset     uint64     `cbor:"offset"`
	Total      uint64     `cbor:"total"`
	Data       []byte     `cbor:"data,omitempty"`
	Membership Membership `cbor:"membership"`
}

// fromLeader reports whether only the leader of m.Term sends messages of m's kind.
func (m Message) fromLeader() bool {
	switch m.Kind {
	case MessageHeartbeat, MessageAppend, MessageCommit, MessageSnapshot, MessageTimeoutNow:
		return true
	}
	return false
}
