package brdispatch

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
)

const (
	connBufferSize = 4 << 10  // bytes
	lineBufferSize = 16 << 10 // bytes; holds several chunks of a fast stream
	maxLineLength  = 1 << 20  // bytes
	maxErrorLength = 512      // bytes of an engine's error body that are included in an error
)

// Request is a completion request. Boundary, Chunk, Flush and KeepAlive are called in
// the goroutine of the call; each may be nil.
type Request struct {
	RequestID    string
	Address      string // host:port
	Route        string
	Body         []byte        // a brengine.Completion with Stream set
	StuckTimeout time.Duration // time without a token after which the stream is stuck; 0 means DefaultStuckTimeout

	// Boundary is called after the connection was opened and just before the first
	// byte is written. If it returns an error, nothing is written.
	Boundary func() error
	// Chunk is called once for each chunk of the response, in order. If it returns an
	// error, the request is canceled at the engine.
	Chunk func(*Chunk) error
	// Flush is called when Chunk was called for all chunks that have arrived.
	Flush func() error
	// KeepAlive is called for each keep-alive comment of the engine.
	KeepAlive func()
}

// Result is the result of a dispatch or a resume.
type Result struct {
	Dispatched   bool // Boundary returned nil; if false, nothing was sent
	Complete     bool // the complete response was forwarded
	NextOffset   int  // offset after the last forwarded token
	Resumes      int
	Lost         bool           // a service ended the connection before its response was complete
	PathFailed   bool           // the path to the endpoint may be to blame for the error; see Client.PathFailed
	Usage        brengine.Usage // set if Complete
	Status       int            // HTTP status of a service's response
	FinishReason string
	Version      string
	FirstToken   time.Duration // time from Boundary to the first token; 0 if there was none
	Duration     time.Duration // time since Boundary
}

// errBroken is wrapped by the errors of a stream that ended early and may be resumed.
var errBroken = errors.New("stream broken")

// stream is the state of one Complete or Resume.
type stream struct {
	client       *Client
	conn         *conn // the latest; nil if its dial failed
	ctx          context.Context
	request      Request
	result       Result
	started      time.Time
	lastProgress time.Time // time of the last token or the start
	connReader   *bufio.Reader
	lineReader   *bufio.Reader
	longLine     []byte
	chunk        Chunk
	finished     bool // the last chunk was forwarded
	unflushed    bool // Flush wasn't called since the last chunk
}

var (
	connReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferSize) }}
	lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBufferSize) }}
)

