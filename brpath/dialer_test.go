package brpath

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// system is a Dialer with stand-ins for the paths to endpoints. It must be used within a
// synctest bubble.
type system struct {
	*Dialer
	t *testing.T

	mu          sync.Mutex
	directErr   error           // of direct dials; errSilent for no answer
	unreachable map[string]bool // endpoints that relays can't reach
	failing     map[string]bool // relays that can't relay
	dials       []string        // "direct address" or "relay address"
	kept        int
	changes     []Change
}

// errSilent stands for a dial that isn't answered.
var errSilent = errors.New("silent")

func newSystem(t *testing.T, relays ...string) *system {
	s := &system{
		Dialer: NewDialer(Config{FailureDomain: "z", Random: func() float64 { return 0 }}), t: t,
		unreachable: map[string]bool{}, failing: map[string]bool{},
	}
	s.Direct, s.Relayed = s.dialDirect, s.dialThrough
	s.Keep = func(_ string, c net.Conn) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.kept++
		c.Close()
	}
	s.OnChange = func(c Change, _ string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changes = append(s.changes, c)
	}
	var all []Relay
	for _, id := range relays {
		all = append(all, Relay{Daemon: id, Address: id, FailureDomain: "z"})
	}
	s.SetRelays(all)
	return s
}

func (s *system) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	s.dials = append(s.dials, "direct "+address)
	err := s.directErr
	s.mu.Unlock()
	switch err {
	case nil:
		return pipe(), nil
	case errSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, err
}

func (s *system) dialThrough(_ context.Context, r Relay, address string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials = append(s.dials, r.Daemon+" "+address)
	switch {
	case s.failing[r.Daemon]:
		return nil, errors.New("no room")
	case s.unreachable[address]:
		return nil, ErrUnreachable
	}
	return pipe(), nil
}

func pipe() net.Conn {
	c, _ := net.Pipe()
	return c
}

func (s *system) setDirect(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directErr = err
}

// dial returns the path of a new connection, or the error, and how long it took.
func (s *system) dial(address string) (string, time.Duration) {
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	c, err := s.Dial(ctx, address)
	took := time.Since(from)
	switch {
	case errors.Is(err, ErrNoPath):
		return "no path", took
	case errors.Is(err, ErrUnreachable):
		return "unreachable", took
	case err != nil:
		return err.Error(), took
	}
	s.t.Cleanup(func() { c.Close() })
	if _, relayed := c.(*relayedConn); relayed {
		return "relayed", took
	}
	return "direct", took
}

// TestDialSilentPath guards against a caller that waits for a direct dial that nobody
// answers, and against more than one that waits until the dialer hedges.
func TestDialSilentPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1", "r2")
		defer s.Close()
		s.setDirect(errSilent)
		for i, test := range []struct {
			address string
			took    time.Duration
		}{{"a", hedgeDelay}, {"a", 0}, {"b", hedgeDelay}, {"c", 0}} {
			if path, took := s.dial(test.address); path != "relayed" || took != test.took {
				t.Errorf("dial %d of %s: %s after %v, want relayed after %v", i, test.address, path, took, test.took)
			}
		}
		if !s.Partitioned() {
			t.Error("dialer isn't partitioned after two lost paths")
		}
	})
}

// TestDialRefused guards against failing a dial that is refused here only, and against
// taking a dead endpoint for a lost path.
func TestDialRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1", "r2", "r3")
		defer s.Close()
		s.setDirect(syscall.ECONNREFUSED)
		s.unreachable["dead"] = true
		for _, test := range []struct{ address, path string }{{"dead", "unreachable"}, {"a", "relayed"}, {"dead", "unreachable"}, {"b", "relayed"}, {"dead", "unreachable"}} {
			if path, took := s.dial(test.address); path != test.path || took != 0 {
				t.Errorf("dial of %s: %s after %v, want %s at once", test.address, path, took, test.path)
			}
		}
		if diff := cmp.Diff([]Change{PathLost, Partitioned}, s.changes); diff != "" {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
	})
}

// TestDialRelaysFail guards against giving up while another daemon can relay, and against
// blaming the endpoint if none can.
func TestDialRelaysFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1", "r2")
		defer s.Close()
		s.setDirect(syscall.ECONNREFUSED)
		s.failing["r1"] = true
		if path, _ := s.dial("a"); path != "relayed" {
			t.Errorf("%s with one relay that fails, want relayed", path)
		}
		s.failing["r2"] = true
		if path, _ := s.dial("b"); path != "no path" {
			t.Errorf("%s with two relays that fail, want no path", path)
		}
	})
}

// TestPathIsBack guards against using relays for longer than needed, against callers that
// wait for a trial, and against connections of trials that are thrown away.
func TestPathIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1")
		go s.Run()
		defer s.Close()
		s.setDirect(errSilent)
		s.dial("a")
		s.dial("b")
		time.Sleep(3 * time.Second)
		s.setDirect(nil)
		time.Sleep(maxTrialInterval + 100*time.Millisecond)
		synctest.Wait()
		if s.Partitioned() {
			t.Fatal("dialer is partitioned after the path is back")
		}
		if s.kept == 0 {
			t.Error("no connection of a trial is kept")
		}
		if path, took := s.dial("b"); path != "direct" || took != 0 {
			t.Errorf("%s after %v, want direct at once", path, took)
		}
		synctest.Wait()
		if n := len(slices.DeleteFunc(s.dials, func(d string) bool { return d[:2] != "di" })); n > 12 {
			t.Errorf("%d direct dials, want at most 12 in some seconds", n)
		}
	})
}

// TestLateDirectConnection guards against a slow answer to a direct dial that is taken for
// a lost path for good.
func TestLateDirectConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1")
		defer s.Close()
		s.Direct = func(context.Context, string) (net.Conn, error) {
			time.Sleep(2 * hedgeDelay)
			return pipe(), nil
		}
		if path, took := s.dial("a"); path != "relayed" || took != hedgeDelay {
			t.Errorf("%s after %v, want relayed after %v", path, took, hedgeDelay)
		}
		time.Sleep(2 * hedgeDelay)
		synctest.Wait()
		if !s.state.Direct("a") || s.kept != 1 {
			t.Errorf("dialed directly: %v, %d connections kept, want true and 1", s.state.Direct("a"), s.kept)
		}
	})
}

// TestDialEndsWithCaller guards against a dial that outlasts its caller.
func TestDialEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, "r1")
		defer s.Close()
		s.setDirect(errSilent)
		ctx, cancel := context.WithTimeout(context.Background(), hedgeDelay/2)
		defer cancel()
		from := time.Now()
		if _, err := s.Dial(ctx, "a"); !errors.Is(err, context.DeadlineExceeded) || time.Since(from) != hedgeDelay/2 {
			t.Errorf("error %v after %v, want the deadline's after %v", err, time.Since(from), hedgeDelay/2)
		}
	})
}
