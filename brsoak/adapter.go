package brsoak

import (
	"net/http"
	"os/exec"
	"time"
)

// VM describes one simulated VM of the fleet.
type VM struct {
	Name          string
	IP            string // loopback address used by this VM only
	FailureDomain string
	Replica       bool // holds a replica and a data directory
	DataDir       string
	Bootstrap     bool   // the daemon bootstraps a new fleet
	ListenPeer    string // host:port of the peer listener; a Proxy forwards connections to it
	Seeds         []VM
}

// Addresses are the listening addresses of a daemon, as host:port.
type Addresses struct{ Callers, Ready, Control, Peers string }

// Policy is a configuration that the operator applies. Besides the routes for all
// kinds of request it has one probe route for each version in Probes, which shows
// whether a daemon has applied that version.
type Policy struct {
	Version uint64
	Probes  []uint64 // versions whose probe routes are served
}

// Heartbeat is the state that an endpoint reports to a daemon.
type Heartbeat struct {
	ID, Service, Address, FailureDomain string
	Slots                               int
	Leaving                             bool
	Sequence                            uint64
	StartedAt                           time.Time
}

// Adapter starts the programs under test and encodes their requests. All fields are
// required.
type Adapter struct {
	// Command returns the command that runs the daemon of a VM; dir is a directory
	// for its files.
	Command   func(vm VM, dir string) (*exec.Cmd, error)
	Addresses func(vm VM) Addresses

	// Config returns the request that applies a policy at the daemon at address.
	// ReadConfig returns the request that reads the current policy, and Version
	// decodes the version from its response body.
	Config     func(address string, p Policy) (*http.Request, error)
	ReadConfig func(address string) (*http.Request, error)
	Version    func(body []byte) (uint64, error)
	Ready      func(address string) (*http.Request, error)

	// Evacuate returns the request that orders the evacuation of a failure domain at the
	// daemon at address, and EndEvacuation the one that withdraws it.
	Evacuate      func(address, domain string) (*http.Request, error)
	EndEvacuation func(address, domain string) (*http.Request, error)

	Announce func(address string, h Heartbeat) (*http.Request, error)
	Withdraw func(address, id string) (*http.Request, error)

	// Call returns a caller's request of a kind; id identifies the attempt. Probe
	// returns a request to the probe route of a policy version.
	Call  func(address string, kind Kind, id string, customer Customer, deadline time.Duration) (*http.Request, error)
	Probe func(address string, version uint64, id string) (*http.Request, error)
	// ParseReceived returns the attempt ID and the ID of the intended endpoint.
	ParseReceived func(h http.Header) (id, endpoint string)
	// AddResponseHeaders adds the headers of an endpoint's response.
	AddResponseHeaders func(h http.Header, id, endpoint string)
	// MarkNotRun adds the header that states that the request was not run.
	MarkNotRun func(h http.Header)
	// GuaranteesNotRun reports whether a status guarantees to callers that the request
	// was not run.
	GuaranteesNotRun func(status int) bool
}

// Kind is a kind of request.
type Kind uint8

// The kinds of request.
const (
	Safe   Kind = iota // may run more than once
	Unsafe             // may run at most once
	Stream             // may run at most once; the response is an event stream
	numKinds
)

// Customer identifies the sender of a request.
type Customer uint8

// The customers.
const (
	Unlimited Customer = iota
	Limited            // has a quota and exceeds it
)

// Quota of the customer Limited, in tokens.
const (
	QuotaRate  = 2000.0 // per second
	QuotaBurst = 2000.0
	// CallTokens is the cost of one request, in tokens.
	CallTokens = 200
)
