package brpool

import (
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brwire"
)

// Event is an input of Step. The set of events is closed.
type Event interface{ event() }

// Submit is a request for a grant from an entry.
type Submit struct {
	EntryID string
	Submit  brwire.Submit
}

// Withdraw reports that an entry will not dispatch a request.
type Withdraw struct {
	EntryID  string
	Withdraw brwire.Withdraw
}

// Started reports that an entry dispatched a request. From then on the request may
// have run.
type Started struct {
	EntryID string
	Started brwire.Started
}

// PathLost reports that an entry may have lost its path to the endpoint of a request.
type PathLost struct {
	EntryID  string
	PathLost brwire.PathLost
}

// FirstToken reports the first token of a response.
type FirstToken struct {
	EntryID    string
	FirstToken brwire.FirstToken
}

// Done reports the end of a granted request.
type Done struct {
	EntryID string
	Done    brwire.Done
}

// EndpointReport is an endpoint's announcement, forwarded by any daemon. It is
// accepted at any time, including before the first takeover.
type EndpointReport struct{ Announce brwire.Announce }

// SuspendForLoad suspends new grants to an endpoint until it has loaded a version or
// Duration has passed; see brroute.Table.SuspendForLoad. A Duration of 0 ends the
// suspension.
type SuspendForLoad struct {
	EndpointID string        `cbor:"endpoint_id"`
	Version    string        `cbor:"version"`
	Duration   time.Duration `cbor:"for"`
}

// Takeover starts the ownership of the pool under a lease's epoch. No request is
// granted until every entry in Entries has reported (Recovered) or 2 s have passed.
// Takeover clears the queue and the bindings of an earlier ownership. It keeps the
// endpoint table and the learned estimates.
type Takeover struct {
	Epoch   uint64
	Entries []string // IDs of the registered entries that may hold requests of the pool
}

// Recovered is an entry's reply to SendJoin.
type Recovered struct{ Reply brwire.JoinReply }

// EntryDisconnected reports that the connection of an entry ended. Its queued
// requests are no longer granted. IDs created by callers stay bound to the entry for
// brwire.BindingHold. Until then other entries' Submits of these IDs are refused and
// must be repeated.
type EntryDisconnected struct{ EntryID string }

// EntryLost reports that an entry has stayed disconnected for so long that it counts
// as lost. Its queued requests are dropped, and its granted requests stay bound.
type EntryLost struct{ EntryID string }

// EntryJoined reports that an entry connected or registered. The pool replies with
// SendJoin, and the entry's JoinReply lists the requests that it holds.
type EntryJoined struct{ EntryID string }

// Release starts a planned transfer of the pool: no further request is granted, and
// Released follows when no grant is in flight.
type Release struct{}

// LeaseEnded ends the ownership. Submits are refused with not_owner until the next
// Takeover.
type LeaseEnded struct{}

// SetLimits replaces the pool's limits and the customers' weights.
type SetLimits struct {
	Model   brconfig.Model
	Weights map[string]int // by customer; 1 if missing or below 1
}

// SetEvacuated replaces the failure domains whose endpoints get no new grant. Requests that
// run there go on.
type SetEvacuated struct{ Domains []string }

// SetRollouts replaces the pool's rollouts. A request belongs to the first rollout
// that includes its customer. A request without a rollout may be sent to any
// version except the New version of a rollout below 1,000 per mille.
type SetRollouts struct{ Rollouts []Rollout }

// Rollout shifts traffic of some customers from one version to another.
type Rollout struct {
	ID        string
	Old, New  string
	PerMille  int      // share of New in the grants, 0 to 1,000
	Excluded  []string // routes that get no requests of New
	Customers []string // affected customers; empty for all
	Targets   []Target
}

// Target is the latency target of a route. A zero duration sets no target.
type Target struct {
	Route      string
	FirstToken time.Duration
	Token      time.Duration // mean time between tokens
}

// Locate asks for the endpoint of a request. Ref is returned in SendLocated.
type Locate struct {
	Ref    uint64
	Locate brwire.Locate
}

// Tick advances time. It must be passed every TickInterval, even when there are no
// other events.
type Tick struct{}

func (Submit) event()            {}
func (Withdraw) event()          {}
func (Started) event()           {}
func (PathLost) event()          {}
func (FirstToken) event()        {}
func (Done) event()              {}
func (EndpointReport) event()    {}
func (Takeover) event()          {}
func (Recovered) event()         {}
func (EntryDisconnected) event() {}
func (EntryLost) event()         {}
func (EntryJoined) event()       {}
func (Release) event()           {}
func (LeaseEnded) event()        {}
func (SetLimits) event()         {}
func (SetEvacuated) event()      {}
func (SuspendForLoad) event()    {}
func (SetRollouts) event()       {}
func (Locate) event()            {}
func (Tick) event()              {}
