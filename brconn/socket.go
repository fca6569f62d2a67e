package brconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose unit is
// milliseconds.
const tcpUserTimeout = 18

// DialTCP opens a TCP connection with userTimeout set and keep-alive probes off.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAlive: -1,
		Control:   func(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, userTimeout) },
	}
	return d.DialContext(ctx, "tcp", address)
}

// SetUserTimeout limits the time that data written to a TCP socket may stay
// unacknowledged. It also limits the time that the other end may leave its receive window
// closed.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// reusable reports whether an idle connection is open and has no data to read. It
// returns true for connections that don't implement syscall.Conn.
func reusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
