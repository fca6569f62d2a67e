package brsoak

import (
	"net/http"
	"os/exec"
	"time"
)

// VM is one machine of the soak.
type VM struct {
	Name       string
	IP         string // a loopback address of its own
	Zone       string // failure domain
	Replica    bool   // has a data folder
	DataDir    string
	First      bool   // the whole fleet starts for the first time
	ListenPeer string // host:port at which it takes links; a Proxy passes them on
	Seeds      []VM
}

// Addresses are where a daemon is reached, as host:port.
type Addresses struct{ Callers, Ready, Control, Peers string }

// Policy is what the operator puts in force. Besides the routes of all kinds of
// request it has a route of its own, which shows where it is in force.
type Policy struct {
	Version uint64
	Probes  []uint64 // versions whose own routes are served
}

// Heartbeat is what an endpoint says of itself.
type Heartbeat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Leaving                    bool
	Sequence                   uint64
	Born                       time.Time
}

// Adapter is how the programs are started and spoken to. All fields are needed.
type Adapter struct {
	// Command returns the program of a VM; dir is a folder for its files.
	Command   func(vm VM, dir string) (*exec.Cmd, error)
	Addresses func(vm VM) Addresses

	// Config returns the request that puts a policy in force, for the daemon at
	// address, and Version the version of a policy that was read.
	Config     func(address string, p Policy) (*http.Request, error)
	ReadConfig func(address string) (*http.Request, error)
	Version    func(body []byte) (uint64, error)
	Ready      func(address string) (*http.Request, error)

	Announce func(address string, h Heartbeat) (*http.Request, error)
	Withdraw func(address, id string) (*http.Request, error)

	// Call returns a caller's request of a kind, with the id of the attempt, and
	// Probe one to the own route of a policy.
	Call  func(address string, kind Kind, id string, customer Customer, deadline time.Duration) (*http.Request, error)
	Probe func(address string, version uint64, id string) (*http.Request, error)
	// Received returns the attempt's id and the endpoint that is to take it.
	Received func(h http.Header) (id, endpoint string)
	// Stamp adds what an endpoint's answers carry.
	Stamp func(h http.Header, id, endpoint string)
	// MarkNotRun makes an answer say that the request was not run.
	MarkNotRun func(h http.Header)
	// PromisesNotRun reports whether a status says to callers that the request was
	// not run.
	PromisesNotRun func(status int) bool
}

// Kind is a kind of request.
type Kind uint8

// The kinds.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run once
	Stream             // may run once, and answers with events
	kinds
)

// Customer is who sends a request.
type Customer uint8

// The customers.
const (
	Unlimited Customer = iota
	Limited            // sends more than its quota
)

// Quota of the customer Limited, in tokens.
const (
	QuotaRate  = 2000.0 // per second
	QuotaBurst = 2000.0
	// CallTokens is what one request costs.
	CallTokens = 200
)
