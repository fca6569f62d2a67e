package brproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brdrain"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// TestRetries guards against three failures: running a request twice that must not
// be repeated, reporting a request as not run that may have run, and returning an
// error to the caller that a retry could have avoided.
func TestRetries(t *testing.T) {
	full := respond(http.StatusServiceUnavailable, "Not-Run", "full")
	broken := respond(http.StatusInternalServerError, "", "broken")
	for _, test := range []struct {
		name, path string
		handler    http.HandlerFunc
		status     int
		arrivals   int
	}{
		{"answered", "/never/", respond(200, "", "ok"), 200, 1},
		{"lost response, must not repeat", "/never/", truncate(""), http.StatusBadGateway, 1},
		{"truncated response, must not repeat", "/never/", truncate("part"), http.StatusBadGateway, 1},
		{"lost response, safe", "/safe/", truncate(""), http.StatusBadGateway, 2},
		{"failed, safe", "/safe/", broken, 500, 2},
		{"failed, must not repeat", "/never/", broken, 500, 1},
		{"full, has not run", "/never/", full, http.StatusServiceUnavailable, 2},
		{"full, one attempt", "/once/", full, http.StatusServiceUnavailable, 1},
		{"wrong endpoint", "/never/", respond(http.StatusMisdirectedRequest, "Not-Run", ""), http.StatusServiceUnavailable, 2},
		{"lost stream, must not repeat", "/stream/", truncate(""), http.StatusBadGateway, 1},
		{"lost stream, can be resumed", "/resume/", truncate(""), http.StatusBadGateway, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, test.handler, test.handler, test.handler)
			status, _, complete := s.do(t, "POST", test.path, nil)
			if status != test.status || !complete {
				t.Errorf("status %d, complete %v, want status %d and a complete response", status, complete, test.status)
			}
			if n := s.arrivals(); n != test.arrivals {
				t.Errorf("endpoints received %d requests, want %d", n, test.arrivals)
			}
		})
	}
}

// TestRefusalHasRetryAfter guards against a refusal without a Retry-After header.
func TestRefusalHasRetryAfter(t *testing.T) {
	s := newSystem(t, respond(http.StatusServiceUnavailable, "Not-Run", ""))
	r, err := http.NewRequest("POST", s.front.URL+"/once/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	a.Body.Close()
	if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err != nil || after <= 0 {
		t.Errorf("Retry-After %q, want a positive number", a.Header.Get("Retry-After"))
	}
}

// TestDenied guards against dispatching a request that has no route, has an
// unknown key or exceeds the quota of its customer.
func TestDenied(t *testing.T) {
	s := newSystem(t, respond(200, "", "ok"))
	for _, test := range []struct {
		path, key string
		status    int
	}{
		{"/none/", "k", http.StatusNotFound},
		{"/safe", "k", http.StatusNotFound},
		{"/safe/", "x", http.StatusUnauthorized},
		{"/safe/", "", http.StatusUnauthorized},
		{"/safe/", "l", 200},
		{"/safe/", "l", http.StatusTooManyRequests},
	} {
		if status, _, _ := s.do(t, "GET", test.path, map[string]string{"Key": test.key}); status != test.status {
			t.Errorf("%s with key %q: status %d, want %d", test.path, test.key, status, test.status)
		}
	}
	if n := s.arrivals(); n != 1 {
		t.Errorf("endpoints received %d requests, want 1", n)
	}
}

// TestHeaders guards against forwarding the customer key or a hop-by-hop header
// field to an endpoint, and against giving the endpoint more time than the caller
// allows.
func TestHeaders(t *testing.T) {
	s := newSystem(t, respond(200, "", "ok"))
	s.do(t, "GET", "/safe/", map[string]string{"Deadline": "500", "Connection": "X-Hop", "X-Hop": "1", "X-End": "2"})
	h := s.endpoints[0].headers[0]
	got := map[string]string{}
	for _, name := range []string{"Key", "X-Hop", "X-End", "Customer", "Endpoint"} {
		got[name] = h.Get(name)
	}
	want := map[string]string{"Key": "", "X-Hop": "", "X-End": "2", "Customer": "c", "Endpoint": "e0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if left, err := strconv.Atoi(h.Get("Left")); err != nil || left > 500 || left < 300 {
		t.Errorf("remaining time %q ms, want from 300 to 500", h.Get("Left"))
	}
}

// TestCallerDisconnects guards against an endpoint that still processes a request
// half a second after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	arrived, stopped := make(chan struct{}), make(chan struct{})
	s := newSystem(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(stopped)
	})
	c, err := net.Dial("tcp", s.front.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
	<-arrived
	c.Close()
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("endpoint still processes the request 500 ms after the caller disconnected")
	}
}

