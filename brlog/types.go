package brlog

import (
	"fmt"
	"slices"
	"strings"

	"bramleyroute/brwire"
)

// ID identifies a replica together with its disk. A replica that lost its disk
// rejoins under a new ID.
type ID string

// Member is one replica of the group.
type Member struct {
	ID      ID     `cbor:"id" json:"id"`
	Address string `cbor:"address" json:"address"` // host:port of the daemon's peer listener
	Learner bool   `cbor:"learner,omitempty" json:"learner,omitempty"`
	// Replaces is the ID of the member that is removed before this learner is
	// promoted. It may be empty.
	Replaces ID `cbor:"replaces,omitempty" json:"replaces,omitempty"`
}

// voter returns m as a voter, and learner as a learner.
func (m Member) voter() Member {
	m.Learner, m.Replaces = false, ""
	return m
}

func (m Member) learner() Member {
	m.Learner, m.Replaces = true, ""
	return m
}

// Membership lists the replicas of the group. It is immutable.
type Membership struct {
	Members []Member `cbor:"members" json:"members"`                     // sorted by ID
	Removed []ID     `cbor:"removed,omitempty" json:"removed,omitempty"` // sorted; these IDs can't be added again
}

// Find returns the member with the given ID and reports whether it exists.
func (m Membership) Find(id ID) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (m Membership) IsVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// IsRemoved reports whether id was removed from the group.
func (m Membership) IsRemoved(id ID) bool { return slices.Contains(m.Removed, id) }

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m.Members {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters in a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// With returns a copy of m with x added. A member with the same ID is replaced.
func (m Membership) With(x Member) Membership {
	members := append([]Member{}, m.Members...)
	members = slices.DeleteFunc(members, func(y Member) bool { return y.ID == x.ID })
	members = append(members, x)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return Membership{Members: members, Removed: m.Removed}
}

// Without returns a copy of m with id permanently removed.
func (m Membership) Without(id ID) Membership {
	members := slices.DeleteFunc(append([]Member{}, m.Members...), func(y Member) bool { return y.ID == id })
	removed := append([]ID{}, m.Removed...)
	if !slices.Contains(removed, id) {
		removed = append(removed, id)
		slices.Sort(removed)
	}
	return Membership{Members: members, Removed: removed}
}

// EntryKind is the kind of data in an entry.
type EntryKind uint8

// The entry kinds.
const (
	EntryData       EntryKind = iota + 1 // a proposal
	EntryNoop                            // the first entry of a term; has no data
	EntryMembership                      // an encoded Membership
)

// Entry is one element of the log.
type Entry struct {
	Index uint64    `cbor:"index"`
	Term  uint64    `cbor:"term"`
	Kind  EntryKind `cbor:"kind"`
	Data  []byte    `cbor:"data,omitempty"`
}

// HardState is the state that a replica persists in addition to its log.
type HardState struct {
	Term uint64 `cbor:"term"`
	Vote ID     `cbor:"vote"` // candidate voted for in Term; empty if none
}

// Snapshot is the encoded state after the entry at Index was applied.
type Snapshot struct {
	Index      uint64     `cbor:"index"`
	Term       uint64     `cbor:"term"`
	Membership Membership `cbor:"membership"`
	Data       []byte     `cbor:"data"`
}

// StoredState is the persistent state that a replica loads at startup. The indexes
// of Entries are consecutive and start at Snapshot.Index+1 or lower.
type StoredState struct {
	ID        ID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Empty reports whether s has no hard state, no entries and no snapshot.
func (s StoredState) Empty() bool {
	return s.HardState == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Bootstrap returns the initial persistent state of replica id in a new group.
// All replicas must be bootstrapped with the same members. Bootstrap panics if id
// is not a voter among them.
func Bootstrap(id ID, members []Member) StoredState {
	var m Membership
	for _, x := range members {
		m = m.With(x)
	}
	if !m.IsVoter(id) {
		panic("brlog: cannot bootstrap a replica that is not a voter: " + string(id))
	}
	return StoredState{
		ID:        id,
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: encodeMembership(m)}},
	}
}

func encodeMembership(m Membership) []byte {
	b, err := brwire.Encode(m)
	if err != nil {
		panic("brlog: encode membership: " + err.Error())
	}
	return b
}

func decodeMembership(e Entry) Membership {
	m, err := brwire.Decode[Membership](e.Data)
	if err != nil {
		panic(fmt.Sprintf("brlog: decode membership entry %d: %v", e.Index, err))
	}
	return m
}
