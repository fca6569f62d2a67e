package brtimeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind is one of the closed list of event kinds. The zero Kind is not valid.
type Kind uint8

// The event kinds.
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
	OrderSent
	OrderAnswered
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
	EndpointHalfOpen: "endpoint_half_open", EndpointRestored: "endpoint_restored", OrderSent: "order_sent",
	OrderAnswered: "order_answered", OrderPlanned: "order_planned", LeaseGranted: "lease_granted",
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

// Kinds returns every kind, in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := Kind(1); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the snake case name of k.
func (k Kind) String() string {
	if k == 0 || k >= kindCount {
		return fmt.Sprintf("kind_%d", uint8(k))
	}
	return kindNames[k]
}

// MarshalText returns the snake case name of k.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets k from its snake case name.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[1:], string(text))
	if i < 0 {
		return fmt.Errorf("brtimeline: unknown event kind %q", text)
	}
	*k = Kind(i + 1)
	return nil
}

// MaxText is the largest length of Event.Reason and Event.Detail in bytes;
// Record cuts longer ones off.
const MaxText = 256

// Event is something that happened in one process. Fields that don't apply to
// the kind are empty.
type Event struct {
	Stamp      Stamp  `json:"stamp" cbor:"stamp"`
	Process    string `json:"process" cbor:"process"` // daemon id
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
	Peer       string `json:"peer,omitempty" cbor:"peer,omitempty"`             // the other daemon or replica
	ErrorKind  string `json:"error_kind,omitempty" cbor:"error_kind,omitempty"` // name of a brerror.Kind
	Epoch      uint64 `json:"epoch,omitempty" cbor:"epoch,omitempty"`           // of a lease, or the term of a leader
	Revision   uint64 `json:"revision,omitempty" cbor:"revision,omitempty"`
	Tokens     int    `json:"tokens,omitempty" cbor:"tokens,omitempty"`
	PerMille   int    `json:"per_mille,omitempty" cbor:"per_mille,omitempty"` // share of a rollout
	ElapsedUS  int64  `json:"elapsed_us,omitempty" cbor:"elapsed_us,omitempty"`
	Reason     string `json:"reason,omitempty" cbor:"reason,omitempty"`
	Detail     string `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// Compare orders events by stamp and, for equal stamps, by process.
func (e Event) Compare(o Event) int {
	return cmp.Or(e.Stamp.Compare(o.Stamp), cmp.Compare(e.Process, o.Process))
}

// Filter selects events. Empty fields select everything; set ones must all
// match.
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

// Select returns the events that f selects, in their order.
func (f Filter) Select(events []Event) []Event {
	var kept []Event
	for _, e := range events {
		if f.Match(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// Merge returns the events of several processes in the order of their stamps,
// without duplicates, as the same event can come from memory and from a file.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, Event.Compare)
	return slices.Compact(all)
}
