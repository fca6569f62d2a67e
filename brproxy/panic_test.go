package brproxy

import (
	"net/http"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brtest"
)

// TestPanicIsAnswered guards against a request that gets neither a response nor a log entry
// because of a panic, and against a daemon that serves nobody after it.
func TestPanicIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name     string
		arm      func(c *Config) (disarm func()) // makes the next request panic
		path     string
		status   int
		complete bool
	}{
		{"header of the caller", func(c *Config) func() {
			c.Dialect.Decode = func(*http.Request) (CallParams, error) { panic("decode") }
			return func() { c.Dialect.Decode = testDialect.Decode }
		}, "/safe/", http.StatusInternalServerError, true},
		{"placement", func(c *Config) func() {
			c.SelectVersion = func(string, string) (string, string) { panic("select") }
			return func() { c.SelectVersion = nil }
		}, "/safe/", http.StatusInternalServerError, true},
		{"header to the endpoint", func(c *Config) func() {
			c.Dialect.EncodeHeader = func(http.Header, DispatchParams) http.Header { panic("encode") }
			return func() { c.Dialect.EncodeHeader = testDialect.EncodeHeader }
		}, "/safe/", http.StatusInternalServerError, true},
		{"response of the endpoint", func(c *Config) func() {
			c.Dialect.NotRun = func(*brconn.Response) bool { panic("not run") }
			return func() { c.Dialect.NotRun = testDialect.NotRun }
		}, "/resume/", http.StatusInternalServerError, true},
		{"after a response", func(c *Config) func() {
			c.OnFirstByte = func(time.Duration) { panic("first byte") }
			return func() { c.OnFirstByte = nil }
		}, "/resume/", http.StatusOK, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSystem(t, respond(200, "", event(1)))
			disarm := test.arm(&s.proxy.cfg)
			status, _, complete := s.do(t, "POST", test.path, nil)
			if complete != test.complete || complete && status != test.status {
				t.Errorf("status %d, complete %v, want %d and %v", status, complete, test.status, test.complete)
			}
			if n := len(s.log.entries(t, "panic while serving a request")); n != 1 {
				t.Errorf("%d log entries, want 1", n)
			}
			for _, u := range s.proxy.PlacementReport(time.Minute) {
				if u.Active != 0 {
					t.Errorf("%d requests are counted at the endpoint, want none", u.Active)
				}
			}
			disarm()
			answered := make(chan int, 1)
			go func() {
				status, _, _ := s.do(t, "POST", "/safe/", nil)
				answered <- status
			}()
			brtest.Await(t, 2*time.Second, "next request is answered", func() bool { return len(answered) == 1 })
			if status := <-answered; status != http.StatusOK {
				t.Errorf("next request: status %d, want 200", status)
			}
		})
	}
}

// TestPanicInSearch guards against a panic that ends the process because it occurs while a
// successor is sought or sent, outside of the goroutine of the request.
func TestPanicInSearch(t *testing.T) {
	for _, test := range []struct {
		name string
		arm  func(c *Config, searching func() bool)
	}{
		{"placement", func(c *Config, searching func() bool) {
			c.SelectVersion = func(string, string) (string, string) {
				if searching() {
					panic("select")
				}
				return "", ""
			}
		}},
		{"header to the successor", func(c *Config, searching func() bool) {
			c.Dialect.EncodeHeader = func(in http.Header, d DispatchParams) http.Header {
				if searching() {
					panic("encode")
				}
				return testDialect.EncodeHeader(in, d)
			}
		}},
		{"response of the successor", func(c *Config, _ func() bool) {
			c.Dialect.NotRun = func(a *brconn.Response) bool {
				if a.Header.Get("Not-Run") != "" {
					panic("not run")
				}
				return false
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSilentSystem(t, silentBetween(silence, "", event(1)), respond(http.StatusServiceUnavailable, "Not-Run", "full"))
			s.preferFirst()
			test.arm(&s.proxy.cfg, func() bool { return s.endpoints[0].arrivals() > 0 })
			status, body, complete := s.do(t, "POST", "/resume/", nil)
			if status != http.StatusOK || body != event(1) || !complete {
				t.Errorf("status %d, body %q, complete %v, want 200, the event and true", status, body, complete)
			}
			if n := len(s.log.entries(t, "panic while seeking another endpoint")); n == 0 {
				t.Error("no log entry, want one")
			}
			for id, u := range s.proxy.PlacementReport(time.Minute) {
				if u.Active != 0 {
					t.Errorf("%d requests are counted at endpoint %s, want none", u.Active, id)
				}
			}
		})
	}
}
