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
	PathEvacuations  = "/v1/evacuations"
)

// Status describes the state of one daemon.
type Status struct {
	DaemonID          string        `json:"daemon_id"`
	Roles             []brwire.Role `json:"roles"`
	FailureDomain     string        `json:"failure_domain"`
	Region            string        `json:"region"`
	Ready             bool          `json:"ready"`
	Draining          bool          `json:"draining"`
	Confirmation      string        `json:"confirmation"` // confirmed, unconfirmed or exempt
	Revision          uint64        `json:"revision"`
	ConfirmationAgeMS int64         `json:"confirm_age_ms"`
	Held              int           `json:"held"`    // requests held by the entry, waiting or running
	Running           int           `json:"running"` // dispatched requests in progress
	Replica           *Replica      `json:"replica,omitempty"`
	OwnedPools        []string      `json:"owned_pools"`
}

// StatusQuery selects daemons. An empty DaemonID selects all registered ones.
type StatusQuery struct {
	DaemonID string `json:"daemon_id,omitempty" cbor:"daemon_id"`
}

// Statuses holds the states of the daemons that replied, sorted by ID.
type Statuses struct {
	Daemons []Status `json:"daemons"`
	Missing []string `json:"missing"` // daemons that did not reply
}

// Replica describes the control replica of a daemon.
type Replica struct {
	ID        string   `json:"id"`
	Leader    string   `json:"leader"` // replica ID, "" if unknown
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

// PutConfig replaces the configuration if its current revision is
// ExpectedRevision. A resend with the same CommandID gets the response to the
// first one.
type PutConfig struct {
	CommandID        string            `json:"command_id"`
	ExpectedRevision uint64            `json:"expected_revision"`
	Document         brconfig.Document `json:"document"`
}

// Accepted is the response to a command that was committed.
type Accepted struct {
	CommandID string `json:"command_id"`
	Revision  uint64 `json:"revision"`
}

// Problems is the result of a configuration check. An empty list means that the
// configuration is valid.
type Problems struct {
	Problems []Problem `json:"problems"`
	Diff     []string  `json:"diff"` // changes that the configuration would make, one per line
}

// Problem describes an error in a field of a configuration.
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

// StartRollout starts a rollout of a model from one version to another.
type StartRollout struct {
	CommandID string    `json:"command_id"`
	Model     string    `json:"model"`
	From      string    `json:"from"`
	To        string    `json:"to"`
	FinishBy  time.Time `json:"finish_by"`
}

// AbortRollout rolls back a running rollout.
type AbortRollout struct {
	CommandID string `json:"command_id"`
	RolloutID string `json:"rollout_id"`
}

// Rollout is the state of a rollout.
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

// Member is a registered daemon and its state as seen from the daemon that
// handles the call.
type Member struct {
	Daemon   brwire.Daemon `json:"daemon"`
	State    string        `json:"state"` // confirmed, unconfirmed or unreachable
	Revision uint64        `json:"revision"`
}

// Pool describes a pool with its owner and, if the owner replied, its load.
type Pool struct {
	Name          string         `json:"name"`
	Owner         string         `json:"owner"`
	Epoch         uint64         `json:"epoch"`
	Reachable     bool           `json:"reachable"` // the owner replied; otherwise the fields below are empty
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

// Endpoint describes an endpoint as seen from the scheduler of its pool.
type Endpoint struct {
	ID                string `json:"id"`
	Address           string `json:"address"`
	Version           string `json:"version"`
	FailureDomain     string `json:"failure_domain"`
	State             string `json:"state"`
	OutstandingTokens int    `json:"outstanding_tokens"`
	CapacityTokens    int    `json:"capacity_tokens"`
}

// RemoveMember removes a daemon from the register. The operator guarantees that
// the daemon has stopped permanently: a majority of the remaining daemons can
// then decide, even if the majority of the former set is lost.
type RemoveMember struct {
	CommandID string `json:"command_id"`
	DaemonID  string `json:"daemon_id"`
}

// Drain requests that a daemon finish its requests and stop. An empty DaemonID
// selects the daemon that handles the call; a call for another daemon is
// forwarded to it.
type Drain struct {
	DaemonID string `json:"daemon_id,omitempty" cbor:"daemon_id"`
}

// ReplicaChange adds or removes a control replica.
type ReplicaChange struct {
	CommandID string `json:"command_id"`
	Add       string `json:"add,omitempty"`     // replica ID
	Address   string `json:"address,omitempty"` // host:port of its daemon's peer listener, with Add
	Remove    string `json:"remove,omitempty"`  // replica ID
}

// ChangeEvacuation orders that the endpoints of a failure domain get no new request, or
// withdraws that order.
type ChangeEvacuation struct {
	CommandID string `json:"command_id"`
	Domain    string `json:"domain"`
	Withdraw  bool   `json:"withdraw"`
}

// Evacuation is the evacuation of a failure domain, which is in force.
type Evacuation struct {
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
}

// TimelineQuery selects events; empty fields select everything.
type TimelineQuery struct {
	brtimeline.Filter
	ThisDaemon bool `json:"this_daemon"` // don't query the other daemons
	Files      bool `json:"files"`       // include events from before the daemons' starts, read from their files
}

// Timeline is the merged timeline of the daemons that replied.
type Timeline struct {
	Events    []brtimeline.Event `json:"events"`
	Missing   []string           `json:"missing"` // daemons that did not reply
	Truncated []string           `json:"cut"`     // daemons whose older events were left out
}

// Empty is the body of a call without parameters or without a result.
type Empty struct{}

// ErrorBody is the JSON body of a failed call.
type ErrorBody struct {
	Error *brerror.Error `json:"error"`
}
