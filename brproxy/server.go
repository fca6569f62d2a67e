package brproxy

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleyroute/brpolicy"
)

// Connection timeouts that apply if the policy sets none.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Serve accepts connections of callers from l until l is closed. The limits of the
// policy in force when a connection is accepted apply to it until it is closed.
func (p *Proxy) Serve(l net.Listener) error {
	var current *limitedServer
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		var limits brpolicy.Limits
		if t := p.table.Load(); t != nil {
			limits = t.Policy().Limits
		}
		if current == nil || current.limits != limits {
			current = p.newLimitedServer(l.Addr(), limits)
		}
		current.conns <- c
	}
}

// limitedServer serves connections with the same limits. It implements net.Listener
// for its http.Server.
type limitedServer struct {
	limits brpolicy.Limits
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
	server *http.Server
}

func (p *Proxy) newLimitedServer(addr net.Addr, limits brpolicy.Limits) *limitedServer {
	s := &limitedServer{limits: limits, conns: make(chan net.Conn), addr: addr, closed: make(chan struct{})}
	s.server = &http.Server{
		Handler: p, ConnContext: p.ConnContext, ConnState: p.ConnState,
		MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	if limits.HeaderTimeout > 0 {
		s.server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.server.IdleTimeout = limits.IdleTimeout
	}
	p.callers.mu.Lock()
	p.callers.servers = append(p.callers.servers, s)
	p.callers.mu.Unlock()
	p.wg.Go(func() {
		if err := s.server.Serve(s); !errors.Is(err, http.ErrServerClosed) {
			p.cfg.Log.Error().Err(err).Msg("HTTP server for callers failed")
		}
	})
	return s
}

// Accept returns the next connection sent to s.conns.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (s *limitedServer) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Addr returns the address of the listener passed to Serve.
func (s *limitedServer) Addr() net.Addr { return s.addr }
