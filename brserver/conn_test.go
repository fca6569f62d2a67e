package brserver

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// lateConn is a connection without a socket. Its data arrives when a read has just timed out.
type lateConn struct {
	net.Conn
	silence time.Duration
	reads   int
}

func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

func (c *lateConn) Read([]byte) (int, error) {
	if c.reads++; c.reads == 1 {
		time.Sleep(c.silence)
		return 0, os.ErrDeadlineExceeded
	}
	return 1, nil
}

// TestWaitCountsOnce guards against a header timeout that counts the wait before an interrupt
// twice if the caller's data arrives together with it.
func TestWaitCountsOnce(t *testing.T) {
	s := New(Config{Handler: http.NotFoundHandler()})
	now, limits := time.Now(), s.limits()
	state, _ := NewState(now, limits).WithData(now, limits, 1, 0)
	const silence = 100 * time.Millisecond
	c := &conn{Conn: &lateConn{silence: silence}, server: s, state: state}
	if n, err := c.Read(make([]byte, readAhead)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v, want 1 byte", n, err)
	}
	if waited := limits.HeaderTimeout - c.current().Wait(time.Now(), limits); waited >= 2*silence {
		t.Errorf("wait of %v counts as %v", silence, waited)
	}
}
