package brproxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"

	"github.com/rs/zerolog"
)

var testDialect = Dialect{
	Decode: func(r *http.Request) (CallParams, error) {
		c := CallParams{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last-Event-Id"), PromptParts: r.Header.Values("Part")}
		if ms, err := strconv.Atoi(r.Header.Get("Deadline")); err == nil {
			c.Deadline = time.Duration(ms) * time.Millisecond
		}
		return c, nil
	},
	EncodeHeader: func(in http.Header, d DispatchParams) http.Header {
		h := brheader.EndToEnd(in)
		h.Del("Key")
		h.Set("Endpoint", d.Endpoint)
		h.Set("Customer", d.Customer)
		h.Set("Left", strconv.FormatInt(d.Timeout.Milliseconds(), 10))
		if d.LastEventID != "" {
			h.Set("Last-Event-Id", d.LastEventID)
		}
		return h
	},
	NotRun:      func(a *brconn.Response) bool { return a.Header.Get("Not-Run") != "" },
	Misdirected: func(a *brconn.Response) bool { return a.Status == http.StatusMisdirectedRequest },
	Leaving:     func(a *brconn.Response) bool { return a.Header.Get("Leaving") != "" },
	RateLimit:   func(a *brconn.Response) (float64, bool, error) { return brheader.RateLimit(a.Header.Values("Limit")) },
	RejectionLimit: func(a *brconn.Response) (int, bool, error) {
		return brheader.RejectionLimit(a.Header.Values("Rejections"))
	},
}

// fakeEndpoint records the headers of its requests and responds with a function.
type fakeEndpoint struct {
	mu      sync.Mutex
	headers []http.Header
	handler http.HandlerFunc
	server  *httptest.Server
	address string
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.headers = append(e.headers, r.Header.Clone())
	e.mu.Unlock()
	e.handler(w, r)
}

func (e *fakeEndpoint) arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.headers)
}

// testSystem is a proxy in front of fake endpoints with the IDs e0, e1 and so on.
type testSystem struct {
	proxy     *Proxy
	front     *testFront
	endpoints []*fakeEndpoint
	log       *logRecorder
}

// testFront is the address at which a proxy serves callers.
type testFront struct{ URL string }

// Address returns the host and port of f.
func (f *testFront) Address() string { return strings.TrimPrefix(f.URL, "http://") }

// logRecorder records log lines.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// entries returns the lines with the given message.
func (l *logRecorder) entries(t *testing.T, message string) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for _, line := range l.lines {
		var entry map[string]any
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry["message"] == message {
			found = append(found, entry)
		}
	}
	return found
}

func testPolicy() brpolicy.Policy {
	route := func(name string, retryMode brpolicy.RetryMode, attempts int, stream bool) brpolicy.Route {
		return brpolicy.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", RetryMode: retryMode, MaxAttempts: attempts, Stream: stream,
			Timeout: 3 * time.Second, FirstByteTarget: 100 * time.Millisecond, Targets: []brpolicy.Target{{Service: "s", Weight: 1}},
		}
	}
	return brpolicy.Policy{
		Version: 1, Services: []brpolicy.Service{{Name: "s"}},
		Routes: []brpolicy.Route{
			route("safe", brpolicy.SafeToRetry, 2, false), route("never", brpolicy.NeverRetry, 2, false),
			route("once", brpolicy.NeverRetry, 1, false), route("stream", brpolicy.NeverRetry, 2, true),
			route("resume", brpolicy.Resumable, 2, true),
		},
		Customers: []brpolicy.Customer{
			{Name: "c", Keys: []string{"k"}},
			{Name: "limited", Keys: []string{"l"}, Rate: 0.001, Burst: 1},
		},
	}
}

func newSystem(t *testing.T, handlers ...http.HandlerFunc) *testSystem {
	t.Helper()
	s := &testSystem{log: &logRecorder{}}
	s.proxy = New(Config{Dialect: testDialect, Pool: &brconn.Pool{}, FailureDomain: "z", Log: zerolog.New(s.log)})
	s.proxy.SetPolicy(brpolicy.Compile(testPolicy()))
	for i, handler := range handlers {
		e := &fakeEndpoint{handler: handler}
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		e.server, e.address = server, server.Listener.Addr().String()
		s.endpoints = append(s.endpoints, e)
		s.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Address: e.address, Slots: 4,
		}})
	}
	t.Cleanup(s.proxy.Close)
	s.front = &testFront{URL: "http://" + s.serve(t)}
	return s
}

func (s *testSystem) arrivals() int {
	n := 0
	for _, e := range s.endpoints {
		n += e.arrivals()
	}
	return n
}

// do sends a request and returns the status, the body and whether the response was
// complete.
func (s *testSystem) do(t *testing.T, method, path string, header map[string]string) (status int, body string, complete bool) {
	t.Helper()
	r, err := http.NewRequest(method, s.front.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err == nil
}

// respond returns a handler that sends a fixed response, with the given header field
// set to 1 unless it is empty.
func respond(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// truncate returns a handler that closes the connection after part of the response.
func truncate(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if part != "" {
			io.WriteString(w, part)
			http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}
