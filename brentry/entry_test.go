package brentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"bramleyroute/brwire"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	http.DefaultTransport.(*http.Transport).DisableKeepAlives = true
	goleak.VerifyTestMain(m)
}

// Guards against responses that are incomplete or lack headers, and against messages
// to the scheduler in the wrong order.
func TestResponses(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, nil)
	id := newID(0)
	resp, body := f.complete(t, id, streamBody)
	if text, complete := streamText(t, body); !complete || text != brfake.Text(id, 0, 8) {
		t.Errorf("stream is %q, want the complete text", body)
	}
	want := map[string]string{brengine.HeaderRequestID: id, brengine.HeaderEntry: "entry-1", brengine.HeaderEndpoint: "e1", brengine.HeaderRevision: "7"}
	for k, v := range want {
		if resp.Header.Get(k) != v {
			t.Errorf("header %s is %q, want %q", k, resp.Header.Get(k), v)
		}
	}
	if d := <-f.dones; !d.OK || d.OutputTokens != 8 || d.PromptTokens != 4 || d.FirstToken <= 0 {
		t.Errorf("done message is %+v, want OK with 8 output tokens, 4 prompt tokens and a time of the first token", d)
	}
	if got := f.messageLog(); got != "submit started first_token done:ran" {
		t.Errorf("messages to the scheduler are %q, want submit, started, first_token, done:ran", got)
	}
	resp, body = f.complete(t, "", `{"model":"m","prompt":"a b","max_tokens":300}`)
	var c brengine.Chunk
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		t.Fatal(err)
	}
	if c.Choices[0].Text != brfake.Text(resp.Header.Get(brengine.HeaderRequestID), 0, 300) || c.Tokens != 300 || c.Usage.CompletionTokens != 300 {
		t.Errorf("response is %q, want the complete text of 300 tokens and their usage", body)
	}
}

// Guards against dispatching an ID twice, or an ID so old that its records may have
// been deleted, and against a refusal that doesn't name the field.
func TestRefusals(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{MaxBody: 2000}, nil)
	ran := newID(0)
	f.complete(t, ran, streamBody)
	for _, tt := range []struct {
		name, id, body, kind, field string
	}{
		{"not a UUID", "x", streamBody, "invalid_request", "request_id"},
		{"UUIDv4", "7d444840-9dc0-41d1-b245-5ffdce74fad2", streamBody, "invalid_request", "request_id"},
		{"upper case", strings.ToUpper(newID(0)), streamBody, "invalid_request", "request_id"},
		{"ahead", newID(-3 * time.Second), streamBody, "invalid_request", "request_id"},
		{"slightly ahead", newID(-time.Second), streamBody, "", ""},
		{"old", newID(11 * time.Minute), streamBody, "too_old", "request_id"},
		{"not so old", newID(9 * time.Minute), streamBody, "", ""},
		{"ran", ran, streamBody, "already_run", ""},
		{"unknown field", "", `{"model":"m","prompt":"a","temperature":1}`, "invalid_request", "temperature"},
		{"wrong type", "", `{"model":"m","prompt":7}`, "invalid_request", "prompt"},
		{"no prompt", "", `{"model":"m","prompt":" "}`, "invalid_request", "prompt"},
		{"no model", "", `{"prompt":"a"}`, "invalid_request", "model"},
		{"other model", "", `{"model":"n","prompt":"a"}`, "invalid_request", "model"},
		{"too many tokens", "", `{"model":"m","prompt":"a","max_tokens":5000}`, "invalid_request", "max_tokens"},
		{"trailing data", "", `{"model":"m","prompt":"a"} x`, "invalid_request", "body"},
		{"large body", "", `{"prompt":"` + strings.Repeat("a", 2000) + `"}`, "too_large", "body"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp, body := f.complete(t, tt.id, tt.body)
			if tt.kind == "" {
				if resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, want 200: %s", resp.StatusCode, body)
				}
				return
			}
			if kind, e := kindOf(t, body); kind != tt.kind || e.Field != tt.field {
				t.Errorf("response is %s, want kind %s, field %q", body, tt.kind, tt.field)
			}
		})
	}
	if n := f.fake.Counts().Requests[ran]; n != 1 {
		t.Errorf("request was dispatched %d times, want 1", n)
	}
}

// Guards against a refusal by the scheduler that reaches the caller without the status
// and the outcome of its kind, or with a Retry-After that isn't rounded up.
func TestSchedulerRefusal(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
		f.Random = func() float64 { return 1 }
		f.Submit = func(_ context.Context, s brwire.Submit) error {
			f.Refuse(brwire.Refuse{RequestID: s.RequestID, Epoch: 1, Error: *brerror.New(brerror.Overloaded, "full").WithRetryAfter(2 * time.Second)})
			return nil
		}
	})
	resp, body := f.complete(t, "", streamBody)
	kind, e := kindOf(t, body)
	if kind != "overloaded" || e.Outcome != "not_run" || e.RetryAfterMS != 2500 || resp.Header.Get("Retry-After") != "3" || resp.StatusCode != 429 {
		t.Errorf("response is %d %v %s, want 429, overloaded, not_run and a retry after 2.5 s, rounded up to 3 s in the header", resp.StatusCode, resp.Header, body)
	}
}

