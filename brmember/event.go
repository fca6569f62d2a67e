package brmember

import (
	"time"

	"bramleyroute/brlease"
	"bramleyroute/brwire"
)

// Event is an input of Daemon: Tick, ReplyReceived, Applied, Registered, Asked,
// AnswerReceived, LeaseGranted, LeaseRenewed or LeaseEnded.
type Event interface{ event() }

// Tick lets time pass; it comes at least each 100 ms.
type Tick struct{}

// ReplyReceived is the answer to a heartbeat.
type ReplyReceived struct{ Reply brwire.HeartbeatReply }

// Applied states the revision that the daemon serves.
type Applied struct{ Revision uint64 }

// Registered states the registered daemons, with this one.
type Registered struct{ DaemonIDs []string }

// Asked is the question of another daemon whether this one is confirmed.
type Asked struct{ From string }

// AnswerReceived is the answer of another daemon to an Ask.
type AnswerReceived struct {
	Round uint64
	From  string
	Reply brwire.ConfirmedReply
}

// LeaseGranted states that the daemon got a lease that it asked for at Sent.
type LeaseGranted struct {
	Lease brlease.Lease
	Sent  time.Time
}

// LeaseRenewed states that a renewal that was sent at Sent succeeded.
type LeaseRenewed struct {
	Lease brlease.Lease
	Sent  time.Time
}

// LeaseEnded states that a lease was released or that its renewal was refused.
type LeaseEnded struct{ Name string }

func (Tick) event()           {}
func (ReplyReceived) event()  {}
func (Applied) event()        {}
func (Registered) event()     {}
func (Asked) event()          {}
func (AnswerReceived) event() {}
func (LeaseGranted) event()   {}
func (LeaseRenewed) event()   {}
func (LeaseEnded) event()     {}

// Effect is an output of Daemon: SendHeartbeat, SendAck, Ask, Answer, Behind,
// LeasesExtended, LeasesEnded, Frozen or StandingChanged.
type Effect interface{ effect() }

// SendHeartbeat is to be sent to the daemon's replica at once.
type SendHeartbeat struct {
	Sequence uint64
	Revision uint64
}

// SendAck is to be sent to the daemon's replica at once.
type SendAck struct{ Ack brwire.HeartbeatAck }

// Ask is a question to other daemons whether they are confirmed. Answers are
// passed back with its round.
type Ask struct {
	Round uint64
	To    []string
}

// Answer is the answer to Asked.
type Answer struct {
	To    string
	Reply brwire.ConfirmedReply
}

// Behind states that a newer revision exists. It is to be fetched from the
// daemon From or, when that is empty, from the replica.
type Behind struct {
	From     string
	Revision uint64
}

// LeasesExtended states that leases were extended without the control group.
type LeasesExtended struct {
	Names []string
	Until time.Time
}

// LeasesEnded states that the daemon no longer holds leases.
type LeasesEnded struct{ Names []string }

// Frozen states that the process stood still and dropped its leases.
type Frozen struct {
	For     time.Duration
	Dropped []string
}

// StandingChanged states what the daemon may do from now on.
type StandingChanged struct{ Standing Standing }

func (SendHeartbeat) effect()   {}
func (SendAck) effect()         {}
func (Ask) effect()             {}
func (Answer) effect()          {}
func (Behind) effect()          {}
func (LeasesExtended) effect()  {}
func (LeasesEnded) effect()     {}
func (Frozen) effect()          {}
func (StandingChanged) effect() {}
