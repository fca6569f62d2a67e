package brentry_test

import (
	"context"
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
)

// TestCutAnswer guards against an answer of an engine or a service that breaks off in its
// head or body, can't be resumed, and reaches the caller as a complete one or as a promise
// that the request hasn't run.
func TestCutAnswer(t *testing.T) {
	const (
		step          = 19 // bytes between two cuts
		servicePath   = brengine.PathServices + "m/x"
		completeBody  = `{"model":"m","prompt":"write to the host","max_tokens":8}`
		serviceAnswer = "whole content"
	)
	id := newID(0)
	content := chunkEvent(t, id, 0, 4, "") + chunkEvent(t, id, 4, 8, "length") + "data: " + brengine.DoneMarker + "\n\n"
	for _, test := range []struct {
		name, path, body string
		responses        []brtest.SoundResponse
	}{
		{"stream", brengine.PathCompletions, streamBody, brtest.SoundResponses("Content-Type: text/event-stream\r\n", content)},
		{"completion", brengine.PathCompletions, completeBody, brtest.SoundResponses("Content-Type: text/event-stream\r\n", content)},
		{"service", servicePath, "x", brtest.SoundResponses("Content-Type: text/plain\r\n", serviceAnswer)},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, r := range test.responses {
				for sent := len(r.String()); sent >= 0; sent -= step {
					for _, ending := range []brtest.Ending{brtest.Closed, brtest.Reset} {
						part := r.String()[:sent]
						whole := sent == len(r.String()) || strings.Contains(part, brengine.DoneMarker+"\n") ||
							test.path == servicePath && r.Close && ending == brtest.Closed && sent > len(r.Head)
						if whole && ending == brtest.Reset {
							continue // the reset may discard a part
						}
						status, body := playCut(t, test.path, id, test.body, brtest.CutHandler(t, part, ending))
						if wrong := checkCut(t, id, test.name == "stream", whole, status, body); wrong != "" {
							t.Errorf("%s, %v after %q: %s; status %d, body %q", r.Name, ending, part, wrong, status, body)
						}
					}
				}
			}
		})
	}
}

// playCut sends a request to an entry whose endpoint answers it with answer and knows of no
// request to resume.
func playCut(t *testing.T, path, id, body string, answer http.HandlerFunc) (status int, got string) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		answer(w, r)
	}))
	defer endpoint.Close()
	f := newFixture(t, brfake.Config{}, brentry.Config{}, func(f *fixture) {
		f.client.ResumeAttempts, f.client.DialTimeout = 1, 10*time.Second
		f.Submit = func(_ context.Context, s brwire.Submit) error {
			return f.grant(s, 1, endpoint.Listener.Addr().String())
		}
	})
	resp := f.open(t, t.Context(), http.MethodPost, path, id, body)
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// checkCut returns what is wrong with the response to a request whose answer was cut, or was
// whole.
func checkCut(t *testing.T, id string, stream, whole bool, status int, body string) string {
	if stream && status == http.StatusOK {
		chunks, _, failed := strings.Cut(body, "event: error\n")
		text, complete := streamText(t, chunks)
		if complete != whole || failed == whole || !strings.HasPrefix(brfake.Text(id, 0, 8), text) || whole && text != brfake.Text(id, 0, 8) {
			return "want the tokens of the answer, and the end marker only if it is whole"
		}
	}
	switch {
	case !stream && (status == http.StatusOK) != whole:
		return "want a success only if the answer is whole"
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return "want no promise"
	case whole:
		return ""
	}
	if _, e := kindOf(t, body); e.Outcome == brerror.NotRun.String() {
		return "want another outcome than not_run"
	}
	return ""
}
