package brentry

import (
	"context"
	"time"

	"bramleyroute/brerror"
)

// drainInterval is the interval at which a draining entry checks for stuck streams.
const drainInterval = 100 * time.Millisecond

// Drain stops the entry gracefully. From its call on, the entry isn't ready and
// refuses new requests with kind shutting_down. Requests in progress run to their
// end, however slow they are, except for those without a new token for
// Config.DrainStuckTimeout, which end with an error of kind stuck. Drain returns nil
// when all requests and ledger commits have ended, or the cause of ctx if ctx ends
// first.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for {
		active := e.cancelStuck()
		if active == 0 {
			break
		}
		select {
		case <-e.clock.After(drainInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	commitsDone := make(chan struct{})
	go func() { e.background.Wait(); close(commitsDone) }()
	select {
	case <-commitsDone:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// EndRequests refuses new requests and ends those in progress, each with a response:
// requests that weren't dispatched with kind shutting_down, and the others with kind
// deadline_exceeded, whose outcome is unknown. It doesn't wait for the responses.
func (e *Entry) EndRequests() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.end()
}

// errUndispatchedEnd is the error of a request that EndRequests ended before its dispatch.
var errUndispatchedEnd = brerror.New(brerror.ShuttingDown, "entry is shutting down")

// cancelAtEnd cancels a dispatch or a resumed response if EndRequests is called before the
// returned function.
func (e *Entry) cancelAtEnd(cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(e.ended, func() {
		cancel(brerror.New(brerror.DeadlineExceeded, "entry was stopped before the response was complete"))
	})
}

// ledgerContext returns a context for an access to the ledger before a dispatch.
func (e *Entry) ledgerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	stop := context.AfterFunc(e.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cancelStuck cancels stuck requests and returns the number of callers that are
// still being served. It doesn't cancel non-idempotent requests.
func (e *Entry) cancelStuck() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, h := range e.registry.held {
		if h.phase != running || h.submit.NonIdempotent {
			continue
		}
		if idle := now.Sub(time.Unix(0, h.lastProgress.Load())); idle > e.config.DrainStuckTimeout {
			h.cancel(brerror.New(brerror.Stuck, "no token for %v while the entry is draining", idle.Round(time.Millisecond)))
		}
	}
	return e.activeCallers
}

// countCaller counts a caller as active until the returned function is called.
func (e *Entry) countCaller() func() {
	e.Counters.Received.Add(1)
	e.mu.Lock()
	e.activeCallers++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.activeCallers--
		e.mu.Unlock()
	}
}

// Close stops the background work, such as the retries of ledger commits, and waits
// for its end. It must be called once, after Drain and after the HTTP server was
// closed.
func (e *Entry) Close() {
	close(e.stop)
	e.background.Wait()
	e.client.Close()
}
