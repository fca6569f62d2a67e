package brfleet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// partition is a way in which a daemon has lost its path to the endpoints.
type partition uint8

const (
	connected         partition = iota
	resetPartition              // connections are reset, and dials are refused
	silentPartition             // nothing arrives at the other end, and nothing is answered
	newConnsPartition           // open connections work, and dials are refused
)

// endpointNetwork is the path of one daemon to the endpoints. The zero value is connected.
type endpointNetwork struct {
	mu       sync.Mutex
	state    partition
	affected func(address string) bool // nil means all endpoints
	changed  chan struct{}             // closed and replaced when state changes; nil at first
	conns    map[*partitionedConn]struct{}
	dials    int
}

// set changes the state of the path to the endpoints for which affected returns true; nil
// means all.
func (n *endpointNetwork) set(state partition, affected func(address string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state, n.affected = state, affected
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
	for c := range n.conns {
		if state == resetPartition && n.lost(c.address) {
			c.Conn.Close()
		}
	}
}

// lost reports whether the path to the endpoint at address is lost. The caller must hold
// n.mu.
func (n *endpointNetwork) lost(address string) bool {
	return n.state != connected && (n.affected == nil || n.affected(address))
}

// current returns the state of the path to the endpoint at address, and a channel that is
// closed when it changes.
func (n *endpointNetwork) current(address string) (partition, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	if !n.lost(address) {
		return connected, n.changed
	}
	return n.state, n.changed
}

func (n *endpointNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	for {
		state, changed := n.current(address)
		switch state {
		case resetPartition, newConnsPartition:
			return nil, syscall.ECONNREFUSED
		case silentPartition:
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
			}
			continue
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		p := &partitionedConn{Conn: c, network: n, address: address, closed: make(chan struct{})}
		n.mu.Lock()
		if n.conns == nil {
			n.conns = map[*partitionedConn]struct{}{}
		}
		n.conns[p] = struct{}{}
		n.mu.Unlock()
		return p, nil
	}
}

// partitionedConn is a connection to an endpoint over an endpointNetwork.
type partitionedConn struct {
	net.Conn
	network *endpointNetwork
	address string
	once    sync.Once
	closed  chan struct{}
}

// Read holds back what it has read while the path is silent.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		state, changed := c.network.current(c.address)
		switch state {
		case connected, newConnsPartition:
			return n, err
		case resetPartition:
			return 0, syscall.ECONNRESET
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write loses what is written while the path is silent.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if state, _ := c.network.current(c.address); state == silentPartition {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
