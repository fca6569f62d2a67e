package brdispatch

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brevent"
	"bramleyroute/brheader"
)

// Call is a call of a plain service.
type Call struct {
	RequestID string
	Address   string // host:port
	Method    string
	Path      string // escaped, with the query
	Route     string
	Header    http.Header // of the caller; hop-by-hop fields and keys are not forwarded
	Body      []byte
	Timeout   time.Duration // for the complete response; 0 means DefaultStuckTimeout

	// Boundary is called after the connection was opened and just before the first
	// byte is written. If it returns an error, nothing is written. It may be nil.
	Boundary func() error
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Buffer holds the memory of Body if Client.Responses is set. The caller must release it.
	Buffer *brbuffer.Body
}

// Call performs one exchange with a plain service and never repeats it, whatever the
// method. An error has the kind EndpointUnavailable if nothing was sent, and otherwise
// EndpointFailed, Stuck (no complete response in time) or Canceled. An error of
// Boundary is returned wrapped.
func (c *Client) Call(ctx context.Context, call Call) (Response, Result, error) {
	timeout := cmp.Or(call.Timeout, DefaultStuckTimeout)
	timeoutCtx, cancel := context.WithTimeoutCause(ctx, timeout+cmp.Or(c.DialTimeout, DefaultDialTimeout), context.DeadlineExceeded)
	defer cancel()
	req := newRequest(call.Method, call.Address, call.Path, bytes.NewReader(call.Body), int64(len(call.Body)))
	req.Header = forwardedHeader(call.Header)
	req.Header.Set(brengine.HeaderRequestID, call.RequestID)
	if call.Route != "" {
		req.Header.Set(brengine.HeaderRoute, call.Route)
	}
	var started time.Time
	boundary := func() error {
		if call.Boundary != nil {
			if err := call.Boundary(); err != nil {
				return err
			}
		}
		started = c.clock().Now()
		return nil
	}
	br := connReaders.Get().(*bufio.Reader)
	defer func() { br.Reset(nil); connReaders.Put(br) }()
	cn, resp, sent, err := c.dispatch(timeoutCtx, call.Address, fixedTimeout(timeout), boundary, req, br)
	if !sent {
		return Response{}, Result{PathFailed: cn == nil && c.pathFailed(ctx, call.Address, nil, err)}, err
	}
	var response Response
	if err == nil {
		response, err = c.readResponse(timeoutCtx, cn, resp)
	}
	res := Result{Dispatched: true, Complete: err == nil, Status: response.Status, Duration: c.clock().Now().Sub(started)}
	res.FirstToken = max(1, res.Duration)
	if err != nil {
		res.FirstToken = 0
		res.Lost = brevent.EndedByPeer(err)
		cause := err
		err = c.callError(ctx, timeoutCtx, res.Duration >= timeout, err)
		res.PathFailed = !brerror.Is(err, brerror.Canceled) && c.pathFailed(ctx, call.Address, cn, cause)
	}
	return response, res, err
}

// callError returns the error of a call that was sent. timedOut reports whether the
// call took longer than its timeout.
func (c *Client) callError(ctx, timeoutCtx context.Context, timedOut bool, err error) error {
	switch {
	case ctx.Err() != nil:
		return brerror.New(brerror.Canceled, "canceled: %w", context.Cause(ctx))
	case timedOut || timeoutCtx.Err() != nil:
		c.Counters.Stuck.Add(1)
		return brerror.New(brerror.Stuck, "no complete response in time: %w", err)
	}
	return brerror.New(brerror.EndpointFailed, "service failed: %w", err)
}

// readResponse reads the response body and closes the connection.
func (c *Client) readResponse(ctx context.Context, cn *conn, resp *http.Response) (Response, error) {
	defer cn.Close()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	limit := cmp.Or(c.MaxResponseBytes, DefaultMaxResponseBytes)
	buffer, body, err := c.readBody(cn, resp, limit)
	if err != nil {
		return Response{}, err
	}
	if brevent.IsStream(resp.Header) {
		rest := body[brevent.LastEnd(body):]
		if err := brevent.CheckEnd(brheader.FramingOf(resp), brevent.Count(body), rest); err != nil {
			buffer.Release()
			return Response{}, err
		}
	}
	return Response{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Body: body, Buffer: buffer}, nil
}

// readBody reads the body of a response of up to limit bytes. The buffer is nil without
// Client.Responses.
func (c *Client) readBody(cn *conn, resp *http.Response, limit int) (*brbuffer.Body, []byte, error) {
	tooLong := brerror.New(brerror.EndpointFailed, "response body is longer than %d bytes", limit)
	if c.Responses == nil {
		body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
		if err == nil && len(body) > limit {
			err = tooLong
		}
		return nil, body, err
	}
	stated := resp.ContentLength
	if resp.Body == http.NoBody {
		stated = 0
	}
	buffer, err := c.Responses.Collect(resp.Body, stated, int64(limit), func() { _ = cn.Close() })
	if errors.Is(err, brbuffer.ErrTooLarge) {
		err = tooLong
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := buffer.Bytes()
	if err != nil {
		buffer.Release()
	}
	return buffer, body, err
}

// omittedFields are the end-to-end header fields that aren't forwarded: idempotency
// keys, because an HTTP client may retry a request that has one; the caller's key; and
// fields that are set for the new request.
var omittedFields = []string{"Expect", "Content-Length", "Authorization", "Idempotency-Key", "X-Idempotency-Key"}

// forwardedHeader returns a copy of h with the fields that may be forwarded.
func forwardedHeader(h http.Header) http.Header {
	out := brheader.EndToEnd(h)
	for _, name := range omittedFields {
		out.Del(name)
	}
	return out
}
