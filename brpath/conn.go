package brpath

import (
	"net"
	"sync"
	"syscall"
)

// Relayed reports whether c leads through another daemon.
func Relayed(c net.Conn) bool {
	r, ok := c.(interface{ Relay() string })
	return ok && r.Relay() != ""
}

// relayedConn is a connection through a relay. It is a syscall.Conn if the connection
// below it is one.
type relayedConn struct {
	net.Conn
	relay string // ID of the daemon
	once  sync.Once
	close func()
}

// Close closes the connection and counts its end.
func (c *relayedConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}

// Relay returns the ID of the daemon through which the connection leads.
func (c *relayedConn) Relay() string { return c.relay }

// SyscallConn returns the raw connection to the relay.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}
