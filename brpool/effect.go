package brpool

import (
	"time"

	"bramleyroute/brquarantine"
	"bramleyroute/brwire"
)

// Effect is an output of Step. The set of effects is closed.
type Effect interface{ effect() }

// SendGrant sends a grant to an entry.
type SendGrant struct {
	EntryID string
	Grant   brwire.Grant
}

// SendBound informs an entry that the ID of a queued request is bound to it.
type SendBound struct {
	EntryID string
	Bound   brwire.IDBound
}

// SendRefuse rejects a submitted request without a grant.
type SendRefuse struct {
	EntryID string
	Refuse  brwire.Refuse
}

// SendJoin asks an entry to join the pool's epoch and to reply with JoinReply.
type SendJoin struct {
	EntryID string
	Join    brwire.Join
}

// SendLocated is the reply to the Locate event with the same Ref.
type SendLocated struct {
	Ref     uint64
	Located brwire.LocateReply
}

// ReportSamples sends the samples of the last period to the control leader.
type ReportSamples struct{ Samples []brwire.Samples }

// VersionStopped reports that the pool's breaker stopped a version on one route, or
// on all routes if Route is empty.
type VersionStopped struct {
	RolloutID string
	Version   string
	Route     string
	Reason    string
}

// Released reports that no grant of Epoch is in flight after a Release. The lease
// may be returned.
type Released struct{ Epoch uint64 }

// NoteRecovery is a timeline note: the pool grants requests again after a takeover.
// UnrecordedBefore is the creation time before which an ID may have run without
// being recorded. It is zero when every entry reported.
type NoteRecovery struct {
	Epoch            uint64
	Missing          []string
	UnrecordedBefore time.Time
}

// NoteShed is a timeline note: requests of one tier were shed.
type NoteShed struct {
	Tier   int
	Count  int
	Reason string
}

// NoteEndpoint is a timeline note: an endpoint changed its state.
type NoteEndpoint struct {
	EndpointID string
	State      string // "joined", "half_open", "closed", "leaving", "silent" or "removed"
	Reason     string
}

// NoteGrantOverdue is a timeline note: a grant was neither started nor returned
// well after its window. The request stays bound to the entry.
type NoteGrantOverdue struct {
	RequestID string
	EntryID   string
}

// NoteQuarantine is a timeline note: a request or a prefix block of prompts is
// quarantined, or no longer is, because endpoints were lost under it.
type NoteQuarantine struct {
	Subject     brquarantine.Subject
	Quarantined bool
	Lost        []string // endpoints and their incarnations
}

func (SendGrant) effect()        {}
func (SendBound) effect()        {}
func (SendRefuse) effect()       {}
func (SendJoin) effect()         {}
func (SendLocated) effect()      {}
func (ReportSamples) effect()    {}
func (VersionStopped) effect()   {}
func (Released) effect()         {}
func (NoteRecovery) effect()     {}
func (NoteShed) effect()         {}
func (NoteEndpoint) effect()     {}
func (NoteGrantOverdue) effect() {}
func (NoteQuarantine) effect()   {}
