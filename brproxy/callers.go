package brproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connTracker tracks the connections of callers, so that idle ones can be closed
// without losing a request that arrives at the same time. The shutdown of
// http.Server isn't used since it can close a connection as idle whose request has
// just been read.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn

	servers []*limitedServer
}

// callerConn is the state of one connection. A request sets busy before it reads
// closing, and CloseIdle sets closing before it reads busy, so that at least one of
// them observes the other.
type callerConn struct {
	busy    atomic.Bool // true from the start of a request until its response is written
	closing atomic.Bool // no further request on the connection is dispatched
}

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
			s.busy.Store(false)
		}
	case http.StateClosed, http.StateHijacked:
		delete(p.callers.conns, c)
	}
}

// CloseIdle closes the connections without a request in progress. The other
// connections accept no further requests.
func (p *Proxy) CloseIdle() {
	var idle []net.Conn
	p.callers.mu.Lock()
	for c, s := range p.callers.conns {
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