// Complete dispatches r once and forwards the complete response to the functions of r.
// An error has the kind EndpointUnavailable if nothing was sent, and otherwise
// EndpointFailed, Stuck or Canceled. An error of Boundary is returned wrapped.
func (c *Client) Complete(ctx context.Context, r Request) (Result, error) {
	s := c.newStream(ctx, r)
	defer s.release()
	req := newRequest(http.MethodPost, r.Address, brengine.PathCompletions, bytes.NewReader(r.Body), int64(len(r.Body)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(brengine.HeaderRequestID, r.RequestID)
	if r.Route != "" {
		req.Header.Set(brengine.HeaderRoute, r.Route)
	}
	boundary := func() error {
		if r.Boundary != nil {
			if err := r.Boundary(); err != nil {
				return err
			}
		}
		s.start()
		return nil
	}
	cn, resp, sent, err := c.dispatch(ctx, r.Address, s.readTimeout, boundary, req, s.connReader)
	s.result.Dispatched, s.conn = sent, cn
	if !sent {
		s.result.PathFailed = cn == nil && c.pathFailed(ctx, r.Address, nil, err)
		return s.result, err
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		err = statusError(ctx, cn, resp)
		s.result.Duration = c.clock().Now().Sub(s.started)
		return s.result, err
	}
	if err != nil {
		return s.resumeUntilComplete(fmt.Errorf("%w: %w", errBroken, err))
	}
	return s.resumeUntilComplete(s.read(cn, resp))
}

// Resume forwards the rest of the response to a request that was already dispatched,
// from the token at offset on. It is not a dispatch: it doesn't call Boundary and
// never cancels the request at the engine, since there may be other readers.
func (c *Client) Resume(ctx context.Context, r Request, offset int) (Result, error) {
	s := c.newStream(ctx, r)
	defer s.release()
	s.start()
	s.result.NextOffset = offset
	return s.resumeUntilComplete(s.resume())
}

func (c *Client) newStream(ctx context.Context, r Request) *stream {
	r.StuckTimeout = cmp.Or(r.StuckTimeout, DefaultStuckTimeout)
	return &stream{
		client: c, ctx: ctx, request: r,
		connReader: connReaders.Get().(*bufio.Reader),
		lineReader: lineReaders.Get().(*bufio.Reader),
	}
}

// release returns the buffers of s to their pools.
func (s *stream) release() {
	s.connReader.Reset(nil)
	s.lineReader.Reset(nil)
	connReaders.Put(s.connReader)
	lineReaders.Put(s.lineReader)
}

func (s *stream) start() {
	s.started = s.client.clock().Now()
	s.lastProgress = s.started
}

// resumeUntilComplete resumes the stream while err wraps errBroken, until it is complete
// or the limit of resumes without a new token is reached. If a dispatched request
// fails, it is canceled at the engine.
func (s *stream) resumeUntilComplete(err error) (Result, error) {
	c := s.client
	attempts, lastNext := 0, s.result.NextOffset
	backoff := cmp.Or(c.ResumeBackoff, DefaultResumeBackoff)
	for err != nil && s.ctx.Err() == nil && errors.Is(err, errBroken) {
		if s.result.NextOffset > lastNext {
			attempts, lastNext = 0, s.result.NextOffset
		}
		if stuck := s.checkProgress(); stuck != nil {
			err = stuck
			break
		}
		if attempts == cmp.Or(c.ResumeAttempts, DefaultResumeAttempts) {
			err = brerror.New(brerror.EndpointFailed, "%d resumes at offset %d failed: %w", attempts, s.result.NextOffset, err)
			break
		}
		if attempts > 0 {
			select {
			case <-c.clock().After(backoff << (attempts - 1)):
			case <-s.ctx.Done():
				continue
			}
		}
		attempts++
		err = s.resume()
	}
	s.result.Duration = c.clock().Now().Sub(s.started)
	if err == nil {
		s.result.Complete = true
		return s.result, nil
	}
	if s.ctx.Err() != nil {
		err = brerror.New(brerror.Canceled, "canceled: %w", context.Cause(s.ctx))
	}
	if s.result.Dispatched {
		s.result.PathFailed = brerror.Is(err, brerror.EndpointFailed) && c.pathFailed(s.ctx, s.request.Address, s.conn, err)
		c.cancelInBackground(s.request.Address, s.request.RequestID)
	}
	return s.result, err
}

// cancelInBackground cancels a request at the engine, to free its resources, without
// delaying the caller.
func (c *Client) cancelInBackground(address, requestID string) {
	c.pendingCancels.Go(func() { _ = c.Cancel(context.Background(), address, requestID) })
}

// resume requests the rest of the stream on a new connection and reads it.
func (s *stream) resume() error {
	c := s.client
	c.Counters.Resumes.Add(1)
	s.result.Resumes++
	cn, err := c.dial(s.ctx, s.request.Address, s.readTimeout)
	s.conn = cn
	if err != nil {
		return fmt.Errorf("%w: dial: %w", errBroken, err)
	}
	stop := context.AfterFunc(s.ctx, func() { _ = cn.Close() })
	defer stop()
	path := brengine.PathRequests + url.PathEscape(s.request.RequestID) + "?offset=" + strconv.Itoa(s.result.NextOffset)
	resp, err := exchange(cn, s.connReader, newRequest(http.MethodGet, s.request.Address, path, nil, 0))
	if err != nil {
		_ = cn.Close()
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %w", errBroken, statusError(s.ctx, cn, resp))
	}
	return s.read(cn, resp)
}

// read forwards the chunks of one connection and closes it. It returns nil after the
// end marker, an error that wraps errBroken if the stream may be resumed, and an error
// with a kind otherwise.
func (s *stream) read(cn *conn, resp *http.Response) error {
	defer cn.Close()
	stop := context.AfterFunc(s.ctx, func() { _ = cn.Close() })
	defer stop()
	s.lineReader.Reset(resp.Body)
	for {
		if s.unflushed && !s.hasBufferedLine() {
			s.unflushed = false
			if s.request.Flush != nil {
				if err := s.request.Flush(); err != nil {
					return brerror.New(brerror.Canceled, "flush to caller: %w", err)
				}
			}
		}
		line, err := s.readLine()
		if err != nil {
			return s.wrapReadError(err)
		}
		done, err := s.handleLine(line)
		if done || err != nil {
			return err
		}
	}
}

// wrapReadError returns err wrapped in errBroken and counts timeouts.
func (s *stream) wrapReadError(err error) error {
	var t interface{ Timeout() bool }
	if errors.As(err, &t) && t.Timeout() {
		s.client.Counters.Stalls.Add(1)
	}
	return fmt.Errorf("%w after %d tokens: %w", errBroken, s.result.NextOffset, err)
}

// hasBufferedLine reports whether a complete, non-empty line is buffered.
func (s *stream) hasBufferedLine() bool {
	b, _ := s.lineReader.Peek(s.lineReader.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(b, "\n"), '\n') >= 0
}

// readLine returns the next line, which is valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.lineReader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.longLine = s.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if s.longLine = append(s.longLine, line...); len(s.longLine) > maxLineLength {
			return nil, fmt.Errorf("line is longer than %d bytes", maxLineLength)
		}
		line, err = s.lineReader.ReadSlice('\n')
	}
	s.longLine = append(s.longLine, line...)
	return s.longLine, err
}

