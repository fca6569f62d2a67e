package brproxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleyroute/brpolicy"
)

// errStalled is the cause with which the context of a stalled dispatch is canceled.
var errStalled = errors.New("brproxy: endpoint stalled")

const (
	// stallFraction is the fraction of the time until the caller disconnects after which
	// an endpoint that sends nothing counts as stalled.
	stallFraction = 0.5
	// busyStallFraction is the same for an endpoint that makes progress with other
	// requests. Under overload, sending a request again that only waits its turn there
	// would add to the load.
	busyStallFraction = 0.8
)

// stallTimer cancels a dispatch whose endpoint stalls. The zero value does nothing.
type stallTimer struct {
	timer     *time.Timer
	timeout   time.Duration              // without progress of the endpoint
	extension time.Duration              // added to timeout if the endpoint makes progress
	progress  func(since time.Time) bool // reports whether the endpoint has made progress
	now       func() time.Time
	cancel    context.CancelCauseFunc

	mu       sync.Mutex
	since    time.Time // of the dispatch, or of the last data
	extended bool
}

// watchStall returns a context for a dispatch to the endpoint with the given ID that is
// canceled with errStalled if the endpoint stalls. This applies only to requests that may
// be sent again: for the others the response may still arrive. The caller must call the
// returned function at the end of the dispatch.
func (p *Proxy) watchStall(ctx context.Context, q *request, endpointID string) (context.Context, *stallTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := p.cfg.Clock.Now()
	s := &stallTimer{
		cancel: cancel, now: p.cfg.Clock.Now, since: now,
		progress: func(since time.Time) bool { return p.progressSince(endpointID, since) },
	}
	if q.route.RetryMode != brpolicy.NeverRetry && q.sends < q.route.MaxAttempts {
		wait := q.deadline.Sub(now)
		if q.route.CallerTimeout > 0 {
			wait = min(wait, q.route.CallerTimeout)
		}
		s.timeout = time.Duration(stallFraction * float64(wait))
		s.extension = time.Duration((busyStallFraction - stallFraction) * float64(wait))
		s.mu.Lock() // the timer may expire at once
		s.timer = time.AfterFunc(s.timeout, s.expire)
		s.mu.Unlock()
	}
	return ctx, s, func() {
		if s.timer != nil {
			s.timer.Stop()
		}
		cancel(context.Canceled)
	}
}

// expire cancels the dispatch, or extends the timeout once if the endpoint makes
// progress with other requests.
func (s *stallTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.extended && s.progress(s.since) {
		s.extended = true
		s.timer.Reset(s.extension)
		return
	}
	s.cancel(errStalled)
}

// pause stops the timer while data of the endpoint is relayed, which may take as long as
// the caller takes to read.
func (s *stallTimer) pause() {
	if s.timer == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// reset restarts the timer when the data of the endpoint has been relayed.
func (s *stallTimer) reset() {
	if s.timer == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.extended = s.now(), false
	s.timer.Reset(s.timeout)
}

// progressSince reports whether an endpoint has made progress with any request since t.
func (p *Proxy) progressSince(endpointID string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.ProgressSince(endpointID, t)
}