// Guards against a second dispatch, a wrong outcome and an incomplete response after
// each kind of endpoint or scheduler failure.
func TestEndpointFailures(t *testing.T) {
	closedAddress := brtest.FreeAddress(t)
	for _, tt := range []struct {
		name    string
		fake    brfake.Config
		prepare func(*fixture)
		kind    string
		log     string
	}{
		{"engine responds with 500", brfake.Config{Faults: map[string]brfake.Faults{"": {FailRate: 1}}}, nil,
			"endpoint_failed", "submit started done:unknown"},
		{"failing route", brfake.Config{Faults: map[string]brfake.Faults{"": {FailRoute: "draft"}}}, nil,
			"endpoint_failed", "submit started done:unknown"},
		{"engine aborts the response", brfake.Config{}, func(f *fixture) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					fmt.Fprintf(w, "data: {\"id\":%q,\"offset\":0,\"tokens\":1,\"choices\":[{\"text\":\"a\"}]}\n\n", r.Header.Get(brengine.HeaderRequestID))
					_ = http.NewResponseController(w).Flush()
				}
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(srv.Close)
			f.address = srv.Listener.Addr().String()
		}, "endpoint_failed", "submit started first_token done:unknown"},
		{"stuck", brfake.Config{Faults: map[string]brfake.Faults{"": {StuckRequest: "*", StuckAt: 2}}},
			func(f *fixture) { f.route.StuckMS = 300 }, "stuck", "submit started first_token done:unknown"},
		{"first token after the deadline", brfake.Config{StepBase: time.Minute},
			func(f *fixture) { f.route.DeadlineMS = 100 }, "deadline_exceeded", "submit started done:unknown"},
		{"refused connection, other endpoint", brfake.Config{}, func(f *fixture) {
			n := 0
			f.Submit = func(_ context.Context, s brwire.Submit) error {
				f.logMessage("submit")
				n++
				return f.grant(s, 1, []string{closedAddress, f.address}[n-1])
			}
		}, "", "submit done:not_run submit started first_token done:ran"},
		{"refused connections", brfake.Config{}, func(f *fixture) {
			f.Submit = func(_ context.Context, s brwire.Submit) error { return f.grant(s, 1, closedAddress) }
		}, "endpoint_unavailable", "done:not_run done:not_run done:not_run withdraw"},
		{"grant window passed", brfake.Config{}, func(f *fixture) {
			n := 0
			f.Submit = func(_ context.Context, s brwire.Submit) error {
				f.logMessage("submit")
				n++
				return f.Grant(brwire.Grant{RequestID: s.RequestID, Epoch: 1, Address: f.address, Window: time.Duration(n-1) * time.Second})
			}
		}, "", "submit done:not_run submit started first_token done:ran"},
		{"no scheduler at first", brfake.Config{}, func(f *fixture) {
			n := 0
			f.Submit = func(_ context.Context, s brwire.Submit) error {
				f.logMessage("submit")
				if n++; n == 1 {
					return brerror.New(brerror.NotOwner, "moved")
				}
				return f.grant(s, 1, f.address)
			}
		}, "", "submit submit started first_token done:ran"},
		{"refused by a scheduler that is not the owner", brfake.Config{}, func(f *fixture) {
			n := 0
			f.Submit = func(_ context.Context, s brwire.Submit) error {
				f.logMessage("submit")
				if n++; n == 1 {
					f.Refuse(brwire.Refuse{RequestID: s.RequestID, Error: *brerror.New(brerror.NotOwner, "moved")})
					return nil
				}
				return f.grant(s, 1, f.address)
			}
		}, "", "submit submit started first_token done:ran"},
		{"no grant before the deadline", brfake.Config{}, func(f *fixture) {
			f.route.DeadlineMS = 50
			f.Submit = func(context.Context, brwire.Submit) error { return nil }
		}, "queue_timeout", "withdraw"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, tt.fake, brentry.Config{}, tt.prepare)
			id := newID(0)
			_, body := f.complete(t, id, streamBody)
			if text, complete := streamText(t, body); tt.kind == "" && (!complete || text != brfake.Text(id, 0, 8)) {
				t.Errorf("response is %q, want the complete text", body)
			}
			if tt.kind != "" {
				if kind, _ := kindOf(t, body); kind != tt.kind {
					t.Errorf("response is %s, want kind %s", body, tt.kind)
				}
			}
			if got := f.messageLog(); got != tt.log {
				t.Errorf("messages to the scheduler are %q, want %q", got, tt.log)
			}
			if n := f.fake.Counts().Requests[id]; n > 1 {
				t.Errorf("request was dispatched %d times, want at most 1", n)
			}
		})
	}
}

