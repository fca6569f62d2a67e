package brproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connTracker tracks the connections of callers, so that idle ones can be closed
// without losing a request that arrives at the same time. The shutdown of
// http.Server isn't used since it can close a connection as idle whose request has
// just been read.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn

	servers []*limitedServer // those that accept connections
}

// callerConn is the state of one connection. A request sets busy before it reads
// closing, and CloseIdle sets closing before it reads busy, so that at least one of
// them observes the other.
type callerConn struct {
	busy    atomic.Bool // true from the start of a request until its response is written
	closing atomic.Bool // no further request on the connection is dispatched

	idleSince time.Time     // zero while a request is in progress and before the first one
	idleLimit time.Duration // longest limit in force since the latest request began, until idleSince
}

const (
	// defaultIdleTimeout applies if the policy sets none.
	defaultIdleTimeout = 30 * time.Second
	// idleGrace is added to the idle timeout. A caller may know a policy with a longer one
	// before this daemon does, and may send a request at the very end of it.
	idleGrace = time.Second
	// idleCheckInterval is the interval at which idle connections are checked.
	idleCheckInterval = 10 * tickInterval
)

// callerConnKey is the context key of the *callerConn of a request.
type callerConnKey struct{}

// ConnContext registers a connection. It must be set as the ConnContext of the
// http.Server that serves p.
func (p *Proxy) ConnContext(ctx context.Context, c net.Conn) context.Context {
	s := &callerConn{}
	p.callers.mu.Lock()
	if p.callers.conns == nil {
		p.callers.conns = map[net.Conn]*callerConn{}
	}
	p.callers.conns[c] = s
	p.callers.mu.Unlock()
	return context.WithValue(ctx, callerConnKey{}, s)
}

// ConnState records state changes of a connection. It must be set as the ConnState
// of the http.Server that serves p.
func (p *Proxy) ConnState(c net.Conn, state http.ConnState) {
	p.callers.mu.Lock()
	defer p.callers.mu.Unlock()
	switch state {
	case http.StateIdle:
		if s := p.callers.conns[c]; s != nil {
			s.idleSince, s.idleLimit = p.cfg.Clock.Now(), max(s.idleLimit, p.idleTimeout())
			s.busy.Store(false)
		}
	case http.StateActive:
		if s := p.callers.conns[c]; s != nil {
			s.idleSince, s.idleLimit = time.Time{}, p.idleTimeout()
		}
	case http.StateClosed, http.StateHijacked:
		delete(p.callers.conns, c)
	}
}

// CloseIdle closes the connections without a request in progress. The other
// connections accept no further requests.
func (p *Proxy) CloseIdle() { p.closeIdle(func(*callerConn) bool { return true }) }

// closeExpired closes the connections that have been idle for idleGrace longer than the
// policies allow: that in force now, and those in force during the last request, on which
// their callers may still rely.
func (p *Proxy) closeExpired() {
	now, limit := p.cfg.Clock.Now(), p.idleTimeout()
	p.closeIdle(func(s *callerConn) bool {
		return !s.idleSince.IsZero() && now.Sub(s.idleSince) > max(limit, s.idleLimit)+idleGrace
	})
}

// closeIdle closes the connections that match and have no request in progress. Those that
// match and have one accept no further requests.
func (p *Proxy) closeIdle(match func(*callerConn) bool) {
	var idle []net.Conn
	p.callers.mu.Lock()
	for c, s := range p.callers.conns {
		if !match(s) {
			continue
		}
		s.closing.Store(true)
		if !s.busy.Load() {
			idle = append(idle, c)
		}
	}
	p.callers.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// idleTimeout returns the idle timeout of the policy in force.
func (p *Proxy) idleTimeout() time.Duration {
	if t := p.table.Load(); t != nil && t.Policy().Limits.IdleTimeout > 0 {
		return t.Policy().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// markBusy marks the connection of a request as busy. It returns false if the
// connection is being closed.
func markBusy(r *http.Request) bool {
	s, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return true
	}
	s.busy.Store(true)
	return !s.closing.Load()
}
