package brproxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bramleyroute/brdrain"
	"bramleyroute/brpolicy"
)

const (
	// stoppingRetryAfter is the Retry-After of a request that is refused while the daemon
	// stops.
	stoppingRetryAfter = 100 * time.Millisecond
	// reasonStopping is the reason of a request that a stop has refused or ended.
	reasonStopping = "stopping"
)

// errStopping is the cause with which the requests in progress are canceled at the end of
// a stop.
var errStopping = errors.New("brproxy: daemon stops")

// drainState counts the requests in progress for a planned stop.
type drainState struct {
	ended context.Context // canceled at the end of the stop
	end   context.CancelFunc

	mu     sync.Mutex
	active int           // number of requests in progress
	plan   *brdrain.Plan // nil before the stop
	idle   chan struct{} // closed when no request is in progress; nil if nothing waits for it
}

func newDrainState() *drainState {
	d := &drainState{}
	d.ended, d.end = context.WithCancel(context.Background())
	return d
}

// add adds n to the number of requests in progress.
func (d *drainState) add(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active += n
	if d.active == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// whenIdle returns a channel that is closed when no request is in progress.
func (d *drainState) whenIdle() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan struct{})
	if d.active == 0 {
		close(c)
	} else {
		d.idle = c
	}
	return c
}

// schedule returns the plan of the stop, or nil if there is none.
func (d *drainState) schedule() *brdrain.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan
}

// bind returns a copy of ctx that is canceled with errStopping at the end of the stop. The
// caller must call the returned function.
func (d *drainState) bind(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.ended, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// stopped reports whether ctx was canceled at the end of a stop.
func stopped(ctx context.Context) bool { return context.Cause(ctx) == errStopping }

// stopReason returns the reason for the end of a request whose context is ctx: the stop, or
// else reason.
func stopReason(ctx context.Context, reason string) string {
	if stopped(ctx) {
		return reasonStopping
	}
	return reason
}

// admit reports whether q may be dispatched: during a stop it must be able to end in time.
// If it returns false it has sent the error response.
func (p *Proxy) admit(q *request) bool {
	plan := p.drain.schedule()
	if plan == nil {
		return true
	}
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	late := p.durations.ShareOver(now, q.route.Name, plan.End.Sub(now))
	p.mu.Unlock()
	r := brdrain.Request{Repeatable: q.route.RetryMode != brpolicy.NeverRetry, Deadline: q.deadline, Late: late}
	if p.drain.ended.Err() == nil && plan.Admits(now, r) {
		return true
	}
	p.refuse(q, http.StatusServiceUnavailable, reasonStopping, stoppingRetryAfter)
	return false
}

// DisableKeepAlives adds the header Connection: close to all further responses, so that
// callers close their connections. Idle connections stay open; see CloseIdle.
func (p *Proxy) DisableKeepAlives() { p.server.DisableKeepAlives() }

// Drain stops serving callers by plan: connections and requests are accepted until no request
// is in progress after plan.Steered, or until plan.End, when the requests in progress are
// ended. Connections that are idle at plan.Steered are closed. Then it closes the connections and returns when their responses are written, or
// with an error when ctx ends.
func (p *Proxy) Drain(ctx context.Context, plan brdrain.Plan) error {
	p.server.DisableKeepAlives()
	p.drain.mu.Lock()
	p.drain.plan = &plan
	p.drain.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-p.cfg.Clock.After(plan.End.Sub(p.cfg.Clock.Now())):
		case <-ctx.Done():
		}
		p.drain.end()
	}()
	defer func() {
		cancel()
		<-ended
	}()
	select {
	case <-p.cfg.Clock.After(plan.Steered.Sub(p.cfg.Clock.Now())):
	case <-p.drain.ended.Done(): // a short stop ends before that
	}
	// Idle connections lead here although load balancers don't. Their callers learn now that
	// they have to open others, and need no refusal for it.
	p.server.CloseIdle()
	select {
	case <-p.drain.whenIdle():
	case <-p.drain.ended.Done():
	}
	if err := p.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("brproxy: connections of callers are still open: %w", err)
	}
	return nil
}
