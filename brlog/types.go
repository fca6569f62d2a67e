package brlog

import (
	"fmt"
	"slices"
	"strings"

	"bramleyroute/brwire"
)

// ID names a replica. An ID belongs to one disk: a replica that lost its disk
// comes back under a new one.
type ID string

// Member is one replica of the group.
type Member struct {
	ID      ID     `cbor:"id" json:"id"`
	Address string `cbor:"address" json:"address"` // host:port of the daemon's peer listener
	Learner bool   `cbor:"learner,omitempty" json:"learner,omitempty"`
	// Replaces names the replica that is removed before this learner is
	// promoted, or is empty.
	Replaces ID `cbor:"replaces,omitempty" json:"replaces,omitempty"`
}

// Membership lists the replicas of the group. It is immutable.
type Membership struct {
	Members []Member `cbor:"members" json:"members"`                     // sorted by ID
	Removed []ID     `cbor:"removed,omitempty" json:"removed,omitempty"` // sorted; never added again
}

// Find returns the member id and whether there is one.
func (m Membership) Find(id ID) (Member, bool) {
	for _, x := range m.Members {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a member with a vote.
func (m Membership) IsVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// IsRemoved reports whether id was a member and was removed.
func (m Membership) IsRemoved(id ID) bool { return slices.Contains(m.Removed, id) }

// Voters returns the number of members with a vote.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m.Members {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// With returns a copy of m in which x is added or replaces the member of its id.
func (m Membership) With(x Member) Membership {
	members := append([]Member{}, m.Members...)
	members = slices.DeleteFunc(members, func(y Member) bool { return y.ID == x.ID })
	members = append(members, x)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return Membership{Members: members, Removed: m.Removed}
}

// Without returns a copy of m in which id is removed for good.
func (m Membership) Without(id ID) Membership {
	members := slices.DeleteFunc(append([]Member{}, m.Members...), func(y Member) bool { return y.ID == id })
	removed := append([]ID{}, m.Removed...)
	if !slices.Contains(removed, id) {
		removed = append(removed, id)
		slices.Sort(removed)
	}
	return Membership{Members: members, Removed: removed}
}

// EntryKind says what an entry's data is.
type EntryKind uint8

// The entry kinds.
const (
	EntryData       EntryKind = iota + 1 // a proposal
	EntryNoop                            // the first entry of a leader's term; no data
	EntryMembership                      // an encoded Membership
)

// Entry is one element of the log.
type Entry struct {
	Index uint64    `cbor:"index"`
	Term  uint64    `cbor:"term"`
	Kind  EntryKind `cbor:"kind"`
	Data  []byte    `cbor:"data,omitempty"`
}

// HardState is what a replica must not forget over a restart beside its log.
type HardState struct {
	Term uint64 `cbor:"term"`
	Vote ID     `cbor:"vote"` // in Term; empty when there was none
}

// Snapshot is the state after the entry Index was applied.
type Snapshot struct {
	Index      uint64     `cbor:"index"`
	Term       uint64     `cbor:"term"`
	Membership Membership `cbor:"membership"`
	Data       []byte     `cbor:"data"`
}

// Stored is what a replica finds on its disk at its start. Entries are
// consecutive and start at Snapshot.Index+1 or before it.
type Stored struct {
	ID        ID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Empty reports whether the disk held no term, no entry and no snapshot.
func (s Stored) Empty() bool {
	return s.HardState == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Bootstrap returns the first content of the disk of replica id in a new group.
// Every member of the group is bootstrapped with the same members. Bootstrap
// panics if id is not one of them.
func Bootstrap(id ID, members []Member) Stored {
	var m Membership
	for _, x := range members {
		m = m.With(x)
	}
	if !m.IsVoter(id) {
		panic("brlog: bootstrap of a replica that is not a voter: " + string(id))
	}
	return Stored{
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
		panic(fmt.Sprintf("brlog: membership entry %d: %v", e.Index, err))
	}
	return m
}
