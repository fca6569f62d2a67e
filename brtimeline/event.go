package brtimeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of an event. The zero Kind is invalid.
type Kind uint8

// Event kinds. Their texts are in kindNames.
const (
	RequestReceived Kind = iota + 1
	RequestQueued
	RequestGranted
	RequestShed
	RequestRefused
	DispatchBegun
	DispatchNotRun
	FirstToken
	StreamResumed
	StreamStuck
	RequestEnded
	RequestCanceled
	LedgerBegun
	LedgerFinished
	LedgerReleased
	EndpointAnnounced
	EndpointLeaving
	EndpointLost
	EndpointHalfOpen
	EndpointRestored
	QuarantineBegun
	QuarantineEnded
	OrderSent
	OrderResponded
	OrderPlanned
	LeaseGranted
	LeaseRenewed
	LeaseExtended
	LeaseLost
	LeaseReleased
	PoolRecovered
	LeaderElected
	LeaderLost
	MemberAdded
	MemberRemoved
	CommandProposed
	CommandCommitted
	CommandRefused
	ConfigurationApplied
	ConfirmationLost
	ConfirmationRegained
	RolloutStarted
	RolloutShare
	RolloutNote
	RolloutTripped
	RolloutEnded
	PeerConnected
	PeerLost
	ProcessStarted
	ProcessFrozen
	ShutdownBegun
	ShutdownEnded
	EventsDropped
	kindCount
)

var kindNames = [kindCount]string{
	RequestReceived: "request_received", RequestQueued: "request_queued", RequestGranted: "request_granted",
	RequestShed: "request_shed", RequestRefused: "request_refused", DispatchBegun: "dispatch_begun",
	DispatchNotRun: "dispatch_not_run", FirstToken: "first_token", StreamResumed: "stream_resumed",
	StreamStuck: "stream_stuck", RequestEnded: "request_ended", RequestCanceled: "request_canceled",
	LedgerBegun: "ledger_begun", LedgerFinished: "ledger_finished", LedgerReleased: "ledger_released",
	EndpointAnnounced: "endpoint_announced", EndpointLeaving: "endpoint_leaving", EndpointLost: "endpoint_lost",
	EndpointHalfOpen: "endpoint_half_open", EndpointRestored: "endpoint_restored",
	QuarantineBegun: "quarantine_begun", QuarantineEnded: "quarantine_ended", OrderSent: "order_sent",
	OrderResponded: "order_answered", OrderPlanned: "order_planned", LeaseGranted: "lease_granted",
	LeaseRenewed: "lease_renewed", LeaseExtended: "lease_extended", LeaseLost: "lease_lost",
	LeaseReleased: "lease_released", PoolRecovered: "pool_recovered", LeaderElected: "leader_elected",
	LeaderLost: "leader_lost", MemberAdded: "member_added", MemberRemoved: "member_removed",
	CommandProposed: "command_proposed", CommandCommitted: "command_committed", CommandRefused: "command_refused",
	ConfigurationApplied: "configuration_applied", ConfirmationLost: "confirmation_lost",
	ConfirmationRegained: "confirmation_regained", RolloutStarted: "rollout_started", RolloutShare: "rollout_share",
	RolloutNote: "rollout_note", RolloutTripped: "rollout_tripped", RolloutEnded: "rollout_ended",
	PeerConnected: "peer_connected", PeerLost: "peer_lost", ProcessStarted: "process_started",
	ProcessFrozen: "process_frozen", ShutdownBegun: "shutdown_begun", ShutdownEnded: "shutdown_ended",
	EventsDropped: "events_dropped",
}

// Kinds returns all valid kinds, in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := Kind(1); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the snake case name of k, or "kind_N" with the number N of an
// invalid k.
func (k Kind) String() string {
	if k == 0 || k >= kindCount {
		return fmt.Sprintf("kind_%d", uint8(k))
	}
	return kindNames[k]
}

