package brwire

import (
	"bramleyroute/brerror"
	"time"
)

// Names of the messages between daemons and control replicas and of ConfirmedQuery.
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

// Role is a function that a daemon performs.
type Role string

// The roles.
const (
	RoleEntry     Role = "entry"
	RoleScheduler Role = "scheduler"
	RoleControl   Role = "control"
)

// Daemon describes one daemon process.
type Daemon struct {
	ID            string `cbor:"id" json:"id"`
	Incarnation   string `cbor:"incarnation" json:"incarnation"` // distinct for each start
	Roles         []Role `cbor:"roles" json:"roles"`
	PeerAddress   string `cbor:"peer_address" json:"peer_address"` // host:port
	CallerAddress string `cbor:"caller_address" json:"caller_address"`
	Region        string `cbor:"region" json:"region"`
	FailureDomain string `cbor:"failure_domain" json:"failure_domain"`
	// Replaced is set by the control group if this process was registered in place
	// of another one that had not deregistered.
	Replaced bool `cbor:"replaced,omitempty" json:"replaced,omitempty"`
}

// Heartbeat maintains the session of a daemon with a control replica and requests
// confirmation of the daemon's revision.
type Heartbeat struct {
	Daemon   Daemon `cbor:"daemon"`
	Revision uint64 `cbor:"revision"` // last applied revision
	Leaving  bool   `cbor:"leaving"`
	Sequence uint64 `cbor:"sequence"` // incremented by one with each heartbeat of a process
}

// HeartbeatReply confirms a revision. A daemon that has applied at least Revision
// was up to date at the time Age before the reply was sent. Age is measured from the
// time the replica sent the last request to which the leader replied, so that it
// includes the transit time of the reply.
type HeartbeatReply struct {
	Sequence  uint64        `cbor:"sequence"`  // sequence number of the heartbeat
	Confirmed bool          `cbor:"confirmed"` // the replica was in contact with a leader
	Revision  uint64        `cbor:"revision"`  // last revision known to the replica to be committed
	Age       time.Duration `cbor:"age"`       // since the replica's contact with the leader
}

// HeartbeatAck reports the daemon's confirmation to the replica immediately after the
// daemon received the reply. The next heartbeat would report it too late: the
// confirmation would be too old for granting a lapsed pool lease.
type HeartbeatAck struct {
	DaemonID     string        `cbor:"daemon_id"`
	Sequence     uint64        `cbor:"sequence"` // sequence number of the last reply received
	Revision     uint64        `cbor:"revision"` // last applied revision
	Age          time.Duration `cbor:"age"`      // since the daemon's last confirmation
	ConfirmedFor time.Duration `cbor:"run"`      // time for which the daemon has been confirmed without interruption
}

// Watch requests that a control replica push every change after revision From.
type Watch struct {
	From uint64 `cbor:"from"`
}

// Propose sends a command to the control group. A command with the same CommandID as
// an earlier one is not applied and gets the first reply again.
type Propose struct {
	CommandID string     `cbor:"command_id"`
	Command   RawMessage `cbor:"command"` // an encoded brstate command
}

// ProposeReply is the reply to Propose, sent after the command was committed and
// applied.
type ProposeReply struct {
	Revision uint64         `cbor:"revision"`
	Result   RawMessage     `cbor:"result,omitempty"`
	Error    *brerror.Error `cbor:"error,omitempty"`
}

// ConfirmedQuery asks another daemon whether it is currently confirmed.
type ConfirmedQuery struct {
	DaemonID string `cbor:"daemon_id"`
}

// ConfirmedReply is the reply to ConfirmedQuery.
type ConfirmedReply struct {
	Confirmed bool   `cbor:"confirmed"`
	Revision  uint64 `cbor:"revision"`
	Ready     bool   `cbor:"ready"` // confirmed at least once since its start; otherwise the reply must be ignored
}

// Samples reports a scheduler's measurements of one version of a rollout on one route
// during one period.
type Samples struct {
	RolloutID   string        `cbor:"rollout_id"`
	Pool        string        `cbor:"pool"`
	Route       string        `cbor:"route"`
	Version     string        `cbor:"version"`
	Period      time.Duration `cbor:"period"`
	Requests    int           `cbor:"requests"` // requests that ended in the period
	Errors      int           `cbor:"errors"`
	SlowFirst   int           `cbor:"slow_first"`  // requests whose first token exceeded the route's target
	SlowTokens  int           `cbor:"slow_tokens"` // requests whose mean time between tokens exceeded the route's target
	Outstanding int           `cbor:"outstanding"` // tokens outstanding at the end of the period
	Tripped     bool          `cbor:"tripped"`     // the scheduler's breaker stopped the version
}

// Names of the messages that distribute changes between daemons and report tripped
// breakers.
const (
	NameFetch = "fetch" // call between daemons for the view or the changes after a revision
	NameTrip  = "trip"
)

// Trip informs the control leader that a scheduler's breaker stopped a version on one
// route, or on all routes if Route is empty.
type Trip struct {
	RolloutID string `cbor:"rollout_id"`
	Pool      string `cbor:"pool"`
	Version   string `cbor:"version"`
	Route     string `cbor:"route"`
	Reason    string `cbor:"reason"`
}
