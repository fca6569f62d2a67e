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

// maxCollectedText is the maximum size of the text of a response that isn't streamed,
// in bytes.
const maxCollectedText = 8 << 20

// output writes an engine's response to one caller, as a stream or as one body.
type output struct {
	entry     *Entry
	w         http.ResponseWriter
	rc        *http.ResponseController
	requestID string
	model     string
	revision  uint64
	stream    bool // the caller asked for a stream
	collect   bool // store the text for encodeResponse
	offset    int  // index of the first token

	headerWritten bool // the status line and the headers were written
	disconnected  bool // a write failed; further chunks are only counted
	onDisconnect  func()
	text          []byte // contents of a JSON string, escaped
	overflow      bool   // text exceeds maxCollectedText
	nextOffset    int
	version       string
	buf           []byte
}

func (e *Entry) newOutput(w http.ResponseWriter, requestID string, c brengine.Completion, revision uint64) *output {
	return &output{entry: e, w: w, rc: http.NewResponseController(w), requestID: requestID, model: c.Model,
		revision: revision, stream: c.Stream, collect: !c.Stream}
}

// setResponseHeaders sets the headers of a response to a request that ran at an
// endpoint.
func (e *Entry) setResponseHeaders(h http.Header, requestID, endpointID string, revision uint64) {
	h.Set(brengine.HeaderRequestID, requestID)
	h.Set(brengine.HeaderEntry, e.config.EntryID)
	h.Set(brengine.HeaderEndpoint, endpointID)
	h.Set(brengine.HeaderRevision, strconv.FormatUint(revision, 10))
}

// writeChunk writes one chunk to the caller. It always returns nil, because a
// disconnected caller may resume the response.
func (o *output) writeChunk(ch *brdispatch.Chunk) error {
	o.entry.Counters.Tokens.Add(int64(ch.Tokens))
	o.nextOffset = ch.Offset + ch.Tokens
	if o.version == "" {
		o.version = string(ch.Version)
	}
	if o.collect && !o.overflow {
		o.text = append(o.text, ch.Text...)
		o.overflow = len(o.text) > maxCollectedText
	}
	if !o.stream || o.disconnected {
		return nil
	}
	o.startStream()
	o.buf = append(o.buf[:0], "data: "...)
	o.buf = append(o.buf, ch.Raw...)
	o.buf = append(o.buf, "\n\n"...)
	_, err := o.w.Write(o.buf)
	o.checkWrite(err)
	return nil
}

// startStream writes the headers of a stream, once.
func (o *output) startStream() {
	if o.headerWritten {
		return
	}
	o.headerWritten = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.extendWriteDeadline()
	o.w.WriteHeader(http.StatusOK)
}

// extendWriteDeadline sets the deadline of the next write to the caller.
func (o *output) extendWriteDeadline() {
	if err := o.rc.SetWriteDeadline(o.entry.clock.Now().Add(o.entry.config.WriteTimeout)); err != nil {
		return // the ResponseWriter doesn't support deadlines, as in tests
	}
}

// flush sends buffered chunks to the caller. It always returns nil.
func (o *output) flush() error {
	if o.headerWritten && !o.disconnected {
		o.extendWriteDeadline()
		o.checkWrite(o.rc.Flush())
	}
	return nil
}

// keepAlive sends a keep-alive comment if the stream has begun.
func (o *output) keepAlive() {
	if o.headerWritten && !o.disconnected {
		_, err := o.w.Write([]byte(": keep-alive\n\n"))
		o.checkWrite(err)
		_ = o.flush()
	}
}

// checkWrite handles the error of a write: the first one marks the caller as
// disconnected.
func (o *output) checkWrite(err error) {
	if err != nil && !o.disconnected {
		o.disconnected = true
		if o.onDisconnect != nil {
			o.onDisconnect()
		}
	}
}

// finish writes the end of a stream, or the complete body.
func (o *output) finish(res brdispatch.Result) {
	if o.stream {
		o.startStream()
		_, err := o.w.Write([]byte("data: " + brengine.DoneMarker + "\n\n"))
		o.checkWrite(err)
		_ = o.flush()
		return
	}
	body, err := o.encodeResponse(res)
	if err != nil {
		o.finishWithError(err)
		return
	}
	o.headerWritten = true
	o.w.Header().Set("Content-Type", "application/json")
	o.extendWriteDeadline()
	_, err = o.w.Write(body)
	o.checkWrite(err)
}

// encodeResponse returns the collected response as one brengine.Chunk in JSON. It
// returns an error if the text was too long to be collected.
func (o *output) encodeResponse(res brdispatch.Result) ([]byte, error) {
	if o.overflow {
		return nil, brerror.New(brerror.EndpointFailed, "response text is longer than %d bytes", maxCollectedText)
	}
	c := brengine.Chunk{ID: o.requestID, Object: "text_completion", Model: o.model, Version: o.version, Offset: o.offset,
		Tokens: o.nextOffset - o.offset, Choices: []brengine.Choice{{FinishReason: res.FinishReason}}, Usage: &res.Usage}
	quoted := append(append(append(make([]byte, 0, len(o.text)+2), '"'), o.text...), '"')
	if err := json.Unmarshal(quoted, &c.Choices[0].Text); err != nil {
		return nil, brerror.New(brerror.EndpointFailed, "decode response text: %w", err)
	}
	b, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return b, nil
}

// finishWithError writes an error response, or an error event if the stream has
// begun.
func (o *output) finishWithError(err error) {
	if !o.headerWritten {
		o.extendWriteDeadline()
		o.entry.writeError(o.w, o.requestID, err)
		return
	}
	body, _ := o.entry.errorBody(o.requestID, err)
	b, _ := json.Marshal(body)
	_, werr := fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", b)
	o.checkWrite(werr)
	_ = o.flush()
}

// dispatchRequest returns the dispatch of h under g, which writes its response to o.
func (o *output) dispatchRequest(h *heldRequest, g brwire.Grant, boundary func() error) brdispatch.Request {
	e := o.entry
	return brdispatch.Request{
		RequestID: h.submit.RequestID, Address: g.Address, Route: h.submit.Route, Body: h.body,
		StuckTimeout: stuckTimeout(h.admission.Route), Flush: o.flush, KeepAlive: o.keepAlive,
		Boundary: func() error {
			if err := boundary(); err != nil {
				return err
			}
			e.setResponseHeaders(o.w.Header(), h.submit.RequestID, g.EndpointID, o.revision)
			return nil
		},
		Chunk: func(ch *brdispatch.Chunk) error {
			now := e.clock.Now()
			h.lastProgress.Store(now.UnixNano())
			if ch.Tokens > 0 && h.firstToken.CompareAndSwap(false, true) {
				e.record(EventFirstToken, h, g, nil)
				e.FirstToken(h.submit.Pool, brwire.FirstToken{RequestID: h.submit.RequestID, Epoch: g.Epoch, Number: g.Number, Elapsed: now.Sub(h.dispatchedAt)})
			}
			return o.writeChunk(ch)
		},
	}
}
