package broperator

import (
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// Paths of the operators' interface.
const (
	PathStatus       = "/v1/status"
	PathStatuses     = "/v1/statuses"
	PathConfig       = "/v1/config"
	PathConfigCheck  = "/v1/config/check"
	PathHistory      = "/v1/config/history"
	PathRollouts     = "/v1/rollouts"
	PathRolloutAbort = "/v1/rollouts/abort"
	PathMembers      = "/v1/members"
	PathMemberRemove = "/v1/members/remove"
	PathPools        = "/v1/pools"
	PathOrders       = "/v1/orders"
	PathDrain        = "/v1/drain"
	PathTimeline     = "/v1/timeline"
	PathReplicas     = "/v1/replicas"
)

// Status describes one daemon.
type Status struct {
	DaemonID      string        `json:"daemon_id"`
	Roles         []brwire.Role `json:"roles"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region"`
	Ready         bool          `json:"ready"`
	Draining      bool          `json:"draining"`
	Confirmation  string        `json:"confirmation"` // confirmed, unconfirmed or exempt
	Revision      uint64        `json:"revision"`
	ConfirmAgeMS  int64         `json:"confirm_age_ms"`
	Held          int           `json:"held"`    // requests that wait for a grant
	Running       int           `json:"running"` // dispatched requests in progress
	Replica       *Replica      `json:"replica,omitempty"`
	OwnedPools    []string      `json:"owned_pools"`
}

// StatusQuery selects daemons; an empty DaemonID selects all registered ones.
type StatusQuery struct {
	DaemonID string `json:"daemon_id,omitempty" cbor:"daemon_id"`
}

// Statuses are the states of the daemons that answered, sorted by id.
type Statuses struct {
	Daemons []Status `json:"daemons"`
	Missing []string `json:"missing"` // daemons that did not answer
}

// Replica describes the control replica of a daemon.
type Replica struct {
	ID        string   `json:"id"`
	Leader    string   `json:"leader"` // replica id, "" when unknown
	Term      uint64   `json:"term"`
	Committed uint64   `json:"committed"`
	Applied   uint64   `json:"applied"`
	Voters    []string `json:"voters"`
	Learners  []string `json:"learners"`
}

// Config is a configuration with its revision.
type Config struct {
	Revision uint64            `json:"revision"`
	Document brconfig.Document `json:"document"`
}

// PutConfig replaces the configuration when the present revision is the
// expected one. The same CommandID gets the first answer again.
type PutConfig struct {
	CommandID        string            `json:"command_id"`
	ExpectedRevision uint64            `json:"expected_revision"`
	Document         brconfig.Document `json:"document"`
}

// Accepted answers a command that was committed.
type Accepted struct {
	CommandID string `json:"command_id"`
	Revision  uint64 `json:"revision"`
}

// Problems answers a check of a configuration; an empty list is a pass.
type Problems struct {
	Problems []Problem `json:"problems"`
	Diff     []string  `json:"diff"` // lines of what would change
}

// Problem names a field of a configuration and what is wrong with it.
type Problem struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// HistoryEntry is one accepted configuration change.
type HistoryEntry struct {
	Revision  uint64    `json:"revision"`
	At        time.Time `json:"at"`
	CommandID string    `json:"command_id"`
	Diff      []string  `json:"diff"`
}

// StartRollout starts a version change.
type StartRollout struct {
	CommandID string    `json:"command_id"`
	Model     string    `json:"model"`
	From      string    `json:"from"`
	To        string    `json:"to"`
	FinishBy  time.Time `json:"finish_by"`
}

// AbortRollout takes a running rollout back.
type AbortRollout struct {
	CommandID string `json:"command_id"`
	RolloutID string `json:"rollout_id"`
}

// Rollout is the state of a version change.
type Rollout struct {
	ID            string    `json:"id"`
	Model         string    `json:"model"`
	From          string    `json:"from"`
	To            string    `json:"to"`
	FinishBy      time.Time `json:"finish_by"`
	SharePerMille int       `json:"share_per_mille"`
	Outcome       string    `json:"outcome"` // "" while it runs, "finished" or "taken_back"
	Reason        string    `json:"reason"`
	EndedAt       time.Time `json:"ended_at,omitzero"`
	Revision      uint64    `json:"revision"`
}

// Member is a registered daemon as the control group sees it.
type Member struct {
	Daemon   brwire.Daemon `json:"daemon"`
	State    string        `json:"state"` // confirmed, unconfirmed or unreachable, as seen from the daemon that was asked
	Revision uint64        `json:"revision"`
}

// Pool is a pool with its owner and, at the owner, its load.
type Pool struct {
	Name          string         `json:"name"`
	Owner         string         `json:"owner"`
	Epoch         uint64         `json:"epoch"`
	Reachable     bool           `json:"reachable"` // the owner answered; otherwise the rest is empty
	Queued        [5]int         `json:"queued"`    // by tier
	QueuedTokens  int            `json:"queued_tokens"`
	Running       int            `json:"running"`
	Outstanding   int            `json:"outstanding_tokens"`
	Completed     [5]int         `json:"completed"` // by tier, since the owner's start
	Goodput       [5]int         `json:"goodput"`
	Shed          [5]int         `json:"shed"`
	Refused       map[string]int `json:"refused"` // by error kind
	Prefilled     int            `json:"prefilled_tokens"`
	WastedPrefill map[string]int `json:"wasted_prefill_tokens"` // by cause
	Endpoints     []Endpoint     `json:"endpoints"`
}

// Endpoint is an endpoint as its pool's scheduler sees it.
type Endpoint struct {
	ID                string `json:"id"`
	Address           string `json:"address"`
	Version           string `json:"version"`
	FailureDomain     string `json:"failure_domain"`
	State             string `json:"state"`
	OutstandingTokens int    `json:"outstanding_tokens"`
	CapacityTokens    int    `json:"capacity_tokens"`
}

// RemoveMember takes a daemon off the register. The operator vouches that it is
// stopped for good: a majority of the remaining daemons may then decide, also when
// the majority of the former ones is lost.
type RemoveMember struct {
	CommandID string `json:"command_id"`
	DaemonID  string `json:"daemon_id"`
}

// Drain asks a daemon to finish what it holds and stop. An empty DaemonID means
// the daemon that is asked; it passes the request on to any other one.
type Drain struct {
	DaemonID string `json:"daemon_id,omitempty" cbor:"daemon_id"`
}

// ReplicaChange adds or removes a control replica.
type ReplicaChange struct {
	CommandID string `json:"command_id"`
	Add       string `json:"add,omitempty"`     // replica id
	Address   string `json:"address,omitempty"` // host:port of its daemon's peer listener, with Add
	Remove    string `json:"remove,omitempty"`  // replica id
}

// TimelineQuery selects events; empty fields select everything.
type TimelineQuery struct {
	brtimeline.Filter
	ThisDaemon bool `json:"this_daemon"` // don't ask the other daemons
	Files      bool `json:"files"`       // also what the daemons' files hold from before their starts
}

// Timeline is the merged timeline of the daemons that answered.
type Timeline struct {
	Events  []brtimeline.Event `json:"events"`
	Missing []string           `json:"missing"` // daemons that did not answer
	Cut     []string           `json:"cut"`     // daemons that have more events, older ones than those here
}

// Empty is the body of a call without one.
type Empty struct{}

// ErrorBody is the JSON body of a failed call.
type ErrorBody struct {
	Error *brerror.Error `json:"error"`
}