// Guards against a connection without any traffic that truncates a response or causes
// a second dispatch. The stream must be resumed on a new connection.
func TestStalledConnection(t *testing.T) {
	f := newFixture(t, brfake.Config{StepBase: 5 * time.Millisecond}, brentry.Config{}, nil)
	id := newID(0)
	resp := f.open(t, context.Background(), http.MethodPost, brengine.PathCompletions, id, strings.Replace(streamBody, "8", "100", 1))
	first := make([]byte, 200)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	f.fake.SetFault(brfake.FaultRequest{Silence: true})
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if text, complete := streamText(t, string(first)+string(rest)); !complete || text != brfake.Text(id, 0, 100) {
		t.Errorf("complete %t, text %q, want the complete text of 100 tokens", complete, text)
	}
	if c := f.fake.Counts(); c.Requests[id] != 1 || c.Resumes != 1 {
		t.Errorf("counts are %+v, want 1 dispatch and 1 resume", c)
	}
}

// Guards against canceling a request whose caller resumes it through another entry, and
// against an engine that goes on for a caller that has disconnected and doesn't resume.
func TestCallerDisconnects(t *testing.T) {
	a := newFixture(t, brfake.Config{StepBase: 2 * time.Millisecond}, brentry.Config{DisconnectGrace: 100 * time.Millisecond}, nil)
	b := newFixture(t, brfake.Config{}, brentry.Config{EntryID: "entry-2"}, func(b *fixture) {
		b.Locate = func(_ context.Context, l brwire.Locate) (brwire.LocateReply, error) {
			return brwire.LocateReply{Found: true, EntryID: "entry-1", EndpointID: "e1", Address: a.address, Customer: "trust"}, nil
		}
		b.SendAttach = func(_ context.Context, entryID string, m brwire.Attach) error { a.Attach(m); return nil }
	})
	disconnect := func(id string) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp := a.open(t, ctx, http.MethodPost, brengine.PathCompletions, id, strings.Replace(streamBody, "8", "300", 1))
		if _, err := io.ReadFull(resp.Body, make([]byte, 300)); err != nil {
			t.Fatal(err)
		}
	}
	id := newID(0)
	disconnect(id)
	resp := b.open(t, context.Background(), http.MethodGet, brengine.PathRequests+id+"?offset=1", "", "")
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if text, complete := streamText(t, string(body)); !complete || text != brfake.Text(id, 1, 300) {
		t.Errorf("resumed response: complete %t, %.200q, want the complete text of tokens 1 to 299", complete, body)
	}
	if d := <-a.dones; !d.OK {
		t.Errorf("resumed request ended with %+v, want OK", d)
	}
	id = newID(0)
	disconnect(id)
	if d := <-a.dones; d.Kind != brerror.Canceled {
		t.Errorf("abandoned request ended with %+v, want kind canceled", d)
	}
	a.client.Close()
	if c := a.fake.Counts(); c.Canceled != 1 || c.PrefillWasted != 4 || c.Requests[id] != 1 {
		t.Errorf("counts are %+v, want 1 canceled request, 4 wasted prefill tokens and 1 dispatch", c)
	}
}

// Guards against a customer that reads the response to another customer's request.
func TestResumeOfAnotherCustomer(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
		f.Locate = func(context.Context, brwire.Locate) (brwire.LocateReply, error) {
			return brwire.LocateReply{Found: true, Address: f.address, Customer: "barajas"}, nil
		}
	})
	resp := f.open(t, context.Background(), http.MethodGet, brengine.PathRequests+newID(0), "", "")
	body, _ := io.ReadAll(resp.Body)
	if kind, _ := kindOf(t, string(body)); kind != "unknown_request" {
		t.Errorf("response is %s, want kind unknown_request", body)
	}
}

func Example() {
	rec := httptest.NewRecorder()
	var cleanups []func()
	f := newFixture(exampleTB{cleanups: &cleanups}, brfake.Config{}, brentry.Config{}, nil)
	defer func() { cleanups[0]() }()
	req := httptest.NewRequest(http.MethodPost, brengine.PathCompletions, strings.NewReader(`{"prompt":"hello","model":"m","max_tokens":2}`))
	req.Header.Set("Authorization", "Bearer k")
	f.Handler().ServeHTTP(rec, req)
	var c brengine.Chunk
	_ = json.Unmarshal(rec.Body.Bytes(), &c)
	fmt.Println(rec.Code, c.Tokens, c.Choices[0].FinishReason)
	// Output: 200 2 length
}

// exampleTB is a testing.TB that collects the cleanup functions of a fixture in an
// example.
type exampleTB struct {
	testing.TB
	cleanups *[]func()
}

func (exampleTB) Helper()            {}
func (e exampleTB) Cleanup(c func()) { *e.cleanups = append(*e.cleanups, c) }
