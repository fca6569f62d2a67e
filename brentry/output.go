package brentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// maxAnswerText bounds the text that is kept for an answer that is not streamed,
// in bytes.
const maxAnswerText = 8 << 20

// output passes an engine's answer on to one caller, as a stream or whole.
type output struct {
	entry     *Entry
	w         http.ResponseWriter
	rc        *http.ResponseController
	requestID string
	model     string
	revision  uint64
	stream    bool // the caller wants events
	keep      bool // the text is collected
	offset    int  // of the first token

	started  bool // the status was written
	away     bool // a write failed; the rest is only counted
	onAway   func()
	text     []byte // inside of a JSON string
	overflow bool
	next     int
	version  string
	buf      []byte
}

func (e *Entry) newOutput(w http.ResponseWriter, requestID string, c brengine.Completion, revision uint64) *output {
	return &output{entry: e, w: w, rc: http.NewResponseController(w), requestID: requestID, model: c.Model,
		revision: revision, stream: c.Stream, keep: !c.Stream}
}

// head sets the headers of an answer that ran at the endpoint of g.
func (e *Entry) head(h http.Header, requestID, endpointID string, revision uint64) {
	h.Set(brengine.HeaderRequestID, requestID)
	h.Set(brengine.HeaderEntry, e.config.EntryID)
	h.Set(brengine.HeaderEndpoint, endpointID)
	h.Set(brengine.HeaderRevision, strconv.FormatUint(revision, 10))
}

// chunk passes one chunk on. It never fails: a caller that went away may resume.
func (o *output) chunk(ch *brdispatch.Chunk) error {
	o.entry.Counters.Tokens.Add(int64(ch.Tokens))
	o.next = ch.Offset + ch.Tokens
	if o.version == "" {
		o.version = string(ch.Version)
	}
	if o.keep && !o.overflow {
		o.text = append(o.text, ch.Text...)
		o.overflow = len(o.text) > maxAnswerText
	}
	if !o.stream || o.away {
		return nil
	}
	o.startStream()
	o.buf = append(o.buf[:0], "data: "...)
	o.buf = append(o.buf, ch.Raw...)
	o.buf = append(o.buf, "\n\n"...)
	_, err := o.w.Write(o.buf)
	o.check(err)
	return nil
}

func (o *output) startStream() {
	if o.started {
		return
	}
	o.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.extend()
	o.w.WriteHeader(http.StatusOK)
}

// extend gives the caller time for the next write.
func (o *output) extend() {
	if err := o.rc.SetWriteDeadline(o.entry.clock.Now().Add(o.entry.config.WriteTimeout)); err != nil {
		return // the ResponseWriter has no deadlines, as in tests
	}
}

func (o *output) flush() error {
	if o.started && !o.away {
		o.extend()
		o.check(o.rc.Flush())
	}
	return nil
}

// keepAlive tells a streaming caller that this entry is alive.
func (o *output) keepAlive() {
	if o.started && !o.away {
		_, err := o.w.Write([]byte(": keep-alive\n\n"))
		o.check(err)
		_ = o.flush()
	}
}

func (o *output) check(err error) {
	if err != nil && !o.away {
		o.away = true
		if o.onAway != nil {
			o.onAway()
		}
	}
}

// end completes the answer.
func (o *output) end(res brdispatch.Result) {
	if o.stream {
		o.startStream()
		_, err := o.w.Write([]byte("data: " + brengine.DoneMarker + "\n\n"))
		o.check(err)
		_ = o.flush()
		return
	}
	body, err := o.whole(res)
	if err != nil {
		o.fail(err)
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "application/json")
	o.extend()
	_, err = o.w.Write(body)
	o.check(err)
}

// whole returns the collected answer as one brengine.Chunk.
func (o *output) whole(res brdispatch.Result) ([]byte, error) {
	if o.overflow {
		return nil, brerror.New(brerror.EndpointFailed, "answer is longer than %d bytes", maxAnswerText)
	}
	c := brengine.Chunk{ID: o.requestID, Object: "text_completion", Model: o.model, Version: o.version, Offset: o.offset,
		Tokens: o.next - o.offset, Choices: []brengine.Choice{{FinishReason: res.FinishReason}}, Usage: &res.Usage}
	quoted := append(append(append(make([]byte, 0, len(o.text)+2), '"'), o.text...), '"')
	if err := json.Unmarshal(quoted, &c.Choices[0].Text); err != nil {
		return nil, brerror.New(brerror.EndpointFailed, "text of the answer: %w", err)
	}
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return b, nil
}

// fail answers with an error; in a stream that has begun, as its last event.
func (o *output) fail(err error) {
	if !o.started {
		o.extend()
		o.entry.writeError(o.w, o.requestID, err)
		return
	}
	body, _ := o.entry.errorBody(o.requestID, err)
	b, _ := json.Marshal(body)
	_, werr := fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", b)
	o.check(werr)
	_ = o.flush()
}

// request returns the dispatch of h that writes to o.
func (o *output) request(h *held, g brwire.Grant, pass func() error) brdispatch.Request {
	e := o.entry
	return brdispatch.Request{
		RequestID: h.submit.RequestID, Address: g.Address, Route: h.submit.Route, Body: h.body,
		StuckAfter: stuckAfter(h.admission.Route), Flush: o.flush, KeepAlive: o.keepAlive,
		Boundary: func() error {
			if err := pass(); err != nil {
				return err
			}
			e.head(o.w.Header(), h.submit.RequestID, g.EndpointID, o.revision)
			return nil
		},
		Chunk: func(ch *brdispatch.Chunk) error {
			now := e.clock.Now()
			h.progress.Store(now.UnixNano())
			if ch.Tokens > 0 && h.firstToken.CompareAndSwap(false, true) {
				e.record(EventFirstToken, h, g, nil)
				e.FirstToken(h.submit.Pool, brwire.FirstToken{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, Elapsed: now.Sub(h.started)})
			}
			return o.chunk(ch)
		},
	}
}
