package brproxy

import (
	"context"
	"errors"
	"time"

	"bramleyroute/brpolicy"
)

// errStalled is the cause with which the context of a stalled dispatch is canceled.
var errStalled = errors.New("brproxy: endpoint stalled")

// stallFraction is the fraction of the time until the caller disconnects after which
// an endpoint that sends nothing counts as stalled.
const stallFraction = 0.5

// stallTimer cancels a dispatch whose endpoint stalls. The zero value does nothing.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// watchStall returns a context for a dispatch that is canceled with errStalled if
// the endpoint stalls. This applies only to requests that may be sent again: for the
// others the response may still arrive. The caller must call the returned function
// at the end of the dispatch.
func (p *Proxy) watchStall(ctx context.Context, q *request) (context.Context, *stallTimer, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stallTimer{}
	if q.route.RetryMode != brpolicy.NeverRetry && q.sends < q.route.MaxAttempts {
		wait := q.deadline.Sub(p.cfg.Clock.Now())
		if q.route.CallerTimeout > 0 {
			wait = min(wait, q.route.CallerTimeout)
		}
		s.timeout = time.Duration(stallFraction * float64(wait))
		s.timer = time.AfterFunc(s.timeout, func() { cancel(errStalled) })
	}
	return ctx, s, func() {
		if s.timer != nil {
			s.timer.Stop()
		}
		cancel(context.Canceled)
	}
}

// reset restarts the timer when the endpoint has sent data.
func (s *stallTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}
