package brdaemon

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// partition is a way in which a daemon has lost its path to the endpoints.
type partition string

const (
	connected partition = ""
	refused   partition = "dials refused"     // open connections work
	silent    partition = "dials hang"        // nothing arrives at the other end, and nothing is answered
	reset     partition = "connections reset" // and dials are refused
)

// partitions are the ways in which a path can be lost.
var partitions = []partition{refused, silent, reset}

// endpointNetwork is the path of one daemon to the endpoints. The zero value is connected.
type endpointNetwork struct {
	mu    sync.Mutex
	state partition
	conns map[*networkConn]struct{}
}

// set changes the state of the path.
func (n *endpointNetwork) set(state partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = state
	for c := range n.conns {
		if state == reset {
			c.Conn.Close()
		}
	}
}

func (n *endpointNetwork) current() partition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *endpointNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch n.current() {
	case refused, reset:
		return nil, syscall.ECONNREFUSED
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := &networkConn{Conn: c, network: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*networkConn]struct{}{}
	}
	n.conns[w] = struct{}{}
	return w, nil
}

// networkConn is a connection to an endpoint over an endpointNetwork. It supports one
// reader.
type networkConn struct {
	net.Conn
	network  *endpointNetwork
	once     sync.Once
	closed   chan struct{}
	deadline time.Time // of reads
}

func (c *networkConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read loses what arrives while the path is silent.
func (c *networkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.network.current() == reset:
			return 0, syscall.ECONNRESET
		case c.network.current() != silent:
			return n, err
		case errors.Is(err, io.EOF):
			select {
			case <-time.After(time.Until(c.deadline)):
				return 0, os.ErrDeadlineExceeded
			case <-c.closed:
				return 0, net.ErrClosed
			}
		case err != nil:
			return 0, err
		}
	}
}

// Write loses what is written while the path is silent.
func (c *networkConn) Write(b []byte) (int, error) {
	if c.network.current() == silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *networkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
