package brtunnel

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Cause is the reason for which a tunnel couldn't be opened. It is also the value of
// causeHeader in the response of a Server.
type Cause string

// Causes that concern the endpoint: the relay tried to connect to it.
const (
	EndpointRefused     Cause = "endpoint-refused"     // it refused the connection
	EndpointTimeout     Cause = "endpoint-timeout"     // it didn't accept the connection in time
	EndpointUnreachable Cause = "endpoint-unreachable" // connecting to it failed otherwise
)

// Causes that concern the relay: they say nothing about the endpoint.
const (
	NoRoom           Cause = "no-room"           // the relay has its maximum number of tunnels
	NoPath           Cause = "no-path"           // the relay has itself no path to endpoints
	Leaving          Cause = "leaving"           // the relay is stopping
	NotAllowed       Cause = "not-allowed"       // the relay doesn't know the endpoint
	WrongKey         Cause = "wrong-key"         // the relay doesn't accept the key
	RelayFailed      Cause = "relay-failed"      // the relay sent no valid answer or lacks resources
	RelayUnreachable Cause = "relay-unreachable" // connecting to the relay failed
)

// causes lists the causes that a Server sends.
var causes = []Cause{
	EndpointRefused, EndpointTimeout, EndpointUnreachable,
	NoRoom, NoPath, Leaving, NotAllowed, WrongKey, RelayFailed,
}

// ConcernsEndpoint reports whether the relay tried to connect to the endpoint and
// couldn't, as opposed to a relay that can't be used.
func (c Cause) ConcernsEndpoint() bool {
	return c == EndpointRefused || c == EndpointTimeout || c == EndpointUnreachable
}

// DialError is the error of Dialer.Dial. No byte has been sent to the endpoint.
type DialError struct {
	Relay, Endpoint string // addresses
	Cause           Cause
	// Err is the error on this side, and for EndpointRefused syscall.ECONNREFUSED; it
	// may be nil.
	Err error
}

// Error implements the error interface.
func (e *DialError) Error() string {
	s := fmt.Sprintf("brtunnel: connect to %s through %s: %s", e.Endpoint, e.Relay, e.Cause)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// ErrNoPath is wrapped by an error of Server.Dial if the path of the relay may be to blame
// rather than the endpoint. The cause is NoPath.
var ErrNoPath = errors.New("brtunnel: no path to endpoints")

// dialCause returns the cause for an error of connecting to an endpoint.
func dialCause(err error) Cause {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return RelayFailed
		}
	}
	var n net.Error
	switch {
	case errors.Is(err, ErrNoPath):
		return NoPath
	case errors.Is(err, syscall.ECONNREFUSED):
		return EndpointRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return EndpointTimeout
	}
	return EndpointUnreachable
}
