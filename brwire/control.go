package brwire

import (
	"bramleyroute/brerror"
	"time"
)

// Names of the messages between daemons and control replicas.
const (
	NameHeartbeat    = "heartbeat"
	NameHeartbeatAck = "heartbeat_ack"
	NameWatch        = "watch"
	NameChange       = "change"
	NamePropose      = "propose"
	NameLog          = "log"
	NameConfirmed    = "confirmed"
	NameSamples      = "samples"
	NameTimeline     = "timeline"
)

// Role is a part that a daemon plays.
type Role string

// The roles.
const (
	RoleEntry     Role = "entry"
	RoleScheduler Role = "scheduler"
	RoleControl   Role = "control"
)

// Daemon describes one process of the system.
type Daemon struct {
	ID            string `cbor:"id" json:"id"`
	Incarnation   string `cbor:"incarnation" json:"incarnation"` // new at each start
	Roles         []Role `cbor:"roles" json:"roles"`
	PeerAddress   string `cbor:"peer_address" json:"peer_address"` // host:port
	CallerAddress string `cbor:"caller_address" json:"caller_address"`
	Region        string `cbor:"region" json:"region"`
	FailureDomain string `cbor:"failure_domain" json:"failure_domain"`
	// Replaced is set by the control group: this process was registered in place
	// of another one that had not left.
	Replaced bool `cbor:"replaced,omitempty" json:"replaced,omitempty"`
}

// Heartbeat keeps a daemon's session with a control replica and asks it to
// confirm the daemon's revision.
type Heartbeat struct {
	Daemon   Daemon `cbor:"daemon"`
	Revision uint64 `cbor:"revision"` // last applied
	Leaving  bool   `cbor:"leaving"`
	Sequence uint64 `cbor:"sequence"` // grows by one with each heartbeat of one start of the daemon
}

// HeartbeatReply confirms a revision. A daemon whose applied revision is at
// least Revision was up to date Age before the reply was sent. Age is counted
// from the sending of the replica's last question that the leader answered, so
// that the transit time of the answer is included.
type HeartbeatReply struct {
	Sequence  uint64        `cbor:"sequence"`  // of the heartbeat
	Confirmed bool          `cbor:"confirmed"` // the replica was in contact with a leader
	Revision  uint64        `cbor:"revision"`  // committed as far as the replica knows
	Age       time.Duration `cbor:"age"`       // since the replica's contact with the leader
}

// HeartbeatAck tells the replica, right after the daemon was confirmed, what the
// daemon knows. Without it the replica would learn this a heartbeat later, when
// it is too old to decide on a lapsed pool lease.
type HeartbeatAck struct {
	DaemonID string        `cbor:"daemon_id"`
	Sequence uint64        `cbor:"sequence"` // of the last reply that was received
	Revision uint64        `cbor:"revision"` // last applied
	Age      time.Duration `cbor:"age"`      // since the daemon's last confirmation
	Run      time.Duration `cbor:"run"`      // time for which it has been confirmed without interruption
}

// Watch asks a control replica to push every change after revision From.
type Watch struct {
	From uint64 `cbor:"from"`
}

// Propose carries a command to the control group. The same CommandID gets the
// first answer again.
type Propose struct {
	CommandID string     `cbor:"command_id"`
	Command   RawMessage `cbor:"command"` // an encoded brstate command
}

// ProposeReply answers Propose once the command is committed and applied.
type ProposeReply struct {
	Revision uint64         `cbor:"revision"`
	Result   RawMessage     `cbor:"result,omitempty"`
	Error    *brerror.Error `cbor:"error,omitempty"`
}

// ConfirmedQuery asks another daemon whether it is confirmed at present.
type ConfirmedQuery struct {
	DaemonID string `cbor:"daemon_id"`
}

// ConfirmedReply answers ConfirmedQuery.
type ConfirmedReply struct {
	Confirmed bool   `cbor:"confirmed"`
	Revision  uint64 `cbor:"revision"`
	Ready     bool   `cbor:"ready"` // confirmed at least once since its start; otherwise the answer doesn't count
}

// Samples reports what a scheduler saw of one rollout on one route and version
// during one period.
type Samples struct {
	RolloutID   string        `cbor:"rollout_id"`
	Pool        string        `cbor:"pool"`
	Route       string        `cbor:"route"`
	Version     string        `cbor:"version"`
	Period      time.Duration `cbor:"period"`
	Requests    int           `cbor:"requests"` // ended in the period
	Errors      int           `cbor:"errors"`
	SlowFirst   int           `cbor:"slow_first"`  // first token over the route's target
	SlowTokens  int           `cbor:"slow_tokens"` // mean time between tokens over the route's target
	Outstanding int           `cbor:"outstanding"` // tokens, at the end of the period
	Tripped     bool          `cbor:"tripped"`     // the scheduler's breaker stopped the version
}

// Names of the messages by which daemons learn of changes and hand samples on.
const (
	NameFetch = "fetch" // call between daemons: the view or the changes after a revision
	NameTrip  = "trip"
)

// Trip tells the control leader that a scheduler's breaker stopped a version on
// one route, or on all when Route is empty.
type Trip struct {
	RolloutID string `cbor:"rollout_id"`
	Pool      string `cbor:"pool"`
	Version   string `cbor:"version"`
	Route     string `cbor:"route"`
	Reason    string `cbor:"reason"`
}
