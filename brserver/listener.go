package brserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptTime is the time for which Shutdown still waits for connections, so that those that
// are being opened aren't reset.
const acceptTime = 50 * time.Millisecond

// stopAccepting closes l after acceptTime, or at once if it has no deadlines.
func stopAccepting(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(time.Now().Add(acceptTime)) != nil {
		l.Close()
	}
}

// listener wraps the accepted connections.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection, as a *conn. After the deadline of stopAccepting it
// returns the connections that wait in the accept queue, and then net.ErrClosed. A connection
// without a place is closed: none of its bytes was read.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if l.server.admit(c) {
			return c, nil
		}
		c.Conn.Close()
	}
}

func (l listener) accept() (*conn, error) {
	n, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = acceptQueued(l.Listener)
	}
	if err != nil {
		return nil, err
	}
	now := l.server.cfg.Clock.Now()
	return &conn{Conn: n, server: l.server, accepted: now, state: NewState(now, l.server.limits())}, nil
}

// acceptQueued returns a connection that waits in the accept queue of l: Accept returns none
// after its deadline, and the close of l resets them. The error is net.ErrClosed if there is
// none, since net/http would try again after a timeout.
func acceptQueued(l net.Listener) (net.Conn, error) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	var socket int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for {
			socket, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(acceptErr, syscall.EINTR) && !errors.Is(acceptErr, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if err != nil || acceptErr != nil {
		return nil, net.ErrClosed
	}
	f := os.NewFile(uintptr(socket), "accepted connection")
	defer f.Close()
	return net.FileConn(f)
}
