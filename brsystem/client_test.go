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

// response is the response to one call as its caller received it.
type response struct {
	status     int
	id         string
	endpoint   string
	text       string
	tokens     int  // number of tokens received
	finished   bool // the stream ended with brengine.DoneMarker, or the body was read to its end
	failure    brengine.ErrorBody
	err        error
	firstToken time.Duration // time to the first token
}

// call describes one request to an entry.
type call struct {
	id        string // request ID; if empty, the entry assigns one
	key       string // customer key; empty means customerKey
	model     string // empty means model-a
	route     string
	maxTokens int
	prompt    string
	onToken   func(n int) // called after each chunk with the number of tokens received so far
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// complete sends a streaming completion request to an entry and reads the
// response.
func complete(ctx context.Context, entry string, c call) response {
	body, err := json.Marshal(brengine.Completion{Model: valueOr(c.model, model), Prompt: valueOr(c.prompt, "a short question"), MaxTokens: valueOr(c.maxTokens, 8), Stream: true, Route: valueOr(c.route, "question")})
	if err != nil {
		return response{err: err}
	}
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+entry+brengine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	return send(r, c)
}

// resume reads the rest of a response from the token at offset, through any
// entry.
func resume(ctx context.Context, entry, id string, offset int) response {
	r, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s%s%s?offset=%d", entry, brengine.PathRequests, id, offset), nil)
	if err != nil {
		return response{err: err}
	}
	return send(r, call{})
}

// invoke sends a request on a route of the plain service.
func invoke(ctx context.Context, entry, route, id string) response {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+entry+brengine.PathServices+service+"/orders", strings.NewReader(`{"visit":"1"}`))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set(brengine.HeaderRoute, route)
	return send(r, call{id: id})
}

func send(r *http.Request, c call) response {
	r.Header.Set("Authorization", "Bearer "+valueOr(c.key, customerKey))
	if c.id != "" {
		r.Header.Set(brengine.HeaderRequestID, c.id)
	}
	sentAt := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	a := response{status: res.StatusCode, id: res.Header.Get(brengine.HeaderRequestID), endpoint: res.Header.Get(brengine.HeaderEndpoint)}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.readBody(res.Body)
		return a
	}
	a.readStream(res.Body, c, sentAt)
	return a
}

func (a *response) readBody(r io.Reader) {
	b, err := io.ReadAll(r)
	a.text, a.err, a.finished = string(b), err, err == nil
	var e brengine.Error
	if a.status >= 400 && json.Unmarshal(b, &e) == nil {
		a.failure = e.Error
	}
}

func (a *response) readStream(r io.Reader, c call, began time.Time) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == brengine.DoneMarker {
			a.finished = true
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
		if a.firstToken == 0 && chunk.Tokens > 0 {
			a.firstToken = time.Since(began)
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

// matches reports whether the response succeeded, is complete and consists of
// the tokens first to n of the request's own text.
func (a response) matches(id string, first, n int) bool {
	return a.status == http.StatusOK && a.finished && a.text == brfake.Text(id, first, n)
}

// valueOr returns v, or fallback if v is the zero value.
func valueOr[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
