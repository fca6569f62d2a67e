package brproxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"bramleyroute/brconn"
	"bramleyroute/brlimit"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"
)

// respondHeader returns a handler that sends a fixed response with the given header
// fields.
func respondHeader(status int, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, "id: 1\n\n")
	}
}

// TestLeavingResponse guards against overlooking that an endpoint says in a response
// that it is leaving, whatever the response is, and against blaming the endpoint that
// was meant if another one at the address says so.
func TestLeavingResponse(t *testing.T) {
	resumed := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			w.Header().Set("Leaving", "1")
			io.WriteString(w, "id: 2\n\n")
			return
		}
		truncate("id: 1\n\n")(w, r)
	}
	for _, test := range []struct {
		name, path string
		handler    http.HandlerFunc
		want       []string
	}{
		{"not leaving", "/never/", respondHeader(200), nil},
		{"call", "/never/", respondHeader(200, "Leaving", "1"), []string{"e0"}},
		{"failed call", "/never/", respondHeader(500, "Leaving", "1"), []string{"e0"}},
		{"stream", "/stream/", respondHeader(200, "Leaving", "1"), []string{"e0"}},
		{"retried call", "/safe/", respondHeader(500, "Leaving", "1"), []string{"e0", "e1"}},
		{"full", "/never/", respondHeader(503, "Leaving", "1", "Not-Run", "1"), []string{"e0", "e1"}},
		{"resumed stream", "/resume/", resumed, []string{"e1"}},
		{"other endpoint at the address", "/once/", respondHeader(http.StatusMisdirectedRequest, "Leaving", "1", "Not-Run", "1"), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			var got []string
			p := New(Config{
				Dialect: testDialect, Pool: &brconn.Pool{}, FailureDomain: "z", Log: zerolog.Nop(),
				OnLeaving: func(e brplace.Endpoint) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, e.ID)
				},
			})
			defer p.Close()
			p.SetPolicy(brpolicy.Compile(testPolicy()))
			for i := range 2 {
				server := httptest.NewServer(test.handler)
				defer server.Close()
				zone := "z"
				if i > 0 {
					zone = "far" // e0 is preferred
				}
				p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
					ID: fmt.Sprint("e", i), Service: "s", Zone: zone, Address: server.Listener.Addr().String(), Slots: 4,
				}})
			}
			r := httptest.NewRequest("POST", test.path, nil)
			r.Host = "h"
			r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
			p.ServeHTTP(httptest.NewRecorder(), r)
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPauseOfEndpoint guards against sending more requests to an endpoint that has
// rejected one with Retry-After, and against holding the callers until it ends.
func TestPauseOfEndpoint(t *testing.T) {
	s := newSystem(t, respondHeader(503, "Not-Run", "1", "Retry-After", "60"))
	for range 5 {
		if status, _, _ := s.do(t, "POST", "/never/", nil); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	}
	if n := s.arrivals(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1, the one before its pause", n)
	}
	for _, value := range []string{"0", "-5", "soon"} {
		s := newSystem(t, respondHeader(503, "Not-Run", "1", "Retry-After", value))
		s.do(t, "POST", "/once/", nil)
		s.do(t, "POST", "/once/", nil)
		if n := s.arrivals(); n != 2 {
			t.Errorf("Retry-After %q: %d requests reached the endpoint, want 2", value, n)
		}
	}
}

// TestStatedLimits guards against overlooking a limit in a response of any kind, against a
// value that can't be read and changes a limit, and against a rejection that isn't
// published.
func TestStatedLimits(t *testing.T) {
	none, brittle := brlimit.Limit{}, brlimit.Limit{Brittle: true, RejectionLimit: 2}
	both := brlimit.Limit{Limited: true, Rate: 1e6, Brittle: true, RejectionLimit: 2}
	for _, test := range []struct {
		name          string
		status        int
		first, second []string // header fields of the two responses
		want          []brplace.LimitLearned
	}{
		{"none", 200, nil, nil, nil},
		{"stated", 200, []string{"Rejections", "2"}, []string{"Rejections", "2"}, []brplace.LimitLearned{{Limit: brittle}}},
		{"failed call", 500, []string{"Rejections", "2"}, []string{"Rejections", "2"}, []brplace.LimitLearned{{Limit: brittle}}},
		{"lifted", 200, []string{"Rejections", "2"}, nil, []brplace.LimitLearned{{Limit: brittle}, {Limit: none}}},
		{"no number", 200, []string{"Rejections", "2"}, []string{"Rejections", "few"}, []brplace.LimitLearned{{Limit: brittle}}},
		{"rate no number", 200, []string{"Rejections", "2"}, []string{"Rejections", "2", "Limit", "NaN"}, []brplace.LimitLearned{{Limit: brittle}}},
		{"one no number", 200, []string{"Rejections", "2"}, []string{"Rejections", "-", "Limit", "1e6"}, []brplace.LimitLearned{{Limit: brittle}, {Limit: both}}},
		{"rejected", 503, []string{"Rejections", "2", "Not-Run", "1"}, nil, []brplace.LimitLearned{{Limit: brittle, Rejected: true}, {Limit: none}}},
		{"rejected, not brittle", 503, []string{"Not-Run", "1"}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			var got []brplace.LimitLearned
			p := New(Config{
				Dialect: testDialect, Pool: &brconn.Pool{}, FailureDomain: "z", Log: zerolog.Nop(),
				OnLimit: func(l brplace.LimitLearned) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, l)
				},
			})
			defer p.Close()
			p.SetPolicy(brpolicy.Compile(testPolicy()))
			fields := test.first
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				respondHeader(test.status, fields...)(w, r)
			}))
			defer server.Close()
			p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
				ID: "e", Service: "s", Zone: "z", Address: server.Listener.Addr().String(), Slots: 4,
			}})
			for range 2 {
				r := httptest.NewRequest("POST", "/never/", nil)
				r.Host = "h"
				r.Header = http.Header{"Id": {"1"}, "Key": {"k"}}
				p.ServeHTTP(httptest.NewRecorder(), r)
				fields = test.second
			}
			mu.Lock()
			defer mu.Unlock()
			ignore := cmpopts.IgnoreFields(brplace.LimitLearned{}, "ID", "Born", "SentAt")
			if diff := cmp.Diff(test.want, got, ignore); diff != "" {
				t.Error(diff)
			}
		})
	}
}
