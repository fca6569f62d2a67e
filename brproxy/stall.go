package brproxy

import (
	"context"
	"errors"
	"time"

	"bramleyroute/brpolicy"
)

// errSilent ends a dispatch whose endpoint has sent nothing for too long.
var errSilent = errors.New("brproxy: endpoint is silent")

// silentShare is the part of the time after which the caller would leave that an
// endpoint may be silent before the request goes to another one.
const silentShare = 0.5

// silence watches the progress of one dispatch of a request that may be repeated.
// Its zero value watches nothing.
type silence struct {
	timer *time.Timer
	limit time.Duration
}

// watch returns a context for a dispatch, which ends with errSilent when the
// endpoint is silent while another one could still take the request. It does so
// for requests that may be repeated only: for the others the answer may still come.
func (p *Proxy) watch(ctx context.Context, q *request) (context.Context, *silence, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{}
	if q.route.Repeat != brpolicy.Never && q.sends < q.route.Attempts {
		wait := q.deadline.Sub(p.cfg.Clock.Now())
		if q.route.Patience > 0 {
			wait = min(wait, q.route.Patience)
		}
		s.limit = time.Duration(silentShare * float64(wait))
		s.timer = time.AfterFunc(s.limit, func() { cancel(errSilent) })
	}
	return ctx, s, func() {
		if s.timer != nil {
			s.timer.Stop()
		}
		cancel(context.Canceled)
	}
}

// progress notes that the endpoint has sent something.
func (s *silence) progress() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}
