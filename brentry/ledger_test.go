package brentry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
)

const booking = brengine.PathServices + "m/rooms/7?night=1"

// book sends a booking and returns the response and its body.
func (f *fixture) book(tb testing.TB, id string) (*http.Response, string) {
	tb.Helper()
	resp := f.open(tb, context.Background(), http.MethodPut, booking, id, "two guests")
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return resp, string(b)
}

// Guards against a booking that runs twice or without a ledger record, and against a
// resend that gets a different response.
func TestLedger(t *testing.T) {
	l := &ledger{}
	f := newFixture(t, brfake.Config{Kind: brwire.KindService}, brentry.Config{}, l.attach)
	id := newID(time.Hour)
	resp, first := f.book(t, id)
	var a brfake.CallResponse
	if err := json.Unmarshal([]byte(first), &a); err != nil {
		t.Fatal(err)
	}
	if a.Method != http.MethodPut || a.Path != "/rooms/7" || a.Body != "two guests" || a.Run != 1 || resp.Header.Get(brengine.HeaderEndpoint) != "e1" {
		t.Errorf("response is %v %s, want the call as it was sent, run once at e1", resp.Header, first)
	}
	for _, want := range []string{"begin", "finish"} {
		if got := <-l.log; got != want {
			t.Errorf("commit %s, want %s", got, want)
		}
	}
	if _, again := f.book(t, id); again != first {
		t.Errorf("resend got %s, want the first response %s", again, first)
	}
	if n := f.fake.Counts().Requests[id]; n != 1 {
		t.Errorf("service was called %d times, want 1", n)
	}
	if got := f.messageLog(); got != "submit begin started done:ran finish" && got != "submit begin started finish done:ran" {
		t.Errorf("messages are %q, want submit, begin, started, then finish and done:ran in either order", got)
	}
}

// Guards against reporting that a booking did not run when it may have, and against a
// ledger record that blocks the retry of a booking that was never sent.
func TestLedgerFailures(t *testing.T) {
	for _, tt := range []struct {
		name    string
		fake    brfake.Config
		prepare func(*fixture, *ledger, string)
		kind    string
		commits []string
	}{
		{"record of another entry", brfake.Config{}, func(_ *fixture, l *ledger, id string) {
			l.states[id] = brentry.LedgerState{Begun: true, Customer: "trust"}
		}, "unknown_outcome", nil},
		{"record of another entry, not seen before the grant", brfake.Config{}, func(f *fixture, l *ledger, id string) {
			l.states[id] = brentry.LedgerState{Begun: true, Customer: "trust"}
			f.LedgerLookup = nil
		}, "unknown_outcome", []string{"begin"}},
		{"response stored for another customer", brfake.Config{}, func(_ *fixture, l *ledger, id string) {
			l.states[id] = brentry.LedgerState{Finished: true, Customer: "barajas"}
		}, "unknown_outcome", nil},
		{"begin fails, release is retried", brfake.Config{}, func(_ *fixture, l *ledger, _ string) { l.fail = 3 },
			"ledger_unavailable", []string{"release"}},
		{"never sent", brfake.Config{}, func(f *fixture, _ *ledger, _ string) {
			f.Submit = func(_ context.Context, s brwire.Submit) error { return f.grant(s, 1, "127.0.0.1:1") }
		}, "endpoint_unavailable", []string{"begin", "release"}},
		{"no response in time", brfake.Config{ServiceLatency: time.Minute}, func(f *fixture, _ *ledger, _ string) { f.route.StuckMS = 100 },
			"stuck", []string{"begin"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, id := &ledger{}, newID(0)
			tt.fake.Kind = brwire.KindService
			f := newFixture(t, tt.fake, brentry.Config{}, func(f *fixture) { l.attach(f); tt.prepare(f, l, id) })
			_, body := f.book(t, id)
			if kind, _ := kindOf(t, body); kind != tt.kind {
				t.Errorf("response is %s, want kind %s", body, tt.kind)
			}
			for _, want := range tt.commits {
				if got := <-l.log; got != want {
					t.Errorf("commit %s, want %s", got, want)
				}
			}
			if n := f.fake.Counts().Requests[id]; tt.kind != "stuck" && n != 0 {
				t.Errorf("service was called %d times, want 0", n)
			}
		})
	}
}

// Guards against a drain that truncates a response in progress, accepts new requests,
// or waits for a stuck stream.
func TestDrain(t *testing.T) {
	f := newFixture(t, brfake.Config{StepBase: 10 * time.Millisecond, Faults: map[string]brfake.Faults{"": {StuckRequest: "*", StuckAt: 1}}},
		brentry.Config{DrainStuckTimeout: 400 * time.Millisecond}, nil)
	open := func() *http.Response {
		return f.open(t, context.Background(), http.MethodPost, brengine.PathCompletions, "", `{"model":"m","prompt":"a","max_tokens":80,"stream":true}`)
	}
	stuck := open() // returns with the first token
	f.fake.SetFault(brfake.FaultRequest{})
	slow := open()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.Drain(canceled); err == nil {
		t.Fatal("Drain returned nil although requests are in progress")
	}
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	rec := httptest.NewRecorder()
	if f.ReadinessHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil)); rec.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness status is %d, want 503", rec.Code)
	}
	rec = httptest.NewRecorder()
	if f.HealthHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil)); rec.Code != http.StatusOK {
		t.Errorf("health status is %d, want 200", rec.Code)
	}
	resp, body := f.complete(t, "", streamBody)
	if kind, _ := kindOf(t, body); kind != "shutting_down" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response is %v %s, want kind shutting_down and a Retry-After header", resp.Header, body)
	}
	b, _ := io.ReadAll(slow.Body)
	if text, complete := streamText(t, string(b)); !complete || text != brfake.Text(slow.Header.Get(brengine.HeaderRequestID), 0, 80) {
		t.Errorf("response of the slow stream is %q, want the complete text of 80 tokens", b)
	}
	b, _ = io.ReadAll(stuck.Body)
	if kind, _ := kindOf(t, string(b)); kind != "stuck" {
		t.Errorf("response of the stuck stream is %q, want kind stuck", b)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
