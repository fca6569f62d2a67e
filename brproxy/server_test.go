package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"bramleyroute/brpolicy"
	"bramleyroute/brtest"
)

// policyWithLimits returns the policy of the tests with the given limits.
func policyWithLimits(l brpolicy.Limits) *brpolicy.Table {
	policy := testPolicy()
	policy.Limits = l
	return brpolicy.Compile(policy)
}

// serve serves callers at a listener of its own and returns its address.
func (s *testSystem) serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.proxy.Serve(l) }()
	t.Cleanup(func() {
		l.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// TestIdleTimeoutFollowsPolicy guards against closing a connection on which a caller may
// send a request by the policy in force now, or by that in force when it became idle: the
// request would get neither an answer nor a refusal.
func TestIdleTimeoutFollowsPolicy(t *testing.T) {
	const short, long, idle = 100 * time.Millisecond, 3 * time.Second, 1800 * time.Millisecond
	for _, test := range []struct {
		name          string
		before, after time.Duration
		usable        bool
	}{
		{"grows", short, long, true},
		{"shrinks", long, short, true},
		{"short", short, short, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, respond(200, "", "ok"))
			s.proxy.SetPolicy(policyWithLimits(brpolicy.Limits{IdleTimeout: test.before}))
			c, err := net.Dial("tcp", s.serve(t))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			request := func() error {
				fmt.Fprint(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
				a, err := http.ReadResponse(r, nil)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, a.Body)
				return err
			}
			if err := request(); err != nil {
				t.Fatal(err)
			}
			s.proxy.SetPolicy(policyWithLimits(brpolicy.Limits{IdleTimeout: test.after}))
			time.Sleep(idle)
			if err := request(); (err == nil) != test.usable {
				t.Errorf("request after %v: error %v, want a usable connection: %v", idle, err, test.usable)
			}
		})
	}
}

// TestChangesOfLimitsKeepNoServers guards against a server, or any other goroutine, that
// stays for each change of the limits.
func TestChangesOfLimitsKeepNoServers(t *testing.T) {
	const changes = 30
	s := newSystem(t, respond(200, "", "ok"))
	address := s.serve(t)
	before := runtime.NumGoroutine()
	for i := range changes {
		s.proxy.SetPolicy(policyWithLimits(brpolicy.Limits{HeaderTimeout: time.Second + time.Duration(i)*time.Millisecond}))
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	// Connections to the endpoint may stay, of which there is at most one at a time here.
	brtest.Await(t, time.Second, "no goroutine is left for each change", func() bool {
		return runtime.NumGoroutine() < before+changes/3
	})
}
