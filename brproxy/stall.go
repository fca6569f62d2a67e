package brproxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
)

// errStalled is the cause with which the context of a stalled dispatch is canceled in favor
// of its successor.
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
	// maxOverlap is the longest time for which a stalled run goes on after its successor
	// was sent. An endpoint without room rejects a request within milliseconds. The users
	// bound the time in which two runs of a request are at work by 400 ms.
	maxOverlap = 200 * time.Millisecond
)

// stallWatch seeks a successor for a dispatch whose endpoint stalls. A sound endpoint may
// be silent for a second and go on. So the dispatch is ended only when the successor is
// accepted or has been sent for maxOverlap, and goes on if there is none. Data that
// arrives meanwhile ends the search.
//
// The goroutine of the request calls the methods. It must not change the request between
// await and progress or stop, since a search reads it.
type stallWatch struct {
	proxy    *Proxy
	request  *request
	ctx      context.Context         // of the request
	cancel   context.CancelCauseFunc // ends the dispatch
	endpoint string                  // ID of the endpoint

	mu        sync.Mutex
	timer     *time.Timer // nil if the request must not be sent again
	waiting   bool        // the dispatch waits for data
	stopped   bool
	since     time.Time          // begin of the wait
	timeout   time.Duration      // after which the endpoint has stalled
	extension time.Duration      // added to timeout if the endpoint makes other progress
	extended  bool               // timeout was extended during this wait
	endSearch context.CancelFunc // nil if no successor is sought
	failed    []string           // IDs of endpoints that were to be successors
	sends     int                // number of requests sent to them
	sending   bool               // a request was sent to the successor that is sought
	ran       bool               // one of those endpoints may have run the request
	attempts  int                // number of further sends that the route allows
	next      *attempt           // set when the dispatch was canceled with errStalled

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
	w.attempts = q.route.MaxAttempts - q.sends
	w.begin()
	w.timer = time.AfterFunc(w.timeout, w.check)
	return dispatchCtx, w
}

