package brtunnel

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// TestEcho guards against bytes that are lost, changed or held back in either
// direction, and against wrong numbers.
func TestEcho(t *testing.T) {
	s := &Server{Allow: everyAddress}
	relay := startRelay(t, s)
	c := dial(t, relay, startEndpoint(t, echo))
	wantEcho(t, c, "ping")
	wantEcho(t, c, "data: x\n\n")
	want := Stats{Open: 1, Opened: 1, ToEndpoint: 13, ToClient: 13}
	if diff := cmp.Diff(want, s.Stats()); diff != "" {
		t.Errorf("stats (-want +got):\n%s", diff)
	}
	c.Close()
	brtest.Await(t, bound, "tunnel is closed", func() bool { return s.Stats().Open == 0 })
}

// TestEnds guards against confusing how an endpoint ends a connection: a response
// without a length is complete only after a proper end.
func TestEnds(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(c *net.TCPConn)
		want    error
		byPeer  bool
		message string
	}{
		{"closed", func(c *net.TCPConn) { io.WriteString(c, "body") }, io.EOF, true, "body"},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }, syscall.ECONNRESET, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := startRelay(t, &Server{Allow: everyAddress})
			c := dial(t, relay, startEndpoint(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 4)) // an earlier end could fail the dial
				test.end(c)
			}))
			if _, err := io.WriteString(c, "ping"); err != nil {
				t.Fatal(err)
			}
			var body bytes.Buffer
			err := copyPlain(&body, c)
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if (err == io.EOF) != (test.want == io.EOF) {
				t.Errorf("error %v is io.EOF or wraps it", err)
			}
			if got := brevent.EndedByPeer(err); got != test.byPeer {
				t.Errorf("EndedByPeer(%v) = %v, want %v", err, got, test.byPeer)
			}
			if body.String() != test.message {
				t.Errorf("body %q, want %q", body.String(), test.message)
			}
			if _, again := c.Read(make([]byte, 1)); again != err {
				t.Errorf("error of the next Read %v, want %v", again, err)
			}
		})
	}
}

// copyPlain copies r to w and returns the error of Read, which may be io.EOF.
func copyPlain(w io.Writer, r io.Reader) error {
	buffer := make([]byte, 1000)
	for {
		n, err := r.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}

// TestRelayLost guards against taking the end of the relay for an end by the endpoint:
// the kernel closes the connections of a killed process properly.
func TestRelayLost(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(t *tunnel)
	}{
		{"closed", func(t *tunnel) { t.client.Close() }},
		{"reset", func(t *tunnel) { t.client.(*net.TCPConn).SetLinger(0); t.client.Close() }},
		{"server closed", func(t *tunnel) { t.server.Close() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Server{Allow: everyAddress}
			relay := startRelay(t, s)
			c := dial(t, relay, startEndpoint(t, echo))
			wantEcho(t, c, "ping")
			test.end(onlyTunnel(s))
			err := copyPlain(io.Discard, c)
			if !errors.Is(err, ErrRelayLost) || brevent.EndedByPeer(err) {
				t.Errorf("read error %v, EndedByPeer %v, want ErrRelayLost and false", err, brevent.EndedByPeer(err))
			}
			brtest.Await(t, bound, "write fails", func() bool { _, err = c.Write([]byte("x")); return err != nil })
			if !errors.Is(err, ErrRelayLost) || brevent.EndedByPeer(err) {
				t.Errorf("write error %v, EndedByPeer %v, want ErrRelayLost and false", err, brevent.EndedByPeer(err))
			}
		})
	}
}

// onlyTunnel returns the only open tunnel of s.
func onlyTunnel(s *Server) *tunnel {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		return t
	}
	return nil
}

// TestCancel guards against an endpoint that goes on after its client has closed the
// tunnel, while the endpoint is silent and while it sends.
func TestCancel(t *testing.T) {
	for _, sending := range []bool{false, true} {
		ended := make(chan time.Time, 1)
		address := startEndpoint(t, func(c *net.TCPConn) {
			if sending {
				brtest.WriteForever(c, "data: x\n\n")
			} else {
				_, _ = c.Read(make([]byte, 1))
			}
			ended <- time.Now()
		})
		c := dial(t, startRelay(t, &Server{Allow: everyAddress}), address)
		if sending {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		c.Close()
		if d := await(t, ended, "end of the connection to the endpoint").Sub(start); d > 500*time.Millisecond {
			t.Errorf("sending %v: the endpoint saw the end after %v, want at most 500 ms", sending, d)
		}
	}
}

// TestBigBodies guards against bodies that are changed or stall, with both directions
// in use at the same time.
func TestBigBodies(t *testing.T) {
	const size = 16 << 20
	c := dial(t, startRelay(t, &Server{Allow: everyAddress}), startEndpoint(t, echo))
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	sent := make(chan [sha256.Size]byte, 1)
	go func() {
		h := sha256.New()
		r := io.LimitReader(rand.NewChaCha8([32]byte{1}), size)
		if _, err := io.Copy(io.MultiWriter(c, h), r); err != nil {
			t.Error(err)
		}
		sent <- [sha256.Size]byte(h.Sum(nil))
	}()
	h := sha256.New()
	if _, err := io.CopyN(h, c, size); err != nil {
		t.Fatal(err)
	}
	if <-sent != [sha256.Size]byte(h.Sum(nil)) {
		t.Error("received bytes differ from those sent")
	}
}

// TestDeadlines guards against a timeout that ends the connection or loses bytes.
func TestDeadlines(t *testing.T) {
	c := dial(t, startRelay(t, &Server{Allow: everyAddress}), startEndpoint(t, echo))
	if err := c.SetReadDeadline(past); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) || brevent.EndedByPeer(err) {
		t.Errorf("error %v, want os.ErrDeadlineExceeded", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(bound)); err != nil {
		t.Fatal(err)
	}
	wantEcho(t, c, "ping")
	if err := c.SetWriteDeadline(past); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want os.ErrDeadlineExceeded", err)
	}
	c.Close()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want net.ErrClosed", err)
	}
}

// TestDialContext guards against a dial that outlasts its context, and against a server
// that goes on connecting to the endpoint after its client is gone.
func TestDialContext(t *testing.T) {
	canceled := make(chan struct{})
	s := &Server{Allow: everyAddress, DialTimeout: time.Hour, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		defer close(canceled)
		return blockDial(ctx, address)
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := (&Dialer{}).Dial(ctx, startRelay(t, s), "endpoint:1")
	var d *DialError
	if !errors.Is(err, context.DeadlineExceeded) || !errors.As(err, &d) || d.Cause != RelayFailed {
		t.Errorf("error %v, want cause %s and context.DeadlineExceeded", err, RelayFailed)
	}
	await(t, canceled, "end of the server's dial")
}
