package brmember

import (
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// Event is an input of Daemon: Tick, ReplyReceived, Applied, Registered,
// QueryReceived, QueryReplyReceived, LeaseGranted, LeaseRenewed or LeaseEnded.
type Event interface{ event() }

// Tick advances the time. It must occur at least every 100 ms.
type Tick struct{}

// ReplyReceived reports the reply to a heartbeat.
type ReplyReceived struct{ Reply brwire.HeartbeatReply }

// Applied reports the configuration revision that the daemon has applied.
type Applied struct{ Revision uint64 }

// Registered reports the set of registered daemons, including this one.
type Registered struct{ DaemonIDs []string }

// QueryReceived reports a query of another daemon whether this one is confirmed.
type QueryReceived struct{ From string }

// QueryReplyReceived reports the reply of another daemon to the QueryPeers effect of
// the same round.
type QueryReplyReceived struct {
	Round uint64
	From  string
	Reply brwire.ConfirmedReply
}

// LeaseGranted reports that a lease requested at Sent was granted.
type LeaseGranted struct {
	Lease brlease.Lease
	Sent  time.Time
}

// LeaseRenewed reports that a renewal requested at Sent succeeded.
type LeaseRenewed struct {
	Lease brlease.Lease
	Sent  time.Time
}

// LeaseEnded reports that a lease was released or that its renewal was refused.
type LeaseEnded struct{ Name string }

func (Tick) event()               {}
func (ReplyReceived) event()      {}
func (Applied) event()            {}
func (Registered) event()         {}
func (QueryReceived) event()      {}
func (QueryReplyReceived) event() {}
func (LeaseGranted) event()       {}
func (LeaseRenewed) event()       {}
func (LeaseEnded) event()         {}

// Effect is an output of Daemon: SendHeartbeat, SendAck, QueryPeers, SendQueryReply,
// NewerRevisionFound, LeasesExtended, LeasesEnded, Frozen or StandingChanged.
type Effect interface{ effect() }

// SendHeartbeat requests that a heartbeat be sent to the daemon's control replica
// immediately.
type SendHeartbeat struct {
	Sequence uint64
	Revision uint64
}

// SendAck requests that an acknowledgement be sent to the daemon's control replica
// immediately.
type SendAck struct{ Ack brwire.HeartbeatAck }

// QueryPeers requests a query to other daemons whether they are confirmed. Their
// replies are passed to Step as QueryReplyReceived with the same round.
type QueryPeers struct {
	Round uint64
	To    []string
}

// SendQueryReply requests that Reply be sent to the daemon To in response to
// QueryReceived.
type SendQueryReply struct {
	To    string
	Reply brwire.ConfirmedReply
}

// NewerRevisionFound reports that a newer revision exists. It must be fetched from
// the daemon From or, if From is empty, from the control replica.
type NewerRevisionFound struct {
	From     string
	Revision uint64
}

// LeasesExtended reports that leases were extended without the control group.
type LeasesExtended struct {
	Names []string
	Until time.Time
}

// LeasesEnded reports leases that expired and were dropped.
type LeasesEnded struct{ Names []string }

// Frozen reports that the process was frozen for the given time and that its
// leases were dropped.
type Frozen struct {
	Duration time.Duration
	Dropped  []string
}

// StandingChanged reports a new state of the daemon.
type StandingChanged struct{ Standing Standing }

func (SendHeartbeat) effect()      {}
func (SendAck) effect()            {}
func (QueryPeers) effect()         {}
func (SendQueryReply) effect()     {}
func (NewerRevisionFound) effect() {}
func (LeasesExtended) effect()     {}
func (LeasesEnded) effect()        {}
func (Frozen) effect()             {}
func (StandingChanged) effect()    {}
