package brproxy

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// stoppingRetryAfter is the Retry-After of a request that arrives while the daemon
// shuts down.
const stoppingRetryAfter = 100 * time.Millisecond

// drainState counts the requests in progress for a graceful shutdown.
type drainState struct {
	mu         sync.Mutex
	active     int           // number of requests in progress
	closeConns bool          // responses have the header Connection: close
	stopped    bool          // no further request is accepted
	drained    chan struct{} // closed when no request is in progress; nil before the first call of Drain
}

// begin counts a request. It returns false if no further request is accepted.
func (d *drainState) begin(w http.ResponseWriter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closeConns {
		w.Header().Set("Connection", "close")
	}
	if d.stopped {
		return false
	}
	d.active++
	return true
}

// end counts the end of a request.
func (d *drainState) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active == 0 && d.drained != nil {
		d.finish()
	}
}

// finish ends the wait of Drain. No further request is accepted. The caller must
// hold d.mu.
func (d *drainState) finish() {
	if !d.stopped {
		d.stopped = true
		close(d.drained)
	}
}

// DisableKeepAlives adds the header Connection: close to all further responses, so
// that callers close their connections. Idle connections stay open; see CloseIdle.
func (p *Proxy) DisableKeepAlives() {
	p.drain.mu.Lock()
	defer p.drain.mu.Unlock()
	p.drain.closeConns = true
}

// Drain waits until no request is in progress; requests that arrive later are
// refused. If ctx ends first, Drain returns its error and the requests in progress
// continue.
func (p *Proxy) Drain(ctx context.Context) error {
	d := &p.drain
	d.mu.Lock()
	if d.drained == nil {
		d.drained = make(chan struct{})
	}
	if d.active == 0 {
		d.finish()
	}
	d.mu.Unlock()
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