// MarshalText returns the snake case name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its snake case name. It returns an error if no kind has
// that name.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[1:], string(text))
	if i < 0 {
		return fmt.Errorf("brtimeline: unknown event kind %q", text)
	}
	*k = Kind(i + 1)
	return nil
}

// MaxTextBytes is the maximum length of Event.Reason and Event.Detail in bytes. Record
// truncates longer texts.
const MaxTextBytes = 256

// Event is an event in one process. Fields that don't apply to the kind are zero.
type Event struct {
	Stamp      Stamp  `json:"stamp" cbor:"stamp"`
	Process    string `json:"process" cbor:"process"` // daemon ID
	Kind       Kind   `json:"kind" cbor:"kind"`
	RequestID  string `json:"request_id,omitempty" cbor:"request_id,omitempty"`
	CommandID  string `json:"command_id,omitempty" cbor:"command_id,omitempty"`
	EndpointID string `json:"endpoint_id,omitempty" cbor:"endpoint_id,omitempty"`
	Pool       string `json:"pool,omitempty" cbor:"pool,omitempty"`
	RolloutID  string `json:"rollout_id,omitempty" cbor:"rollout_id,omitempty"`
	Tier       int    `json:"tier,omitempty" cbor:"tier,omitempty"`
	Customer   string `json:"customer,omitempty" cbor:"customer,omitempty"`
	Route      string `json:"route,omitempty" cbor:"route,omitempty"`
	Version    string `json:"version,omitempty" cbor:"version,omitempty"`
	Peer       string `json:"peer,omitempty" cbor:"peer,omitempty"`             // ID of the other daemon or replica
	ErrorKind  string `json:"error_kind,omitempty" cbor:"error_kind,omitempty"` // name of a brerror.Kind
	Epoch      uint64 `json:"epoch,omitempty" cbor:"epoch,omitempty"`           // epoch of a lease, or term of a leader
	Revision   uint64 `json:"revision,omitempty" cbor:"revision,omitempty"`
	Tokens     int    `json:"tokens,omitempty" cbor:"tokens,omitempty"`
	PerMille   int    `json:"per_mille,omitempty" cbor:"per_mille,omitempty"` // share of the new version in a rollout
	ElapsedUS  int64  `json:"elapsed_us,omitempty" cbor:"elapsed_us,omitempty"`
	Reason     string `json:"reason,omitempty" cbor:"reason,omitempty"`
	Detail     string `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// Compare compares e and o by stamp and, if the stamps are equal, by process. It
// returns -1, 0 or 1.
func (e Event) Compare(o Event) int {
	return cmp.Or(e.Stamp.Compare(o.Stamp), cmp.Compare(e.Process, o.Process))
}

// Filter selects the events that match all of its fields. A zero field matches every
// event.
type Filter struct {
	RequestID  string    `json:"request_id,omitempty" cbor:"request_id,omitempty"`
	CommandID  string    `json:"command_id,omitempty" cbor:"command_id,omitempty"`
	EndpointID string    `json:"endpoint_id,omitempty" cbor:"endpoint_id,omitempty"`
	RolloutID  string    `json:"rollout_id,omitempty" cbor:"rollout_id,omitempty"`
	From       time.Time `json:"from,omitzero" cbor:"from"` // inclusive
	To         time.Time `json:"to,omitzero" cbor:"to"`     // exclusive
}

// Match reports whether f selects e.
func (f Filter) Match(e Event) bool {
	matches := func(want, got string) bool { return want == "" || want == got }
	return matches(f.RequestID, e.RequestID) && matches(f.CommandID, e.CommandID) &&
		matches(f.EndpointID, e.EndpointID) && matches(f.RolloutID, e.RolloutID) &&
		(f.From.IsZero() || e.Stamp.Wall >= f.From.UnixNano()) &&
		(f.To.IsZero() || e.Stamp.Wall < f.To.UnixNano())
}

// Select returns the events that f selects, in the given order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge returns the events of all lists in the order of Event.Compare. It removes
// duplicates, because the same event can come from memory and from a file.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, Event.Compare)
	return slices.Compact(all)
}
