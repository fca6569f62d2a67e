package brlog

import "fmt"

// Event is one of Tick, Receive, Propose, Synced, SnapshotSaved, ChangeMember, YieldVote,
// Transfer and ClockJumped.
type Event interface{ event() }

// Tick triggers timers. It must occur at least once per tenth of the election
// timeout.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Propose requests that one entry per element of Data is appended. The resulting
// effects include Accepted or Refused.
type Propose struct{ Data [][]byte }

// Synced reports that the write with number Seq and all earlier writes are
// durable.
type Synced struct{ Seq uint64 }

// SnapshotSaved reports that a snapshot requested by TakeSnapshot or SaveSnapshot
// is durable.
type SnapshotSaved struct{ Snapshot Snapshot }

// ChangeMember requests one membership change. The resulting effects include
// Accepted or Refused. A learner that has caught up is promoted automatically.
type ChangeMember struct {
	Add    Member // member to add as a learner, if Add.ID is not empty
	Remove ID     // member to remove, if Add.ID is empty
}

// YieldVote requests that the voter ID becomes a learner, because its process is about to end.
// The leader first makes a learner that has caught up a voter, so that the number of voters is
// even only while ID is still alive, and then ID a learner. The request holds for
// Config.VoterTimeout and is repeated until the reply, a Refused effect, isn't Busy: it is
// ChangeAlreadyMade once ID is no voter, and Invalid if no learner could take the vote, or if
// ID is the leader, which transfers the leadership first. A learner that repeats the request
// until its process ends gets no vote while another voter is lost.
type YieldVote struct{ ID ID }

// Transfer requests that the leader transfers leadership to the voter To, or to
// the most up-to-date voter if To is empty.
type Transfer struct{ To ID }

// ClockJumped reports that the clock may have stopped or jumped.
type ClockJumped struct{}

func (Tick) event()          {}
func (Receive) event()       {}
func (Propose) event()       {}
func (Synced) event()        {}
func (SnapshotSaved) event() {}
func (ChangeMember) event()  {}
func (YieldVote) event()     {}
func (Transfer) event()      {}
func (ClockJumped) event()   {}

// Effect is one of Write, Send, Apply, TakeSnapshot, SaveSnapshot, Restore,
// Compact, Accepted, Refused, LeaderChanged and Halt. Effects must be executed in
// order.
type Effect interface{ effect() }

// Write requests that the hard state and entries are made durable. Several writes
// may share one sync. The first entry replaces all log entries at its index and
// after it. The runtime reports completion with a Synced event.
type Write struct {
	Seq       uint64
	HardState HardState
	Reset     uint64 // if not 0, drop all earlier entries; the next index is Reset+1
	Entries   []Entry
}

// Send requests that a message is sent. Messages may be lost.
type Send struct {
	Address string // empty if the address of the receiver is unknown
	Message Message
}

// Apply passes committed entries to the state machine. After a start from the
// snapshot, each entry is applied exactly once.
type Apply struct{ Entries []Entry }

// TakeSnapshot requests a snapshot of the state after the entry Index, which is
// the last applied entry. The runtime saves the snapshot and reports completion
// with a SnapshotSaved event.
type TakeSnapshot struct {
	Index, Term uint64
	Membership  Membership
}

// SaveSnapshot requests that a received snapshot is saved. The runtime reports
// completion with a SnapshotSaved event. It must not replace a newer snapshot on
// the disk by an older one: a local snapshot may be requested before a received
// one and saved after it.
type SaveSnapshot struct{ Snapshot Snapshot }

// Restore replaces the state of the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Compact reports that entries before Index are no longer needed.
type Compact struct{ Index uint64 }

// Accepted reports that a Propose or ChangeMember event appended the entries First
// to First+Count-1 in Term. They are committed when an Apply effect contains them
// with the same term.
type Accepted struct{ First, Term, Count uint64 }

// Refused reports that a Propose, ChangeMember, YieldVote or Transfer event was rejected.
// Nothing was appended.
type Refused struct {
	Reason        Reason
	Leader        ID // empty if unknown
	LeaderAddress string
}

// LeaderChanged reports a change of the term or of the leader.
type LeaderChanged struct {
	Term    uint64
	Leader  ID // empty if unknown
	Address string
	Self    bool
}

// Halt reports that this replica has stopped permanently. It ignores all later
// events.
type Halt struct{ Reason string }

func (Write) effect()         {}
func (Send) effect()          {}
func (Apply) effect()         {}
func (TakeSnapshot) effect()  {}
func (SaveSnapshot) effect()  {}
func (Restore) effect()       {}
func (Compact) effect()       {}
func (Accepted) effect()      {}
func (Refused) effect()       {}
func (LeaderChanged) effect() {}
func (Halt) effect()          {}

// Reason is the reason why an event was rejected.
type Reason uint8

// Reasons for rejecting an event.
const (
	NotLeader         Reason = iota + 1 // this replica is not the leader; send the request to the leader
	Busy                                // a membership change, a transfer or too many proposals are pending; retry later
	Invalid                             // the request is empty or invalid for the current membership
	NoMajority                          // the change would leave no majority of live voters, or there is no transfer target
	ChangeAlreadyMade                   // the membership already has the requested change
)

// String returns a description of the reason.
func (r Reason) String() string {
	switch r {
	case NotLeader:
		return "not the leader"
	case Busy:
		return "busy"
	case Invalid:
		return "invalid change"
	case NoMajority:
		return "no majority of live voters"
	case ChangeAlreadyMade:
		return "change already made"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}
