package brproxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
)

// errStalled is the cause with which the context of a stalled dispatch is canceled when
// its successor is about to be sent.
var errStalled = errors.New("brproxy: endpoint stalled")

const (
	// stallFraction is the fraction of the time until the caller disconnects after which
	// an endpoint that sends nothing counts as stalled.
	stallFraction = 0.5
	// busyStallFraction is the same for an endpoint that makes progress with other
	// requests. Under overload, sending a request again that only waits its turn there
	// would add to the load.
	busyStallFraction = 0.8
	// searchInterval is the interval at which a successor is sought again after none
	// was found.
	searchInterval = 250 * time.Millisecond
)

// stallWatch seeks a successor for a dispatch whose endpoint stalls. A sound endpoint may
// be silent for a second and go on. So the dispatch is ended only when the successor can
// be sent at once, and goes on if there is none. Data that arrives meanwhile ends the
// search.
//
// The goroutine of the request calls the methods. It must not change the request between
// await and progress or stop, since a search reads it.
type stallWatch struct {
	proxy    *Proxy
	request  *request
	ctx      context.Context         // of the request
	cancel   context.CancelCauseFunc // ends the dispatch
	endpoint string                  // ID of the endpoint

	mu          sync.Mutex
	timer       *time.Timer // nil if the request must not be sent again
	waiting     bool        // the dispatch waits for data
	stopped     bool
	since       time.Time          // begin of the wait
	timeout     time.Duration      // after which the endpoint has stalled
	extension   time.Duration      // added to timeout if the endpoint makes other progress
	extended    bool               // timeout was extended during this wait
	endSearch   context.CancelFunc // nil if no successor is sought
	unreachable []string           // IDs of endpoints that were to be successors
	next        *successor         // set when the dispatch was canceled with errStalled

	searches sync.WaitGroup
}

// watchStall returns a context for the dispatch of q to the endpoint with the given ID,
// which is canceled with errStalled when a successor replaces it, and the watch that seeks
// one. Only requests that may be sent again have successors. The caller must call end at
// the end of the dispatch.
func (p *Proxy) watchStall(ctx context.Context, q *request, endpointID string) (context.Context, *stallWatch) {
	dispatchCtx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{proxy: p, request: q, ctx: ctx, cancel: cancel, endpoint: endpointID}
	if q.route.RetryMode == brpolicy.NeverRetry || q.sends >= q.route.MaxAttempts {
		return dispatchCtx, w
	}
	w.mu.Lock() // the timer may expire at once
	defer w.mu.Unlock()
	w.begin()
	w.timer = time.AfterFunc(w.timeout, w.check)
	return dispatchCtx, w
}

// begin begins a wait for data. The caller must hold w.mu.
func (w *stallWatch) begin() {
	w.since = w.proxy.cfg.Clock.Now()
	wait := float64(w.request.callerWait(w.since))
	w.timeout = time.Duration(stallFraction * wait)
	w.extension = time.Duration((busyStallFraction - stallFraction) * wait)
	w.waiting, w.extended = true, false
}

// await reports that the dispatch waits for data, unless it does already.
func (w *stallWatch) await() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped || w.waiting {
		return
	}
	w.begin()
	w.timer.Reset(w.timeout)
}

// progress reports that data has arrived, which ends a search. It returns false if a
// successor is to be sent already: the data must not be relayed then.
func (w *stallWatch) progress() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause()
	return w.next == nil
}

// pause ends the wait for data and a search. The caller must hold w.mu.
func (w *stallWatch) pause() {
	w.waiting = false
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.endSearch != nil {
		w.endSearch()
		w.endSearch = nil
	}
}

// stop ends the watch and waits for the end of a search. It returns the successor that is
// to be sent, once, or nil.
func (w *stallWatch) stop() *successor {
	w.mu.Lock()
	w.stopped = true
	w.pause()
	w.mu.Unlock()
	w.searches.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.next
	w.next = nil
	w.request.tried = append(w.request.tried, w.unreachable...)
	w.unreachable = nil
	return next
}

// close ends the watch of a dispatch that needs no successor.
func (w *stallWatch) close() {
	if next := w.stop(); next != nil {
		w.proxy.releaseSuccessor(next)
	}
}

// end closes the watch and releases the context of the dispatch.
func (w *stallWatch) end() {
	w.close()
	w.cancel(context.Canceled)
}

// check begins a search if the endpoint has stalled, and otherwise waits until it may have.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.endSearch != nil || w.next != nil {
		return
	}
	limit := w.timeout
	if w.extended {
		limit += w.extension
	}
	if left := limit - w.proxy.cfg.Clock.Now().Sub(w.since); left > 0 {
		w.timer.Reset(left)
		return
	}
	if !w.extended && w.proxy.progressSince(w.endpoint, w.since) {
		w.extended = true
		w.timer.Reset(w.extension)
		return
	}
	w.beginSearch()
}

// beginSearch begins to seek a successor. The caller must hold w.mu.
func (w *stallWatch) beginSearch() {
	excluded := append(w.request.tried[:len(w.request.tried):len(w.request.tried)], w.unreachable...)
	if len(excluded) >= maxEndpointsTried {
		return
	}
	r := w.proxy.placementRequest(w.request)
	r.ExcludedEndpoints = excluded
	r.MaxQueueTime = w.request.callerWait(w.proxy.cfg.Clock.Now()) // nothing is lost by waiting
	ctx, cancel := context.WithCancel(w.ctx)
	w.endSearch = cancel
	w.searches.Go(func() {
		defer cancel()
		w.search(ctx, r)
	})
}

// search seeks a successor for the request r. If it finds none, the next search follows
// after searchInterval, or at once if an endpoint couldn't be reached.
func (w *stallWatch) search(ctx context.Context, r brplace.Request) {
	var next *successor
	if w.proxy.retryAvailable(w.request) {
		next = w.proxy.findSuccessor(ctx, w.request, r)
	}
	w.mu.Lock()
	replaced := w.replace(ctx, next)
	if !replaced && ctx.Err() == nil {
		w.endSearch = nil
		wait := searchInterval
		if next != nil && next.conn == nil {
			wait = 0
		}
		w.timer.Reset(wait)
	}
	w.mu.Unlock()
	if !replaced && next != nil {
		w.proxy.releaseSuccessor(next)
	}
}

// replace ends the dispatch in favor of next and reports whether it did. The caller must
// hold w.mu.
func (w *stallWatch) replace(ctx context.Context, next *successor) bool {
	switch {
	case next == nil || ctx.Err() != nil:
		return false
	case next.conn == nil:
		w.unreachable = append(w.unreachable, next.endpoint.ID)
		return false
	case !w.proxy.takeRetry(w.request):
		return false
	}
	w.next = next
	w.cancel(errStalled)
	return true
}

// progressSince reports whether an endpoint has made progress with any request since t.
func (p *Proxy) progressSince(endpointID string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.ProgressSince(endpointID, t)
}
