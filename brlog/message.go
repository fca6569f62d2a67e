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

// Message is a message from one replica to another. Times are in nanoseconds on
// the clock of the replica that set them. Other replicas only echo them.
type Message struct {
	Kind MessageKind `cbor:"kind"`
	From ID          `cbor:"from"`
	To   ID          `cbor:"to"`
	Term uint64      `cbor:"term"`

	// Index and LogTerm identify an entry, depending on Kind: in vote requests
	// the last entry of the candidate, in appends the entry before Entries, in
	// append replies the last matching entry or, if Reject is set, a hint for
	// the entry to probe next, in heartbeats the last entry known to match, in
	// heartbeat replies the last entry of the log, and in snapshot messages the
	// last entry covered by the snapshot.
	Index   uint64  `cbor:"index,omitempty"`
	LogTerm uint64  `cbor:"log_term,omitempty"`
	Commit  uint64  `cbor:"commit,omitempty"`
	Entries []Entry `cbor:"entries,omitempty"`
	Reject  bool    `cbor:"reject,omitempty"`

	Transfer  bool `cbor:"transfer,omitempty"`  // the vote request results from a leadership transfer
	Voter     bool `cbor:"voter,omitempty"`     // the receiver is a voter in the leader's membership
	Confirmed bool `cbor:"confirmed,omitempty"` // the leader held its lease, so Commit was the latest commit index

	LeaderTime int64  `cbor:"leader_time,omitempty"` // send time of the heartbeat
	PeerTime   int64  `cbor:"peer_time,omitempty"`   // send time of the follower's last reply
	Session    uint64 `cbor:"session,omitempty"`     // clock ID of the follower; PeerTime is comparable within one session

	Chunk *Chunk `cbor:"chunk,omitempty"`
}

// Chunk is a part of a snapshot. In a reply, Offset is the next expected offset
// and Data is empty. Offset and Total are in bytes.
type Chunk struct {
	Offset     uint64     `cbor:"offset"`
	Total      uint64     `cbor:"total"`
	Data       []byte     `cbor:"data,omitempty"`
	Membership Membership `cbor:"membership"`
}

// fromLeader reports whether messages of m.Kind are sent only by the leader of
// m.Term.
func (m Message) fromLeader() bool {
	switch m.Kind {
	case MessageHeartbeat, MessageAppend, MessageCommit, MessageSnapshot, MessageTimeoutNow:
		return true
	}
	return false
}

// isVoteRequest reports whether m is sent by a replica that wants to lead.
func (m Message) isVoteRequest() bool { return m.Kind == MessagePreVote || m.Kind == MessageVote }
