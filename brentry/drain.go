package brentry

import (
	"context"
	"time"

	"bramleyroute/brerror"
)

// drainInterval is how often a stopping entry looks for streams without progress.
const drainInterval = 100 * time.Millisecond

// Drain stops the entry gracefully. New work is refused with shutting_down and
// the entry is not ready from now on; requests that are held are finished whole,
// however slowly they progress. One that makes no progress for the DrainStuck
// setting is ended as stuck. Drain returns nil when nothing is left, and the
// context's error when it ends before that.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for {
		left := e.endStuck()
		if left == 0 {
			break
		}
		select {
		case <-e.clock.After(drainInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	committed := make(chan struct{})
	go func() { e.work.Wait(); close(committed) }()
	select {
	case <-committed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// endStuck ends the running requests without progress and returns how many
// callers are still being served.
func (e *Entry) endStuck() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, h := range e.registry.held {
		if h.phase != running || h.submit.NonIdempotent {
			continue
		}
		if since := now.Sub(time.Unix(0, h.progress.Load())); since > e.config.DrainStuck {
			h.cancel(brerror.New(brerror.Stuck, "no token for %v while the entry stops", since.Round(time.Millisecond)))
		}
	}
	return e.callers
}

// serving counts a caller until the returned function is called.
func (e *Entry) serving() func() {
	e.Counters.Received.Add(1)
	e.mu.Lock()
	e.callers++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.callers--
		e.mu.Unlock()
	}
}

// Close ends the background work, such as commits to the ledger that have not
// succeeded yet, and waits for it. It is called once, after Drain and after the
// HTTP server was closed.
func (e *Entry) Close() {
	close(e.stop)
	e.work.Wait()
	e.client.Close()
}
