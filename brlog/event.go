package brlog

import "fmt"

// Event is one of Tick, Receive, Propose, Synced, SnapshotSaved, ChangeMember,
// Transfer and ClockJumped.
type Event interface{ event() }

// Tick lets time pass. It comes at least every tenth of the election timeout.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct{ Message Message }

// Propose asks to append entries. The answer is Accepted or Refused.
type Propose struct{ Data [][]byte }

// Synced reports that the write Seq and all before it are durable.
type Synced struct{ Seq uint64 }

// SnapshotSaved reports that a snapshot is durable, after TakeSnapshot or
// SaveSnapshot.
type SnapshotSaved struct{ Snapshot Snapshot }

// ChangeMember asks for one membership change. The answer is Accepted or
// Refused. A learner that has caught up is promoted without being asked for.
type ChangeMember struct {
	Add    Member // as a learner, if its ID is set
	Remove ID     // otherwise
}

// Transfer asks the leader to hand over to another voter: To, or if that is
// empty the one that is least behind.
type Transfer struct{ To ID }

// ClockJumped reports that the clock may have stood still or jumped.
type ClockJumped struct{}

func (Tick) event()          {}
func (Receive) event()       {}
func (Propose) event()       {}
func (Synced) event()        {}
func (SnapshotSaved) event() {}
func (ChangeMember) event()  {}
func (Transfer) event()      {}
func (ClockJumped) event()   {}

// Effect is one of Write, Send, Apply, TakeSnapshot, SaveSnapshot, Restore,
// Compact, Accepted, Refused, LeaderChanged and Halt. Effects are carried out
// in their order.
type Effect interface{ effect() }

// Write asks to make the hard state and entries durable with one sync; writes
// that wait for the same sync may share it. The first entry replaces whatever
// the log held at its index and after it. The runtime answers with Synced.
type Write struct {
	Seq       uint64
	HardState HardState
	Reset     uint64 // if set, drop all older entries; the next one is Reset+1
	Entries   []Entry
}

// Send asks to send a message. It may be lost.
type Send struct {
	Address string // empty when the member's address isn't known
	Message Message
}

// Apply hands committed entries to the state machine, each exactly once after
// a start from the snapshot.
type Apply struct{ Entries []Entry }

// TakeSnapshot asks for a snapshot of the state after entry Index, which is the
// last one applied so far. The runtime saves it and answers with SnapshotSaved.
type TakeSnapshot struct {
	Index, Term uint64
	Membership  Membership
}

// SaveSnapshot asks to save a received snapshot; the answer is SnapshotSaved.
// On the disk no snapshot ever replaces a newer one: an own snapshot may be
// asked for before a received one and be saved after it.
type SaveSnapshot struct{ Snapshot Snapshot }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot Snapshot }

// Compact says that the entries before Index are no longer needed.
type Compact struct{ Index uint64 }

// Accepted answers Propose and ChangeMember: the entries First to First+Count-1
// were appended in Term. They are committed if Apply brings them with that term.
type Accepted struct{ First, Term, Count uint64 }

// Refused answers Propose, ChangeMember and Transfer. Nothing was appended.
type Refused struct {
	Reason        Reason
	Leader        ID // empty when it isn't known
	LeaderAddress string
}

// LeaderChanged reports the leader that this replica follows.
type LeaderChanged struct {
	Term    uint64
	Leader  ID // empty when it isn't known
	Address string
	Self    bool
}

// Halt reports that this replica must not go on; it ignores all later events.
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

// Reason says why an event was refused.
type Reason uint8

// The reasons.
const (
	NotLeader    Reason = iota + 1 // ask the leader
	Busy                           // a change, a transfer or too many proposals are pending: try again
	Invalid                        // the change makes no sense for the present membership
	NoMajority                     // the change would leave no majority of live voters
	AlreadyThere                   // the membership is already as asked for
)

// String returns the reason in words.
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
	case AlreadyThere:
		return "already there"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}