var (
	dataField = []byte("data:")
	doneData  = []byte(brengine.DoneMarker)
)

// handleLine handles one line and reports whether the stream is complete.
func (s *stream) handleLine(line []byte) (bool, error) {
	line = bytes.TrimRight(line, "\r\n")
	if data, ok := bytes.CutPrefix(line, dataField); ok {
		data = bytes.TrimSpace(data)
		if !bytes.Equal(data, doneData) {
			return false, s.handleChunk(data)
		}
		if !s.finished {
			return false, fmt.Errorf("%w: end marker after %d tokens without the last chunk", errBroken, s.result.NextOffset)
		}
		return true, s.flushPending()
	}
	if len(line) > 0 && line[0] == ':' && s.request.KeepAlive != nil {
		s.request.KeepAlive()
	}
	return false, s.checkProgress()
}

// flushPending calls Flush if chunks were forwarded since its last call.
func (s *stream) flushPending() error {
	if s.unflushed && s.request.Flush != nil {
		if err := s.request.Flush(); err != nil {
			return brerror.New(brerror.Canceled, "flush to caller: %w", err)
		}
	}
	s.unflushed = false
	return nil
}

// idle returns the time since the last token or the start.
func (s *stream) idle() time.Duration { return s.client.clock().Now().Sub(s.lastProgress) }

// readTimeout returns the time that the next read may take. An endpoint that sends a byte now
// and then, but no token, must not hold the stream longer than StuckTimeout.
func (s *stream) readTimeout() time.Duration {
	return min(cmp.Or(s.client.StallTimeout, DefaultStallTimeout), s.request.StuckTimeout-s.idle())
}

// checkProgress returns an error of kind Stuck if no token has arrived for StuckTimeout.
func (s *stream) checkProgress() error {
	idle := s.idle()
	if idle < s.request.StuckTimeout {
		return nil
	}
	s.client.Counters.Stuck.Add(1)
	return brerror.New(brerror.Stuck, "no token for %v after %d tokens", idle.Round(time.Millisecond), s.result.NextOffset)
}

// handleChunk parses one chunk and forwards it if it begins at the expected offset.
func (s *stream) handleChunk(data []byte) error {
	ch, n := &s.chunk, &s.client.Counters
	if err := parseChunk(data, ch); err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	end := ch.Offset + ch.Tokens
	switch {
	case string(ch.id) != s.request.RequestID:
		n.OtherRequestChunks.Add(1)
		return s.checkProgress()
	case s.finished || ch.Tokens > 0 && end <= s.result.NextOffset:
		n.RepeatedChunks.Add(1)
		return s.checkProgress()
	case ch.Offset != s.result.NextOffset:
		n.OffsetMismatches.Add(1)
		return fmt.Errorf("%w: chunk has offset %d, expected %d", errBroken, ch.Offset, s.result.NextOffset)
	case string(ch.FinishReason) == "canceled":
		return brerror.New(brerror.Canceled, "engine canceled the request after %d tokens", s.result.NextOffset)
	}
	s.recordChunk(ch)
	if s.request.Chunk != nil {
		if err := s.request.Chunk(ch); err != nil {
			return brerror.New(brerror.Canceled, "forward to caller: %w", err)
		}
	}
	// Measured after the call, so that the delay of a slow caller doesn't count as time
	// without a token.
	s.lastProgress = s.client.clock().Now()
	s.unflushed = true
	return nil
}

// recordChunk updates the result with ch.
func (s *stream) recordChunk(ch *Chunk) {
	if s.result.FirstToken == 0 && ch.Tokens > 0 {
		s.result.FirstToken = max(1, s.client.clock().Now().Sub(s.started))
	}
	if s.result.Version == "" {
		s.result.Version = string(ch.Version)
	}
	s.result.NextOffset = ch.Offset + ch.Tokens
	if len(ch.FinishReason) > 0 {
		s.finished = true
		s.result.FinishReason, s.result.Usage = string(ch.FinishReason), ch.Usage
	}
}

// statusError returns an error for a response with a status other than 200 and closes
// the connection. It reads the body, or what has arrived at the end of ctx.
func statusError(ctx context.Context, cn *conn, resp *http.Response) error {
	defer cn.Close()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorLength))
	return brerror.New(brerror.EndpointFailed, "endpoint responded with status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
}
