package brtunnel

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection to an endpoint through a relay. Its addresses are those of the
// connection to the relay.
type Conn struct {
	net.Conn // to the relay

	mu     sync.Mutex // held while reading
	frames frameReader
}

// Read reads what the endpoint has sent. The error is io.EOF if the endpoint has closed
// the connection, ErrReset, ErrSilent, ErrRelayLost, or one of this side: a timeout or
// the use of a closed connection.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frames.Read(b)
}

// Write sends b to the endpoint. Bytes written after the endpoint has ended the
// connection are discarded; the next Read returns how it ended.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		err = relayError(err)
	}
	return n, err
}

// errNotIdle is the error of Conn.SyscallConn.
var errNotIdle = errors.New("brtunnel: connection has ended, is being read or has unread bytes")

// SyscallConn implements syscall.Conn. It returns the socket of the connection to the
// relay, which is readable if the endpoint has sent something or the connection has
// ended. It returns an error if that isn't known from the socket: if a read is in
// progress, bytes of the relay are buffered or the end was read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if !c.mu.TryLock() {
		return nil, errNotIdle
	}
	defer c.mu.Unlock()
	s, ok := c.Conn.(syscall.Conn)
	if !ok || !c.frames.idle() {
		return nil, errNotIdle
	}
	return s.SyscallConn()
}
