package brproxy

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// defaultHeaderTimeout applies if the policy sets none.
const defaultHeaderTimeout = 10 * time.Second

// headerLimits are the limits of a policy that apply to the header of a request.
type headerLimits struct {
	bytes   int
	timeout time.Duration
}

// headerLimits returns those of the policy in force.
func (p *Proxy) headerLimits() headerLimits {
	l := headerLimits{timeout: defaultHeaderTimeout}
	if t := p.table.Load(); t != nil {
		l.bytes = t.Policy().Limits.HeaderBytes
		if d := t.Policy().Limits.HeaderTimeout; d > 0 {
			l.timeout = d
		}
	}
	return l
}

// Serve accepts connections of callers from l until l is closed. The header limits of the
// policy in force when a connection is accepted apply to it until it is closed. Idle
// connections are closed by the limit of the policy in force; see closeExpired.
func (p *Proxy) Serve(l net.Listener) error {
	var current *limitedServer
	defer func() { p.retire(current) }()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if limits := p.headerLimits(); current == nil || current.limits != limits {
			p.retire(current)
			current = p.newLimitedServer(l.Addr(), limits)
		}
		select {
		case current.conns <- c:
		case <-current.closed:
			c.Close()
		}
	}
}

// limitedServer serves connections with the same limits. It implements net.Listener
// for its http.Server.
type limitedServer struct {
	limits headerLimits
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
	server *http.Server
}

func (p *Proxy) newLimitedServer(addr net.Addr, limits headerLimits) *limitedServer {
	s := &limitedServer{limits: limits, conns: make(chan net.Conn), addr: addr, closed: make(chan struct{})}
	s.server = &http.Server{
		Handler: p, ConnContext: p.ConnContext, ConnState: p.ConnState,
		MaxHeaderBytes: limits.bytes, ReadHeaderTimeout: limits.timeout, IdleTimeout: -1,
	}
	p.callers.mu.Lock()
	p.callers.servers = append(p.callers.servers, s)
	p.callers.mu.Unlock()
	p.wg.Go(func() {
		if err := s.server.Serve(s); !errors.Is(err, net.ErrClosed) {
			p.cfg.Log.Error().Err(err).Msg("HTTP server for callers failed")
		}
	})
	return s
}

// retire ends the acceptance of connections by a server. Its connections stay open. s may
// be nil.
func (p *Proxy) retire(s *limitedServer) {
	if s == nil {
		return
	}
	s.Close()
	p.callers.mu.Lock()
	defer p.callers.mu.Unlock()
	p.callers.servers = slices.DeleteFunc(p.callers.servers, func(x *limitedServer) bool { return x == s })
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
