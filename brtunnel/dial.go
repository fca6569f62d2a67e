package brtunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brpeer"
)

const (
	// Path is the HTTP path at which a daemon accepts tunnels.
	Path = "/v1/tunnel"

	protocol     = "bramleyroute-tunnel" // value of the Upgrade header
	addressQuery = "address"             // query parameter with the endpoint's address
	causeHeader  = "Tunnel-Cause"        // header of a response that refuses a tunnel
	// openTimeout limits opening a tunnel if the context has no earlier deadline. A
	// relay answers within defaultDialTimeout of a Server and two round trips.
	openTimeout = time.Second
	// readBufferBytes is the size of the read buffer of a Conn.
	readBufferBytes = 4 << 10
)

// Dialer opens tunnels. Its zero value uses TCP and sends no key.
type Dialer struct {
	Keys brpeer.Keys // the first one is sent
	// DialContext connects to a relay; nil means brconn.DialTCP.
	DialContext func(ctx context.Context, address string) (net.Conn, error)
}

// Dial opens a tunnel through the daemon whose peer listener is at relay to the endpoint
// at address endpoint (host:port). The connection is of type *Conn, errors are of type
// *DialError.
func (d *Dialer) Dial(ctx context.Context, relay, endpoint string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	dial := d.DialContext
	if dial == nil {
		dial = brconn.DialTCP
	}
	n, err := dial(ctx, relay)
	if err != nil {
		return nil, &DialError{Relay: relay, Endpoint: endpoint, Cause: RelayUnreachable, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { n.Close() })
	c, cause, err := d.open(n, relay, endpoint)
	if !stop() && cause == "" {
		cause = RelayFailed
	}
	if cause == "" {
		return c, nil
	}
	n.Close()
	if cause == RelayFailed && ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &DialError{Relay: relay, Endpoint: endpoint, Cause: cause, Err: err}
}

// open asks the relay for a tunnel over the connection n. The cause is empty if the
// tunnel is open.
func (d *Dialer) open(n net.Conn, relay, endpoint string) (*Conn, Cause, error) {
	var request bytes.Buffer
	fmt.Fprintf(&request, "GET %s?%s=%s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n",
		Path, addressQuery, url.QueryEscape(endpoint), relay, protocol)
	if err := d.Keys.Header().Write(&request); err != nil {
		return nil, RelayFailed, err
	}
	request.WriteString("\r\n")
	if _, err := n.Write(request.Bytes()); err != nil {
		return nil, RelayFailed, relayError(err)
	}
	limiter := brheader.NewLimiter(n)
	reader := bufio.NewReaderSize(limiter, readBufferBytes)
	response, err := limiter.ReadResponse(reader, nil)
	if err != nil {
		return nil, RelayFailed, relayError(err)
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		cause, err := refusal(response)
		return nil, cause, err
	}
	if got := response.Header.Get("Upgrade"); got != protocol {
		return nil, RelayFailed, fmt.Errorf("relay switched to protocol %q", got)
	}
	// Bytes of the first frames may be in the buffer, so that the reader is kept.
	return &Conn{Conn: n, frames: frameReader{reader: reader}}, "", nil
}

// refusal returns the cause in a response that refuses a tunnel.
func refusal(r *http.Response) (Cause, error) {
	cause := Cause(r.Header.Get(causeHeader))
	if !slices.Contains(causes, cause) {
		return RelayFailed, errors.New("relay answered " + r.Status)
	}
	if cause == EndpointRefused {
		return cause, syscall.ECONNREFUSED
	}
	return cause, nil
}