// TestDeadline guards against a request that waits past its deadline.
func TestDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := newSystem(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	began := time.Now()
	status, _, _ := s.do(t, "POST", "/never/", map[string]string{"Deadline": "200"})
	if status != http.StatusGatewayTimeout || time.Since(began) > 700*time.Millisecond {
		t.Errorf("status %d after %v, want 504 within 700 ms", status, time.Since(began))
	}
}

// TestDrainWithConcurrentRequests guards against dispatched requests that lose their
// response because their connection is closed as idle while they are being read.
func TestDrainWithConcurrentRequests(t *testing.T) {
	for range 20 {
		s := newSystem(t, respond(200, "", "ok"))
		const callers = 8
		withoutResponse := make(chan int, callers)
		var ready sync.WaitGroup
		ready.Add(callers)
		for range callers {
			go func() { withoutResponse <- sendUntilClosed(s.front.Address(), &ready) }()
		}
		ready.Wait()
		s.proxy.DisableKeepAlives()
		s.proxy.CloseIdle()
		now := time.Now()
		if err := s.proxy.Drain(context.Background(), brdrain.Plan{Steered: now, End: now.Add(time.Minute)}); err != nil {
			t.Fatal(err)
		}
		closed := 0
		for range callers {
			closed += <-withoutResponse
		}
		if lost := s.arrivals() - int(s.proxy.Stats().Answered.Load()); lost != 0 {
			t.Fatalf("%d dispatched requests without a response, want 0; %d connections closed before a response", lost, closed)
		}
	}
}

// sendUntilClosed sends requests on one connection until it is closed. It returns 1
// if the last request got no response, and 0 otherwise. It calls ready.Done after the
// first response.
func sendUntilClosed(address string, ready *sync.WaitGroup) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := fmt.Fprint(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n"); err != nil {
			return 1
		}
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return 1
		}
		io.Copy(io.Discard, a.Body)
		if i == 0 {
			ready.Done()
		}
		if a.Close {
			return 0
		}
	}
}

// TestLimits guards against callers that keep connections idle, or take to send the
// header, for longer than the policy in force allows.
func TestLimits(t *testing.T) {
	s := newSystem(t, respond(200, "", "ok"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.proxy.Serve(l) }()
	limited := testPolicy()
	limited.Limits = brpolicy.Limits{HeaderBytes: 2000, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	dial := func(text string) *bufio.Reader {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(c, text)
		return bufio.NewReader(c)
	}
	const request = "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n"
	expectStatus := func(r *bufio.Reader, want int) {
		t.Helper()
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, a.Body)
		if a.StatusCode != want {
			t.Errorf("status %d, want %d", a.StatusCode, want)
		}
	}
	before := dial(request)
	expectStatus(before, 200)
	s.proxy.SetPolicy(brpolicy.Compile(limited))
	idle := dial(request)
	expectStatus(idle, 200)
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("read from idle connection: error %v, want io.EOF", err)
	}
	incomplete := dial("GET /safe/ HTTP/1.1\r\n")
	expectStatus(incomplete, http.StatusRequestTimeout)
	if _, err := incomplete.ReadByte(); err != io.EOF {
		t.Errorf("read after incomplete header: error %v, want io.EOF", err)
	}
	long := strings.Repeat("x", 8000)
	expectStatus(dial("GET /safe/ HTTP/1.1\r\nHost: h\r\nLong: "+long+"\r\n\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	l.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestWaitForFirstPolicy guards against a daemon that has just started and refuses
// requests shortly before it receives its policy.
func TestWaitForFirstPolicy(t *testing.T) {
	s := newSystem(t, respond(200, "", "ok"))
	p := New(Config{Dialect: testDialect, Pool: &brconn.Pool{}, Log: zerolog.Nop()})
	defer p.Close()
	e := s.endpoints[0]
	server := httptest.NewServer(e)
	defer server.Close()
	front := httptest.NewServer(p)
	defer front.Close()
	done := make(chan int, 1)
	go func() {
		status, _, _ := (&testSystem{front: &testFront{URL: front.URL}}).do(t, "GET", "/safe/", nil)
		done <- status
	}()
	for p.Stats().Requests.Load() == 0 {
		time.Sleep(time.Millisecond) // no other event signals the arrival of the request
	}
	p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{ID: "e", Service: "s", Slots: 1, Address: server.Listener.Addr().String()}})
	p.SetPolicy(brpolicy.Compile(testPolicy()))
	if status := <-done; status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}
