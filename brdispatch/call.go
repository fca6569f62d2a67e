package brdispatch

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brheader"
)

// Call is one call of a plain service.
type Call struct {
	RequestID string
	Address   string // host:port
	Method    string
	Path      string // escaped, with the query
	Route     string
	Header    http.Header // of the caller; connection headers and keys are not passed on
	Body      []byte
	Timeout   time.Duration // for the whole answer; 0 means DefaultStuckAfter

	// Boundary runs after the dial and just before the first byte is written.
	// When it fails, nothing is written.
	Boundary func() error
}

// Answer is what a plain service answered, whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call performs one exchange with a plain service, for any method, and never
// repeats it. Errors have a kind: EndpointUnavailable when nothing was sent,
// EndpointFailed, Stuck (no whole answer in time) or Canceled otherwise; an
// error of Boundary is returned wrapped.
func (c *Client) Call(ctx context.Context, call Call) (Answer, Result, error) {
	timeout := cmp.Or(call.Timeout, DefaultStuckAfter)
	timed, cancel := context.WithTimeoutCause(ctx, timeout+cmp.Or(c.DialTimeout, DefaultDialTimeout), context.DeadlineExceeded)
	defer cancel()
	req := newRequest(call.Method, call.Address, call.Path, bytes.NewReader(call.Body), int64(len(call.Body)))
	req.Header = forwarded(call.Header)
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
	cn, resp, sent, err := c.dispatch(timed, call.Address, timeout, boundary, req, br)
	if !sent {
		return Answer{}, Result{}, err
	}
	var answer Answer
	if err == nil {
		answer, err = c.readAnswer(timed, cn, resp)
	}
	res := Result{Dispatched: true, Complete: err == nil, Status: answer.Status, Duration: c.clock().Now().Sub(started)}
	res.FirstToken = max(1, res.Duration)
	if err != nil {
		res.FirstToken = 0
		err = c.callError(ctx, timed, res.Duration >= timeout, err)
	}
	return answer, res, err
}

func (c *Client) callError(ctx, timed context.Context, late bool, err error) error {
	switch {
	case ctx.Err() != nil:
		return brerror.New(brerror.Canceled, "canceled: %w", context.Cause(ctx))
	case late || timed.Err() != nil:
		c.Counters.Stuck.Add(1)
		return brerror.New(brerror.Stuck, "no whole answer in time: %w", err)
	}
	return brerror.New(brerror.EndpointFailed, "service failed: %w", err)
}

func (c *Client) readAnswer(ctx context.Context, cn *conn, resp *http.Response) (Answer, error) {
	defer cn.Close()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	limit := cmp.Or(c.MaxAnswer, DefaultMaxAnswer)
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > limit {
		return Answer{}, brerror.New(brerror.EndpointFailed, "answer is longer than %d bytes", limit)
	}
	return Answer{Status: resp.StatusCode, Header: forwarded(resp.Header), Body: body}, nil
}

// withheld are the end-to-end fields that aren't passed on: they would let a
// retrying client treat the request as repeatable, are the caller's key, or are
// set anew.
var withheld = []string{"Expect", "Content-Length", "Authorization", "Idempotency-Key", "X-Idempotency-Key"}

// forwarded returns the headers that may be passed on.
func forwarded(h http.Header) http.Header {
	out := brheader.EndToEnd(h)
	for _, name := range withheld {
		out.Del(name)
	}
	return out
}
