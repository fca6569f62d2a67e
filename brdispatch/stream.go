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
	connBuffer  = 4 << 10  // bytes
	lineBuffer  = 16 << 10 // bytes; several chunks of a fast stream
	maxLine     = 1 << 20  // bytes
	maxErrorLen = 512      // bytes of an engine's error that are passed on
)

// Request is one completion. Boundary, Chunk, Flush and KeepAlive run in the
// goroutine of the call; those that are nil are not called.
type Request struct {
	RequestID  string
	Address    string // host:port
	Route      string
	Body       []byte        // a brengine.Completion with Stream set
	StuckAfter time.Duration // without a token; 0 means DefaultStuckAfter

	// Boundary runs after the dial and just before the first byte is written.
	// When it fails, nothing is written.
	Boundary func() error
	// Chunk takes each chunk of the answer once and in order. When it fails, the
	// request is canceled at the engine.
	Chunk func(*Chunk) error
	// Flush runs when all chunks that have arrived were passed to Chunk.
	Flush func() error
	// KeepAlive runs for each keep-alive of the engine.
	KeepAlive func()
}

// Result tells what became of a request.
type Result struct {
	Dispatched   bool // the boundary was passed; false proves that nothing was sent
	Complete     bool // the whole answer was passed on
	Next         int  // offset after the last token that was passed on
	Resumes      int
	Usage        brengine.Usage // known when Complete
	Status       int            // HTTP status of a service's answer
	FinishReason string
	Version      string
	FirstToken   time.Duration // since the boundary; 0 when none came
	Duration     time.Duration // since the boundary
}

// errBroken marks a stream that ended early and may be resumed.
var errBroken = errors.New("stream broken")

type stream struct {
	client    *Client
	ctx       context.Context
	request   Request
	result    Result
	started   time.Time
	progress  time.Time // of the last token, or the start
	conn      *bufio.Reader
	lines     *bufio.Reader
	long      []byte
	chunk     Chunk
	finished  bool // the last chunk was passed on
	unflushed bool
}

var (
	connReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBuffer) }}
	lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBuffer) }}
)

// Complete dispatches r once and passes its whole answer on. Errors have a kind:
// EndpointUnavailable when nothing was sent, EndpointFailed, Stuck or Canceled
// otherwise; an error of Boundary is returned wrapped.
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
	cn, resp, sent, err := c.dispatch(ctx, r.Address, cmp.Or(c.Silence, DefaultSilence), boundary, req, s.conn)
	s.result.Dispatched = sent
	if !sent {
		return s.result, err
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		err = refusal(cn, resp)
		s.result.Duration = c.clock().Now().Sub(s.started)
		return s.result, err
	}
	if err != nil {
		return s.finish(fmt.Errorf("%w: %w", errBroken, err))
	}
	return s.finish(s.read(cn, resp))
}

// Resume passes on the rest of the answer to a request that was dispatched
// before, from token offset on. It is not a dispatch: Boundary is not called, and
// the request is never canceled at the engine, since others may be reading it.
func (c *Client) Resume(ctx context.Context, r Request, offset int) (Result, error) {
	s := c.newStream(ctx, r)
	defer s.release()
	s.start()
	s.result.Next = offset
	return s.finish(s.resume())
}

func (c *Client) newStream(ctx context.Context, r Request) *stream {
	r.StuckAfter = cmp.Or(r.StuckAfter, DefaultStuckAfter)
	return &stream{
		client: c, ctx: ctx, request: r,
		conn:  connReaders.Get().(*bufio.Reader),
		lines: lineReaders.Get().(*bufio.Reader),
	}
}

func (s *stream) release() {
	s.conn.Reset(nil)
	s.lines.Reset(nil)
	connReaders.Put(s.conn)
	lineReaders.Put(s.lines)
}

func (s *stream) start() {
	s.started = s.client.clock().Now()
	s.progress = s.started
}

