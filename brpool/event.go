package brpool

import (
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brwire"
)

// Event is an input of Step. The set is closed.
type Event interface{ event() }

// Submit is an entry's request for a grant.
type Submit struct {
	EntryID string
	Submit  brwire.Submit
}

// Withdraw is an entry's notice that it will not dispatch a request.
type Withdraw struct {
	EntryID  string
	Withdraw brwire.Withdraw
}

// Started is an entry's notice that a dispatch passed the boundary.
type Started struct {
	EntryID string
	Started brwire.Started
}

// FirstToken is an entry's notice of the first token of an answer.
type FirstToken struct {
	EntryID    string
	FirstToken brwire.FirstToken
}

// Done is an entry's notice that a granted request ended.
type Done struct {
	EntryID string
	Done    brwire.Done
}

// Report is an endpoint's announcement, forwarded by any daemon. It is accepted
// at any time, also before the first takeover.
type Report struct{ Announce brwire.Announce }

// Load keeps new work from an endpoint until it has loaded a version, or for a
// time; see brroute.Table.Load. A For of 0 ends the wait.
type Load struct {
	EndpointID string        `cbor:"endpoint_id"`
	Version    string        `cbor:"version"`
	For        time.Duration `cbor:"for"`
}

// Takeover starts the ownership of the pool under a lease's epoch. Nothing is
// granted until every entry of Entries has reported (Recovered) or 2 s have
// passed. Takeover clears the queue and the bindings of an earlier ownership and
// keeps the endpoint table and what was learned.
type Takeover struct {
	Epoch   uint64
	Entries []string // ids of the registered entries that may hold requests of the pool
}

// Recovered is an entry's answer to SendJoin.
type Recovered struct{ Recover brwire.Recover }

// EntryAway tells that the connection of an entry ended. Its queued requests are
// not granted any more; ids that callers made stay bound to it for
// brwire.BindingHold, and other entries submit them again until then.
type EntryAway struct{ EntryID string }

// EntryLost tells that the link to an entry ended. Its queued requests are
// dropped; what it was granted stays bound.
type EntryLost struct{ EntryID string }

// EntryJoined tells that an entry connected or registered. The pool answers
// with SendJoin, and the entry's Recover tells what it holds.
type EntryJoined struct{ EntryID string }

// Release starts a planned handover: nothing more is granted, and Released
// follows when no grant is in flight.
type Release struct{}

// LeaseEnded ends the ownership. Submits are refused with not_owner until the
// next Takeover.
type LeaseEnded struct{}

// SetLimits replaces the pool's limits and the customers' weights.
type SetLimits struct {
	Model   brconfig.Model
	Weights map[string]int // by customer; 1 where missing or below 1
}

// SetRollouts replaces the pool's rollouts. A request belongs to the first
// rollout that names its customer. A request of no rollout goes to any version
// that isn't the New of a rollout below 1,000 per mille.
type SetRollouts struct{ Rollouts []Rollout }

// Rollout moves traffic of some customers from one version to another.
type Rollout struct {
	ID        string
	Old, New  string
	PerMille  int      // share of New in the grants, 0 to 1,000
	Excluded  []string // routes that get nothing of New
	Customers []string // empty for all
	Targets   []Target
}

// Target holds what counts as slow on a route. Zero durations count nothing.
type Target struct {
	Route      string
	FirstToken time.Duration
	Token      time.Duration // mean time between tokens
}

// Locate asks where a request was dispatched. Ref is returned in SendLocated.
type Locate struct {
	Ref    uint64
	Locate brwire.Locate
}

// Tick advances time. It is due every TickInterval, also when nothing happens.
type Tick struct{}

func (Submit) event()      {}
func (Withdraw) event()    {}
func (Started) event()     {}
func (FirstToken) event()  {}
func (Done) event()        {}
func (Report) event()      {}
func (Takeover) event()    {}
func (Recovered) event()   {}
func (EntryAway) event()   {}
func (EntryLost) event()   {}
func (EntryJoined) event() {}
func (Release) event()     {}
func (LeaseEnded) event()  {}
func (SetLimits) event()   {}
func (Load) event()        {}
func (SetRollouts) event() {}
func (Locate) event()      {}
func (Tick) event()        {}
