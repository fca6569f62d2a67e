package brstate

import (
	"reflect"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
)

// MaxIDBytes is the maximum length of the IDs of commands, rollouts, orders and
// daemons, in bytes.
const MaxIDBytes = 128

// Command is a log entry, encoded by brwire. Exactly one of its pointer fields, the
// body, is set.
type Command struct {
	ID string    `cbor:"id"`
	At time.Time `cbor:"at"` // wall time, stamped by the leader

	PutConfiguration *PutConfiguration `cbor:"put_configuration,omitempty"`
	RegisterDaemon   *RegisterDaemon   `cbor:"register_daemon,omitempty"`
	DeregisterDaemon *DeregisterDaemon `cbor:"deregister_daemon,omitempty"`
	AcquireLease     *brlease.Acquire  `cbor:"acquire_lease,omitempty"`
	RenewLease       *brlease.Renew    `cbor:"renew_lease,omitempty"`
	ReleaseLease     *brlease.Release  `cbor:"release_lease,omitempty"`
	BeginRequest     *brledger.Begin   `cbor:"begin_request,omitempty"`
	FinishRequest    *brledger.Finish  `cbor:"finish_request,omitempty"`
	ReleaseRequest   *brledger.Release `cbor:"release_request,omitempty"`
	StartRollout     *StartRollout     `cbor:"start_rollout,omitempty"`
	UpdateRollout    *UpdateRollout    `cbor:"update_rollout,omitempty"`
	FinishRollout    *FinishRollout    `cbor:"finish_rollout,omitempty"`
	PlaceOrder       *PlaceOrder       `cbor:"place_order,omitempty"`
	FinishOrder      *FinishOrder      `cbor:"finish_order,omitempty"`
	SaveProgress     *SaveProgress     `cbor:"save_progress,omitempty"`
	ChangeEvacuation *ChangeEvacuation `cbor:"change_evacuation,omitempty"`
}

// PutConfiguration changes the configuration if its revision equals Expected.
// Exactly one of Change and Document must be set. The result is a PutResult.
type PutConfiguration struct {
	Expected uint64             `cbor:"expected"`
	Change   *brconfig.Change   `cbor:"change,omitempty"`
	Document *brconfig.Document `cbor:"document,omitempty"` // replaces the whole configuration
}

// PutResult lists the changes made by a PutConfiguration, or the problems for which
// it was refused.
type PutResult struct {
	Lines    []string           `cbor:"lines,omitempty" json:"lines,omitempty"`
	Problems []brconfig.Problem `cbor:"problems,omitempty" json:"problems,omitempty"`
}

// RegisterDaemon adds a daemon or replaces its row. For a new ID, the leader proposes
// it only once a majority of the registered daemons has applied the view's
// MembersRevision; the same holds for DeregisterDaemon. See brmember.Leader.
type RegisterDaemon struct {
	Daemon brwire.Daemon `cbor:"daemon"`
}

// DeregisterDaemon removes a daemon if Incarnation is empty or equals that of the
// daemon. Removing an absent daemon succeeds.
type DeregisterDaemon struct {
	DaemonID    string `cbor:"daemon_id"`
	Incarnation string `cbor:"incarnation,omitempty"`
	// OperatorConfirmed is set if an operator confirmed that the daemon is stopped
	// permanently. The leader then doesn't wait for a majority of the registered
	// daemons, which may be lost.
	OperatorConfirmed bool `cbor:"vouched,omitempty"`
}

// BeginResult is the result of BeginRequest. The request may be dispatched only if
// Begun is set; otherwise Record contains the stored response.
type BeginResult struct {
	Begun  bool            `cbor:"begun"`
	Record brledger.Record `cbor:"record"`
}

// StartRollout starts a version change of a model. The model must have no active
// rollout.
type StartRollout struct {
	ID       string    `cbor:"id"`
	Model    string    `cbor:"model"`
	Pool     string    `cbor:"pool,omitempty"` // empty: all pools of the model
	From     string    `cbor:"from"`
	To       string    `cbor:"to"`
	FinishBy time.Time `cbor:"finish_by"`
}

// UpdateRollout sets the stage, the share and the tripped routes of an active
// rollout if its revision equals Expected.
type UpdateRollout struct {
	ID            string   `cbor:"id"`
	Expected      uint64   `cbor:"expected"`
	Stage         int      `cbor:"stage"`
	SharePerMille int      `cbor:"share_per_mille"`
	Tripped       []string `cbor:"tripped,omitempty"`
}

// FinishRollout sets the outcome of an active rollout if its revision equals
// Expected. An outcome never changes.
type FinishRollout struct {
	ID       string  `cbor:"id"`
	Expected uint64  `cbor:"expected"`
	Outcome  Outcome `cbor:"outcome"`
	Reason   string  `cbor:"reason"`
}

// PlaceOrder records an order to an endpoint before it is sent. Holder must hold the
// lease in Epoch, which is the fencing token of the order.
type PlaceOrder struct {
	ID         string `cbor:"id" json:"id"`
	Lease      string `cbor:"lease" json:"lease"`
	Holder     string `cbor:"holder" json:"holder"`
	Epoch      uint64 `cbor:"epoch" json:"epoch"`
	EndpointID string `cbor:"endpoint_id" json:"endpoint_id"`
	Kind       string `cbor:"kind" json:"kind"`
	Version    string `cbor:"version,omitempty" json:"version,omitempty"`
	Adapter    string `cbor:"adapter,omitempty" json:"adapter,omitempty"`
	Role       string `cbor:"role,omitempty" json:"role,omitempty"`
}

// FinishOrder records the result of an order. Only the first result of an order is
// recorded.
type FinishOrder struct {
	ID      string `cbor:"id"`
	OK      bool   `cbor:"ok"`
	Message string `cbor:"message,omitempty"`
}

// Encode returns the encoding of c in the log.
func (c Command) Encode() ([]byte, error) { return brwire.Encode(c) }

// Stamped returns a copy of c as proposed by the leader, with At set to at. For the
// acquisition of a lease, it also sets the lapsed term returned by lapsed, or none
// if lapsed returns false because the lease must not pass to another holder. Values
// set by the sender in these fields are overwritten.
func (c Command) Stamped(at time.Time, lapsed func(name string) (brlease.Term, bool)) Command {
	c.At = at.UTC().Round(0)
	if c.AcquireLease != nil {
		a := *c.AcquireLease
		a.Lapsed = nil
		if t, ok := lapsed(a.Name); ok {
			a.Lapsed = &t
		}
		c.AcquireLease = &a
	}
	return c
}

// Kind returns the snake case name of the body. The error is invalid_request unless
// exactly one body is set.
func (c Command) Kind() (string, error) {
	kind, n := "", 0
	v := reflect.ValueOf(c)
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Pointer && !f.IsNil() {
			tag := v.Type().Field(i).Tag.Get("cbor")
			kind, n = tag[:len(tag)-len(",omitempty")], n+1
		}
	}
	if n != 1 {
		return "", brerror.New(brerror.InvalidRequest, "command has %d bodies instead of one", n)
	}
	return kind, nil
}
