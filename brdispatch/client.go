package brdispatch

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brheader"
)

// Defaults of the Client settings.
const (
	DefaultDialTimeout      = 500 * time.Millisecond
	DefaultStallTimeout     = time.Second
	DefaultResumeAttempts   = 4
	DefaultResumeBackoff    = 100 * time.Millisecond
	DefaultStuckTimeout     = 60 * time.Second
	DefaultMaxResponseBytes = 8 << 20 // bytes
	cancelTimeout           = 2 * time.Second
	// pathCheckTimeout limits the check whether the path to an endpoint works, for which
	// the response to the caller waits.
	pathCheckTimeout = time.Second
)

// Client sends requests to endpoints. Its zero value uses the defaults and the system
// clock. It is safe for concurrent use, but its fields must be set before the first
// use.
type Client struct {
	Clock            brclock.Clock
	DialTimeout      time.Duration
	StallTimeout     time.Duration // time without any byte after which a stream is resumed
	ResumeAttempts   int           // maximum number of consecutive resumes without a new token
	ResumeBackoff    time.Duration // delay before the second consecutive resume; doubles with each further one
	MaxResponseBytes int           // maximum size of the body of a service's response in bytes
	// Responses limits the memory of the bodies of all services' responses together, until
	// their callers have released them; nil means no limit.
	Responses *brbuffer.Budget
	Counters  Counters

	// Dial opens a connection; nil uses net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// PathFailed reports whether this daemon's path to the endpoint at address may be to
	// blame for err rather than the endpoint. err is that of a dial if c is nil, and
	// otherwise that of an exchange on c, which was opened at the given time. nil means
	// that the endpoint is always to blame.
	PathFailed func(ctx context.Context, address string, c net.Conn, opened time.Time, err error) bool

	pendingCancels sync.WaitGroup
}

// Close waits until pending cancels have been sent or have timed out, which takes at
// most a few seconds.
func (c *Client) Close() { c.pendingCancels.Wait() }

// Counters holds counts since the creation of the client.
type Counters struct {
	Dispatches         atomic.Int64 // exchanges whose Boundary returned nil
	DialFailures       atomic.Int64
	Resumes            atomic.Int64
	OtherRequestChunks atomic.Int64 // dropped chunks of other requests
	RepeatedChunks     atomic.Int64 // dropped chunks that had been received before
	OffsetMismatches   atomic.Int64 // chunks at an unexpected offset
	Stalls             atomic.Int64 // stream reads that timed out after Client.StallTimeout
	Stuck              atomic.Int64 // streams without a token and calls without a response in time
	Cancels            atomic.Int64
}

// conn is a connection whose reads time out.
type conn struct {
	net.Conn
	opened      time.Time
	readTimeout func() time.Duration // time that the next read may take
	writeErr    error                // latest error of Write, which http.Request.Write doesn't wrap
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout())); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// fixedTimeout returns a function that returns d.
func fixedTimeout(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// dial opens a connection to address.
func (c *Client) dial(ctx context.Context, address string, readTimeout func() time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, DefaultDialTimeout))
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	nc, err := dial(ctx, "tcp", address)
	if err != nil {
		c.Counters.DialFailures.Add(1)
		return nil, err
	}
	return &conn{Conn: nc, opened: c.clock().Now(), readTimeout: readTimeout}, nil
}

// pathFailed calls PathFailed for an error on cn, or of a dial if cn is nil. The check goes
// on after the end of ctx.
func (c *Client) pathFailed(ctx context.Context, address string, cn *conn, err error) bool {
	if c.PathFailed == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pathCheckTimeout)
	defer cancel()
	if cn == nil {
		return c.PathFailed(ctx, address, nil, time.Time{}, err)
	}
	return c.PathFailed(ctx, address, cn.Conn, cn.opened, err)
}

// exchange writes req once and reads the header of the response with br, whose source
// it sets. It reads the response even if the write failed, because an endpoint may
// respond before it has read the complete body.
func exchange(cn *conn, br *bufio.Reader, req *http.Request) (*http.Response, error) {
	req.Close = true
	if err := cn.SetWriteDeadline(time.Now().Add(cn.readTimeout())); err != nil {
		return nil, err
	}
	writeErr := req.Write(cn)
	limiter := brheader.NewLimiter(cn)
	limiter.WriteError = func() error { return cn.writeErr }
	br.Reset(limiter)
	resp, err := limiter.ReadResponse(br, req)
	if err != nil {
		return nil, errors.Join(writeErr, err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("endpoint switched protocols")
	}
	return resp, nil
}

// Cancel cancels a request at the engine at address. It returns nil if the engine
// responds that it has no such request. Cancel is not a dispatch.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	c.Counters.Cancels.Add(1)
	cn, err := c.dial(ctx, address, fixedTimeout(cancelTimeout))
	if err != nil {
		return brerror.New(brerror.EndpointUnavailable, "cancel %s at %s: %w", requestID, address, err)
	}
	defer cn.Close()
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	req := newRequest(http.MethodDelete, address, brengine.PathRequests+url.PathEscape(requestID), nil, 0)
	resp, err := exchange(cn, bufio.NewReader(cn), req)
	if err != nil {
		return brerror.New(brerror.EndpointFailed, "cancel %s at %s: %w", requestID, address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return brerror.New(brerror.EndpointFailed, "cancel %s at %s: status %d", requestID, address, resp.StatusCode)
	}
	return nil
}

// newRequest returns a request without GetBody, so that it can't be repeated. path may
// contain a query.
func newRequest(method, address, path string, body io.Reader, length int64) *http.Request {
	u, err := url.Parse(path)
	if err != nil {
		u = &url.URL{Path: path}
	}
	u.Scheme, u.Host = "http", address
	r := &http.Request{Method: method, URL: u, Host: address, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	if length > 0 {
		r.Body, r.ContentLength = io.NopCloser(body), length
	}
	return r
}

// dispatch opens a connection, calls boundary and performs the exchange. The returned
// bool reports whether boundary returned nil, that is, whether the request may have
// been sent. The connection is nil only if the dial failed.
func (c *Client) dispatch(ctx context.Context, address string, readTimeout func() time.Duration, boundary func() error,
	req *http.Request, br *bufio.Reader) (*conn, *http.Response, bool, error) {
	cn, err := c.dial(ctx, address, readTimeout)
	if err != nil {
		return nil, nil, false, brerror.New(brerror.EndpointUnavailable, "dial %s: %w", address, err)
	}
	if err := ctx.Err(); err != nil {
		_ = cn.Close()
		return cn, nil, false, brerror.New(brerror.EndpointUnavailable, "not sent to %s: %w", address, err)
	}
	if err := boundary(); err != nil {
		_ = cn.Close()
		return cn, nil, false, fmt.Errorf("not sent to %s: %w", address, err)
	}
	c.Counters.Dispatches.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	defer stop()
	resp, err := exchange(cn, br, req)
	if err != nil {
		_ = cn.Close()
		return cn, nil, true, err
	}
	return cn, resp, true, nil
}

func (c *Client) clock() brclock.Clock {
	if c.Clock == nil {
		return brclock.System{}
	}
	return c.Clock
}
