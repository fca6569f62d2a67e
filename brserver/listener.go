package brserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptTime is the time for which a listener still accepts connections when it is closed.
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
	queued []net.Conn // accepted at the end, to be returned before the end
	ended  bool
}

// Accept returns the next connection, as a *conn. After the deadline of stopAccepting it
// returns the connections that wait in the accept queue, and then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.next()
	if err != nil {
		return nil, err
	}
	now := l.server.cfg.Clock.Now()
	c := &conn{Conn: n, server: l.server, accepted: now, state: NewState(now, l.server.limits())}
	l.server.add(c)
	return c, nil
}

func (l *listener) next() (net.Conn, error) {
	if !l.ended {
		n, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		l.queued, l.ended = acceptQueued(l.Listener), true
		l.Close()
	}
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	n := l.queued[0]
	l.queued = l.queued[1:]
	return n, nil
}

// acceptQueued accepts the connections that wait in the accept queue of l, which a close
// would reset. Accept doesn't return them after a deadline.
func acceptQueued(l net.Listener) []net.Conn {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	var conns []net.Conn
	// An error means that l is closed.
	_ = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(fd), "")
			if c, err := net.FileConn(f); err == nil {
				conns = append(conns, c)
			}
			f.Close()
		}
	})
	return conns
}
