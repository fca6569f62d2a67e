package brentry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"bramleyroute/brwire"
)

// chunkEvent returns the event of a chunk of a request with the tokens first to last.
func chunkEvent(t *testing.T, id string, first, last int, finish string) string {
	t.Helper()
	c := brengine.Chunk{ID: id, Offset: first, Tokens: last - first, Choices: []brengine.Choice{{Text: brfake.Text(id, first, last), FinishReason: finish}}}
	if finish != "" {
		c.Usage = &brengine.Usage{CompletionTokens: last}
	}
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return "data: " + string(b) + "\n\n"
}

// TestAnswerToResume guards against bytes of another answer in a stream that the endpoint
// broke off, and against a stream that looks complete since that answer did: the caller
// gets an error event of the entry after the tokens, and no end marker.
func TestAnswerToResume(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	id := newID(0)
	begun, rest := chunkEvent(t, id, 0, 4, ""), chunkEvent(t, id, 4, 8, "length")
	done := "data: " + brengine.DoneMarker + "\n\n"
	for _, test := range []struct {
		name, second string
		complete     bool
	}{
		{"goes on", head + rest + done, true},
		{"starts again", head + begun + rest + done, true},
		{"failure", "HTTP/1.1 500 Failed\r\nContent-Length: 13\r\n\r\nout of memory", false},
		{"failure that looks like a stream", strings.Replace(head, "200 OK", "500 Failed", 1) + rest + done, false},
		{"object", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"a\":1}\n\n", false},
		{"object as data", head + "data: {\"a\":1}\n\n" + done, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", false},
		{"full", "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull", false},
		{"misdirected", "HTTP/1.1 421 Misdirected\r\nContent-Length: 5\r\n\r\nother", false},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 4\r\n\r\nmove", false},
		{"only the end marker", head + done, false},
		{"breaks off before a chunk", head, false},
		{"of another request", head + strings.ReplaceAll(rest, id, newID(0)) + done, false},
		{"leaves out tokens", head + chunkEvent(t, id, 6, 8, "length") + done, false},
		{"no answer in the protocol", "out of memory\n\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.Method {
				case http.MethodPost:
					brtest.RawHandler(t, head+begun+rest[:20])(w, r)
				case http.MethodGet:
					brtest.RawHandler(t, test.second)(w, r)
				}
			}))
			defer engine.Close()
			f := newFixture(t, brfake.Config{StepBase: time.Millisecond}, brentry.Config{}, func(f *fixture) {
				f.Submit = func(_ context.Context, s brwire.Submit) error { return f.grant(s, 1, engine.Listener.Addr().String()) }
			})
			resp, body := f.complete(t, id, streamBody)
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d, want 200", resp.StatusCode)
			}
			if test.complete {
				if text, complete := streamText(t, body); text != brfake.Text(id, 0, 8) || !complete {
					t.Errorf("text %q, complete %v, want the whole text and true", text, complete)
				}
				return
			}
			chunks, event, failed := strings.Cut(body, "event: error\ndata: ")
			if text, complete := streamText(t, chunks); text != brfake.Text(id, 0, 4) || complete {
				t.Errorf("text %q before the error, complete %v, want the first tokens and false", text, complete)
			}
			if !failed || strings.Count(event, "\n") != 2 || !strings.HasSuffix(event, "\n\n") {
				t.Errorf("end %q, want a single error event", event)
			}
		})
	}
}
