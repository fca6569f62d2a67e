package brfake

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

const (
	keepAliveInterval = 250 * time.Millisecond
	maxChunkTokens    = 64
	maxBody           = 64 << 20 // bytes
)

type generationKey struct{}

// ConnContext tags a connection with the current silence generation, so that a later
// FaultRequest with Silence affects only connections opened before it. It is meant
// for http.Server.ConnContext.
func (e *Endpoint) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return context.WithValue(ctx, generationKey{}, e.silenceGeneration)
}

// Handler returns the HTTP handler of the endpoint.
func (e *Endpoint) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /debug/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Counts()) })
	m.HandleFunc("POST /debug/fault", e.serveFault)
	m.HandleFunc("POST "+brengine.PathOrders, e.serveOrder)
	m.HandleFunc("GET "+brengine.PathState, e.serveState)
	if e.config.Kind == brwire.KindService {
		m.HandleFunc("/", e.serveCall)
		return m
	}
	m.HandleFunc("POST "+brengine.PathCompletions, e.serveCompletion)
	m.HandleFunc("GET "+brengine.PathRequests+"{id}", e.serveResume)
	m.HandleFunc("DELETE "+brengine.PathRequests+"{id}", e.serveCancel)
	return m
}

func (e *Endpoint) serveFault(w http.ResponseWriter, r *http.Request) {
	var f FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, brerror.InvalidRequest, err.Error())
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// countRequest counts a request and reports whether an injected fault makes it fail.
func (e *Endpoint) countRequest(id, route string) (fails bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests[id]++
	e.counts.Versions[e.state.Version]++
	if e.counts.Requests[id] > 1 {
		e.counts.Duplicates++
	}
	e.requestCount++
	f := e.currentFaults()
	fails = f.FailRate > 0 && e.random.Float64() < f.FailRate ||
		f.FailRoute != "" && f.FailRoute == route ||
		f.FailAfter > 0 && e.requestCount > f.FailAfter
	if fails {
		e.counts.Failed++
	}
	return fails
}

func (e *Endpoint) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(brengine.HeaderRequestID)
	fails := e.countRequest(id, r.Header.Get(brengine.HeaderRoute))
	var c brengine.Completion
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&c); err != nil {
		writeError(w, brerror.InvalidRequest, err.Error())
		return
	}
	if fails {
		writeError(w, brerror.Internal, "engine failure caused by an injected fault")
		return
	}
	s := e.add(id, c)
	if s == nil {
		writeError(w, brerror.AlreadyRun, "a request with this ID was already received")
		return
	}
	if c.Stream {
		e.stream(w, r, s, 0)
		return
	}
	for {
		e.mu.Lock()
		changed, finish := s.changed, s.finish
		e.mu.Unlock()
		if finish != "" {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(e.appendChunk(nil, s, 0, s.emitted, finish))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.stop:
			return
		}
	}
}

func (e *Endpoint) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s := e.sequences[r.PathValue("id")]
	e.counts.Resumes++
	e.mu.Unlock()
	if s == nil || err != nil || offset < 0 {
		writeError(w, brerror.UnknownRequest, "unknown request ID or invalid offset")
		return
	}
	e.stream(w, r, s, offset)
}

func (e *Endpoint) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id")) {
		writeError(w, brerror.UnknownRequest, "unknown request ID")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream sends the tokens of s starting at an offset. The sequence continues if the
// reader disconnects.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	var buf []byte
	for {
		e.mu.Lock()
		emitted, finish, changed, silenceGeneration := s.emitted, s.finish, s.changed, e.silenceGeneration
		e.mu.Unlock()
		if generation, ok := r.Context().Value(generationKey{}).(int); ok && generation < silenceGeneration {
			<-r.Context().Done()
			return
		}
		buf = buf[:0]
		for offset < emitted {
			to := min(offset+maxChunkTokens, emitted)
			last := ""
			if to == emitted {
				last = finish
			}
			buf = e.appendEvent(buf, s, offset, to, last)
			offset = to
		}
		if finish != "" {
			if len(buf) == 0 {
				buf = e.appendEvent(buf, s, offset, offset, finish)
			}
			buf = append(buf, "data: "+brengine.DoneMarker+"\n\n"...)
		}
		if _, err := w.Write(buf); err != nil || rc.Flush() != nil || finish != "" {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			_, _ = io.WriteString(w, ": keep-alive\n\n")
		case <-r.Context().Done():
			return
		case <-e.stop:
			return
		}
	}
}

func (e *Endpoint) appendEvent(b []byte, s *sequence, from, to int, finish string) []byte {
	b = append(b, "data: "...)
	b = e.appendChunk(b, s, from, to, finish)
	return append(b, "\n\n"...)
}

// appendChunk appends the JSON encoding of a brengine.Chunk to b. None of the
// strings need escaping.
func (e *Endpoint) appendChunk(b []byte, s *sequence, from, to int, finish string) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, s.id...)
	b = append(b, `","object":"text_completion","model":"`...)
	b = append(b, e.config.Model...)
	b = append(b, `","version":"`...)
	b = append(b, s.version...)
	b = append(b, `","offset":`...)
	b = strconv.AppendInt(b, int64(from), 10)
	b = append(b, `,"tokens":`...)
	b = strconv.AppendInt(b, int64(to-from), 10)
	b = append(b, `,"choices":[{"index":0,"text":"`...)
	for n := from; n < to; n++ {
		b = AppendToken(b, s.id, n)
	}
	b = append(b, '"')
	if finish != "" {
		b = append(b, `,"finish_reason":"`+finish+`"`...)
	}
	b = append(b, `}]`...)
	if finish != "" {
		u, _ := json.Marshal(brengine.Usage{PromptTokens: s.prompt, CachedTokens: s.cached, CompletionTokens: s.emitted})
		b = append(append(b, `,"usage":`...), u...)
	}
	return append(b, '}')
}

// CallResponse is the body of the response of a plain service.
type CallResponse struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Run       int    `json:"run"` // number of receptions of this request ID
}

func (e *Endpoint) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(brengine.HeaderRequestID)
	fails := e.countRequest(id, r.Header.Get(brengine.HeaderRoute))
	e.countCall(1)
	defer e.countCall(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || !e.wait(e.config.ServiceLatency) {
		return
	}
	if fails {
		writeError(w, brerror.Internal, "service failure caused by an injected fault")
		return
	}
	e.mu.Lock()
	run := e.counts.Requests[id]
	e.counts.Finished++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, CallResponse{RequestID: id, Method: r.Method, Path: r.URL.Path, Body: string(body), Run: run})
}

func (e *Endpoint) countCall(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls += change
	e.counts.MaxConcurrentCalls = max(e.counts.MaxConcurrentCalls, e.activeCalls)
}

func writeError(w http.ResponseWriter, k brerror.Kind, message string) {
	resp := k.Response()
	writeJSON(w, resp.Status, brengine.Error{Error: brengine.ErrorBody{Kind: resp.Name, Message: message, Outcome: resp.Outcome.String()}})
}

func writeJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
