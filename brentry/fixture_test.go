package brentry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconfig"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

const pool = "m@local"

// fixture is an entry with one fake endpoint and a fake scheduler that grants at once.
type fixture struct {
	*brentry.Entry
	client  *brdispatch.Client
	fake    *brfake.Endpoint
	address string // of the fake
	url     string // of the entry
	route   brconfig.Route
	dones   chan brwire.Done
	submits chan brwire.Submit

	mu  sync.Mutex
	log []string // messages to the scheduler and the ledger, in order
}

// messageLog returns the logged messages, separated by spaces.
func (f *fixture) messageLog() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.log, " ")
}

// logMessage appends s to the log of messages.
func (f *fixture) logMessage(s string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, s)
}

// grant grants s an endpoint at address, with a window of 500 ms.
func (f *fixture) grant(s brwire.Submit, epoch uint64, address string) error {
	return f.Grant(brwire.Grant{RequestID: s.RequestID, Epoch: epoch, EndpointID: "e1", Address: address, Window: 500 * time.Millisecond})
}

// newFixture starts an engine and an entry. prepare, if not nil, may change the fixture
// before the entry serves.
func newFixture(tb testing.TB, fc brfake.Config, ec brentry.Config, prepare func(*fixture)) *fixture {
	tb.Helper()
	fc.Model, fc.EndpointID = "m", "e1"
	if fc.Kind == "" {
		fc.Kind = brwire.KindEngine
	}
	f := &fixture{fake: brfake.New(fc), dones: make(chan brwire.Done, 1<<16), submits: make(chan brwire.Submit, 1<<16),
		client: &brdispatch.Client{StallTimeout: 600 * time.Millisecond, ResumeBackoff: time.Millisecond},
		route:  brconfig.Route{Name: "draft", Model: "m", Tier: 3, DeadlineMS: 5000}}
	engine := httptest.NewUnstartedServer(f.fake.Handler())
	engine.Config.ConnContext = f.fake.ConnContext
	engine.Start()
	f.address = engine.Listener.Addr().String()
	ec.EntryID, ec.Region = or(ec.EntryID, "entry-1"), "local"
	f.Entry = brentry.New(ec, brclock.System{}, f.client)
	f.Resolve = func(key, _, _ string) (brentry.Admission, error) {
		if key != "k" {
			return brentry.Admission{}, brerror.New(brerror.Unauthorized, "unknown key")
		}
		return brentry.Admission{Customer: "trust", Route: f.route, Revision: 7}, nil
	}
	f.Submit = func(_ context.Context, s brwire.Submit) error {
		f.logMessage("submit")
		f.submits <- s
		return f.grant(s, 1, f.address)
	}
	f.Withdraw = func(string, brwire.Withdraw) { f.logMessage("withdraw") }
	f.Started = func(string, brwire.Started) { f.logMessage("started") }
	f.FirstToken = func(string, brwire.FirstToken) { f.logMessage("first_token") }
	f.Done = func(_ string, d brwire.Done) { f.logMessage("done:" + d.Outcome.String()); f.dones <- d }
	if prepare != nil {
		prepare(f)
	}
	srv := httptest.NewServer(f.Handler())
	f.url = srv.URL
	tb.Cleanup(func() {
		srv.CloseClientConnections()
		f.fake.Close()
		srv.Close()
		engine.Close()
		f.Close()
	})
	return f
}

// or returns v, or fallback if v is the zero value.
func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// newID returns a request ID that was created age ago.
func newID(age time.Duration) string {
	u := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(-age).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// open sends a request to the entry and returns the response with its body unread.
func (f *fixture) open(tb testing.TB, ctx context.Context, method, path, id, body string) *http.Response {
	tb.Helper()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer k")
	if id != "" {
		req.Header.Set(brengine.HeaderRequestID, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const streamBody = `{"model":"m","prompt":"write to the host","max_tokens":8,"stream":true}`

// complete sends a completion and returns the response and its body.
func (f *fixture) complete(tb testing.TB, id, body string) (*http.Response, string) {
	tb.Helper()
	resp := f.open(tb, context.Background(), http.MethodPost, brengine.PathCompletions, id, body)
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return resp, string(b)
}

// kindOf returns the error in a response body, or in the last event of a stream, and
// its kind.
func kindOf(tb testing.TB, body string) (string, brengine.ErrorBody) {
	tb.Helper()
	if _, event, ok := strings.Cut(body, "event: error\ndata: "); ok {
		body = event
	}
	var e brengine.Error
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		tb.Fatalf("%v: %q", err, body)
	}
	return e.Error.Kind, e.Error
}

// streamText returns the text of a stream and reports whether it has the end marker.
func streamText(tb testing.TB, body string) (text string, complete bool) {
	tb.Helper()
	for sc := bufio.NewScanner(strings.NewReader(body)); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || strings.HasPrefix(data, `{"error"`) {
			continue
		}
		if data == brengine.DoneMarker {
			return text, true
		}
		var c brengine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			tb.Fatal(err)
		}
		text += c.Choices[0].Text
	}
	return text, false
}
