package brsystem

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"

	"github.com/google/uuid"
)

// answer is what a caller got.
type answer struct {
	status   int
	id       string
	endpoint string
	text     string
	tokens   int  // received, counted by offset
	whole    bool // the stream ended with the marker, or the body was complete
	failure  brengine.ErrorBody
	err      error
	first    time.Duration // until the first token
}

// call is one request to an entry.
type call struct {
	id        string // request id; empty lets the entry assign one
	key       string // customer's key; empty means customerKey
	model     string // empty means model-a
	route     string
	maxTokens int
	prompt    string
	onToken   func(n int) // after each chunk, with the tokens so far
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// complete sends a streamed completion to an entry and reads the answer.
func complete(ctx context.Context, entry string, c call) answer {
	body, err := json.Marshal(brengine.Completion{Model: or(c.model, model), Prompt: or(c.prompt, "a short question"), MaxTokens: or(c.maxTokens, 8), Stream: true, Route: or(c.route, "question")})
	if err != nil {
		return answer{err: err}
	}
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+entry+brengine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	return send(r, c)
}

// resume reads the rest of an answer from offset through any entry.
func resume(ctx context.Context, entry, id string, offset int) answer {
	r, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s%s%s?offset=%d", entry, brengine.PathRequests, id, offset), nil)
	if err != nil {
		return answer{err: err}
	}
	return send(r, call{})
}

// invoke calls the plain service.
func invoke(ctx context.Context, entry, route, id string) answer {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+entry+brengine.PathServices+service+"/orders", strings.NewReader(`{"visit":"1"}`))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set(brengine.HeaderRoute, route)
	return send(r, call{id: id})
}

func send(r *http.Request, c call) answer {
	r.Header.Set("Authorization", "Bearer "+or(c.key, customerKey))
	if c.id != "" {
		r.Header.Set(brengine.HeaderRequestID, c.id)
	}
	began := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a := answer{status: res.StatusCode, id: res.Header.Get(brengine.HeaderRequestID), endpoint: res.Header.Get(brengine.HeaderEndpoint)}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.readBody(res.Body)
		return a
	}
	a.readStream(res.Body, c, began)
	return a
}

func (a *answer) readBody(r io.Reader) {
	b, err := io.ReadAll(r)
	a.text, a.err, a.whole = string(b), err, err == nil
	var e brengine.Error
	if a.status >= 400 && json.Unmarshal(b, &e) == nil {
		a.failure = e.Error
	}
}

func (a *answer) readStream(r io.Reader, c call, began time.Time) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == brengine.DoneMarker {
			a.whole = true
			return
		}
		var e brengine.Error
		if json.Unmarshal([]byte(data), &e) == nil && e.Error.Kind != "" {
			a.failure = e.Error
			return
		}
		var chunk brengine.Chunk
		if a.err = json.Unmarshal([]byte(data), &chunk); a.err != nil {
			return
		}
		if a.first == 0 && chunk.Tokens > 0 {
			a.first = time.Since(began)
		}
		for _, x := range chunk.Choices {
			a.text += x.Text
		}
		a.tokens += chunk.Tokens
		if c.onToken != nil {
			c.onToken(a.tokens)
		}
	}
	a.err = sc.Err()
}

// right reports whether the answer is the whole one of its own request, from
// token first up to n.
func (a answer) right(id string, first, n int) bool {
	return a.status == http.StatusOK && a.whole && a.text == brfake.Text(id, first, n)
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
