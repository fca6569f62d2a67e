package brpath

import (
	"net"
	"sync"
	"syscall"
)

// Relayed reports whether c leads through another daemon.
func Relayed(c net.Conn) bool {
	r, ok := c.(interface{ Relayed() bool })
	return ok && r.Relayed()
}

// relayedConn is a connection through a relay. It is a syscall.Conn if the connection
// below it is one.
type relayedConn struct {
	net.Conn
	once  sync.Once
	close func()
}

// Close closes the connection and counts its end.
func (c *relayedConn) Close() error {
	c.once.Do(c.close)
	return c.Conn.Close()
}

// Relayed reports that the connection leads through another daemon.
func (c *relayedConn) Relayed() bool { return true }

// SyscallConn returns the raw connection to the relay.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}