// finish resumes a broken stream until it is complete or a bound is reached.
func (s *stream) finish(err error) (Result, error) {
	c := s.client
	attempts, reached := 0, s.result.Next
	backoff := cmp.Or(c.ResumeBackoff, DefaultResumeBackoff)
	for err != nil && s.ctx.Err() == nil && errors.Is(err, errBroken) {
		if s.result.Next > reached {
			attempts, reached = 0, s.result.Next
		}
		if attempts == cmp.Or(c.ResumeAttempts, DefaultResumeAttempts) {
			err = brerror.New(brerror.EndpointFailed, "%d resumes at offset %d failed: %w", attempts, s.result.Next, err)
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
		c.cancelLater(s.request.Address, s.request.RequestID)
	}
	return s.result, err
}

// cancelLater frees the engine's resources without delaying the caller.
func (c *Client) cancelLater(address, requestID string) {
	c.cancels.Go(func() { _ = c.Cancel(context.Background(), address, requestID) })
}

func (s *stream) resume() error {
	c := s.client
	c.Counters.Resumes.Add(1)
	s.result.Resumes++
	cn, err := c.dial(s.ctx, s.request.Address, cmp.Or(c.Silence, DefaultSilence))
	if err != nil {
		return fmt.Errorf("%w: dial: %w", errBroken, err)
	}
	stop := context.AfterFunc(s.ctx, func() { _ = cn.Close() })
	defer stop()
	path := brengine.PathRequests + url.PathEscape(s.request.RequestID) + "?offset=" + strconv.Itoa(s.result.Next)
	s.conn.Reset(cn)
	resp, err := exchange(cn, s.conn, newRequest(http.MethodGet, s.request.Address, path, nil, 0))
	if err != nil {
		_ = cn.Close()
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %w", errBroken, refusal(cn, resp))
	}
	return s.read(cn, resp)
}

// read passes on the chunks of one connection and closes it. It returns nil
// after the end marker, an error that is errBroken when a resume can help, and
// an error with a kind otherwise.
func (s *stream) read(cn *conn, resp *http.Response) error {
	defer cn.Close()
	stop := context.AfterFunc(s.ctx, func() { _ = cn.Close() })
	defer stop()
	s.lines.Reset(resp.Body)
	for {
		if s.unflushed && !s.lineBuffered() {
			s.unflushed = false
			if s.request.Flush != nil {
				if err := s.request.Flush(); err != nil {
					return brerror.New(brerror.Canceled, "flush to caller: %w", err)
				}
			}
		}
		line, err := s.line()
		if err != nil {
			return s.broken(err)
		}
		done, err := s.event(line)
		if done || err != nil {
			return err
		}
	}
}

func (s *stream) broken(err error) error {
	var t interface{ Timeout() bool }
	if errors.As(err, &t) && t.Timeout() {
		s.client.Counters.Silences.Add(1)
	}
	return fmt.Errorf("%w after %d tokens: %w", errBroken, s.result.Next, err)
}

func (s *stream) lineBuffered() bool {
	b, _ := s.lines.Peek(s.lines.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(b, "\n"), '\n') >= 0
}

// line returns the next line, valid until the next call.
func (s *stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if s.long = append(s.long, line...); len(s.long) > maxLine {
			return nil, fmt.Errorf("line longer than %d bytes", maxLine)
		}
		line, err = s.lines.ReadSlice('\n')
	}
	s.long = append(s.long, line...)
	return s.long, err
}

var (
	dataField = []byte("data:")
	doneData  = []byte(brengine.DoneMarker)
)

// event handles one line and reports whether the stream is complete.
func (s *stream) event(line []byte) (bool, error) {
	line = bytes.TrimRight(line, "\r\n")
	if data, ok := bytes.CutPrefix(line, dataField); ok {
		data = bytes.TrimSpace(data)
		if !bytes.Equal(data, doneData) {
			return false, s.take(data)
		}
		if !s.finished {
			return false, fmt.Errorf("%w: end marker after %d tokens without the last chunk", errBroken, s.result.Next)
		}
		return true, s.flushLast()
	}
	if len(line) > 0 && line[0] == ':' && s.request.KeepAlive != nil {
		s.request.KeepAlive()
	}
	return false, s.checkProgress()
}

func (s *stream) flushLast() error {
	if s.unflushed && s.request.Flush != nil {
		if err := s.request.Flush(); err != nil {
			return brerror.New(brerror.Canceled, "flush to caller: %w", err)
		}
	}
	s.unflushed = false
	return nil
}

func (s *stream) checkProgress() error {
	since := s.client.clock().Now().Sub(s.progress)
	if s.finished || since < s.request.StuckAfter {
		return nil
	}
	s.client.Counters.Stuck.Add(1)
	return brerror.New(brerror.Stuck, "no token for %v after %d tokens", since.Round(time.Millisecond), s.result.Next)
}

// take checks one chunk against the stream's position and passes it on.
func (s *stream) take(data []byte) error {
	ch, n := &s.chunk, &s.client.Counters
	if err := parseChunk(data, ch); err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	end := ch.Offset + ch.Tokens
	switch {
	case string(ch.id) != s.request.RequestID:
		n.Foreign.Add(1)
		return s.checkProgress()
	case s.finished || ch.Tokens > 0 && end <= s.result.Next:
		n.Repeats.Add(1)
		return s.checkProgress()
	case ch.Offset != s.result.Next:
		n.Gaps.Add(1)
		return fmt.Errorf("%w: chunk at %d, expected %d", errBroken, ch.Offset, s.result.Next)
	case string(ch.FinishReason) == "canceled":
		return brerror.New(brerror.Canceled, "canceled at the engine after %d tokens", s.result.Next)
	}
	s.note(ch)
	if s.request.Chunk != nil {
		if err := s.request.Chunk(ch); err != nil {
			return brerror.New(brerror.Canceled, "pass on to caller: %w", err)
		}
	}
	// The time that a slow caller took is not the engine's.
	s.progress = s.client.clock().Now()
	s.unflushed = true
	return nil
}

func (s *stream) note(ch *Chunk) {
	if s.result.FirstToken == 0 && ch.Tokens > 0 {
		s.result.FirstToken = max(1, s.client.clock().Now().Sub(s.started))
	}
	if s.result.Version == "" {
		s.result.Version = string(ch.Version)
	}
	s.result.Next = ch.Offset + ch.Tokens
	if len(ch.FinishReason) > 0 {
		s.finished = true
		s.result.FinishReason, s.result.Usage = string(ch.FinishReason), ch.Usage
	}
}

// refusal describes an answer other than 200 and closes its connection.
func refusal(cn *conn, resp *http.Response) error {
	defer cn.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorLen))
	return brerror.New(brerror.EndpointFailed, "endpoint answered status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
}