// begin begins a wait for data. The caller must hold w.mu.
func (w *stallWatch) begin() {
	w.since = w.proxy.cfg.Clock.Now()
	wait := w.request.deadline.Sub(w.since)
	if t := w.request.route.CallerTimeout; t > 0 {
		wait = min(wait, t)
	}
	w.timeout = time.Duration(stallFraction * float64(wait))
	w.extension = time.Duration((busyStallFraction - stallFraction) * float64(wait))
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
func (w *stallWatch) stop() *attempt {
	w.mu.Lock()
	w.stopped = true
	w.pause()
	w.mu.Unlock()
	return w.finish()
}

// stopFailed is stop for a dispatch that has failed: a successor that was sent is awaited
// until it is accepted or rejected, or for the rest of maxOverlap. Ending it would lose a
// send, and perhaps the last one that the route allows.
func (w *stallWatch) stopFailed() *attempt {
	w.mu.Lock()
	if !w.sending {
		w.mu.Unlock()
		return w.stop()
	}
	w.stopped, w.waiting = true, false
	w.mu.Unlock()
	return w.finish()
}

// finish waits for the end of a search after the watch was stopped, and returns the
// successor.
func (w *stallWatch) finish() *attempt {
	w.searches.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.next
	w.next = nil
	w.request.tried = append(w.request.tried, w.failed...)
	w.request.sends += w.sends
	w.request.mayHaveRun = w.request.mayHaveRun || w.ran
	w.failed, w.sends, w.ran = nil, 0, false
	return next
}

// close ends the watch of a dispatch that needs no successor.
func (w *stallWatch) close() {
	if next := w.stop(); next != nil {
		w.proxy.dropSuccessor(w.request, next)
	}
}

// end closes the watch and releases the context of the dispatch.
func (w *stallWatch) end() {
	w.close()
	w.cancel(context.Canceled)
}

// check begins a search if the endpoint has stalled, and otherwise waits until it may have.
func (w *stallWatch) check() {
	defer w.proxy.recoverSearch(w.request)
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
	if w.sends >= w.attempts {
		return
	}
	r := w.proxy.placementRequest(w.request)
	r.ExcludedEndpoints = slices.Concat(w.request.tried, w.failed)
	r.MaxQueueTime = w.request.callerWait(w.proxy.cfg.Clock.Now()) // nothing is lost by waiting
	ctx, cancel := context.WithCancel(w.ctx)
	w.endSearch = cancel
	w.searches.Go(func() {
		defer w.proxy.recoverSearch(w.request)
		if w.search(ctx, r) {
			return // the successor uses ctx
		}
		defer cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.waiting && ctx.Err() == nil { // otherwise endSearch may be that of a later search
			w.endSearch = nil
			w.timer.Reset(searchInterval)
		}
	})
}

// search seeks a successor for the request r and reports whether one has replaced the
// dispatch.
func (w *stallWatch) search(ctx context.Context, r brplace.Request) bool {
	for len(r.ExcludedEndpoints) < maxEndpointsTried && w.proxy.retryAvailable(w.request) {
		a, err := w.proxy.findSuccessor(ctx, w.request, r)
		if a == nil {
			return false
		}
		if err == nil {
			return w.try(ctx, a)
		}
		w.proxy.endAttempt(w.request, a)
		if ctx.Err() != nil {
			return false
		}
		r.ExcludedEndpoints = append(r.ExcludedEndpoints, a.endpoint.ID)
		w.addFailed(a, 0)
	}
	return false
}

// try sends the successor a and reports whether it has replaced the dispatch. If not, it ends
// the attempt, also after a panic.
func (w *stallWatch) try(ctx context.Context, a *attempt) (replaced bool) {
	defer func() {
		switch {
		case replaced:
			return
		case a.sent != nil:
			a.sent.drop()
			w.addFailed(a, 1)
			w.mu.Lock()
			w.ran = w.ran || !a.notRun
			w.mu.Unlock()
		default:
			a.conn.Release()
		}
		w.proxy.endAttempt(w.request, a)
	}()
	return w.send(ctx, a)
}

// addFailed records an attempt that didn't replace the dispatch, with the number of sends.
func (w *stallWatch) addFailed(a *attempt, sends int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = append(w.failed, a.endpoint.ID)
	w.sends += sends
	w.sending = false
}

// send sends the successor a and reports whether it has replaced the dispatch: its endpoint
// has accepted the request, or has neither rejected it nor failed within maxOverlap.
func (w *stallWatch) send(ctx context.Context, a *attempt) bool {
	r, ok := w.prepare(ctx, a)
	if !ok {
		return false
	}
	w.proxy.sendAhead(ctx, w.request, a, r)
	select {
	case <-a.sent.done:
	case <-w.proxy.cfg.Clock.After(maxOverlap):
	}
	return !w.proxy.rejected(ctx, w.request, a) && w.replace(ctx, a)
}

// prepare returns the request to be sent to the successor a, and whether it may be sent:
// the search hasn't ended, and the retry budget has a retry.
func (w *stallWatch) prepare(ctx context.Context, a *attempt) (brconn.Request, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || !w.proxy.takeRetry(w.request) || !w.proxy.beginTrial(w.request, a) {
		return brconn.Request{}, false
	}
	r := w.proxy.outgoing(w.request, a)
	w.sending, a.continues = true, w.request.headSent
	return r, true
}

// replace ends the dispatch in favor of a, unless the search has ended, and reports whether
// it did.
func (w *stallWatch) replace(ctx context.Context, a *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	w.next, w.endSearch, w.sending = a, nil, false
	w.cancel(errStalled)
	return true
}

// progressSince reports whether an endpoint has made progress with any request since t.
func (p *Proxy) progressSince(endpointID string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement.ProgressSince(endpointID, t)
}
