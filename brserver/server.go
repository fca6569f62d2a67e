package brserver

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"

	"github.com/rs/zerolog"
)

// Limits that apply where Config.Limits has none.
const (
	defaultHeaderBytes   = http.DefaultMaxHeaderBytes
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Config configures a Server.
type Config struct {
	Handler http.Handler // required
	// Limits returns the limits in force. Values that aren't positive stand for defaults.
	// It must not block. It may be nil.
	Limits func() Limits
	// StateKeepAlive says that responses state the idle timeout in the header Keep-Alive,
	// so that callers needn't know Limits.
	StateKeepAlive bool
	// Buffers limits the memory of request headers, with that of all other requests. It may
	// be nil.
	Buffers *brbuffer.Budget
	// MaxConns is the number of open connections above which one gives way to a new one: see
	// giveWay. 0 means no limit.
	MaxConns int
	Log      zerolog.Logger
	Clock    brclock.Clock // nil means the system clock
}

// Server is an HTTP/1 server. It is safe for concurrent use.
type Server struct {
	cfg      Config
	http     http.Server
	closed   atomic.Bool // by Close
	stopping atomic.Bool // responses announce the close of their connections

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	closing   bool          // connections are closed as soon as no request has arrived
	changed   chan struct{} // closed and replaced when a connection or a listener is removed
	stats     Stats
	roomLog   zerolog.Logger // of connections that give way or are refused
}

// New returns a Server. It panics if cfg.Handler is nil.
func New(cfg Config) *Server {
	if cfg.Handler == nil {
		panic("brserver: nil Handler in Config")
	}
	if cfg.Clock == nil {
		cfg.Clock = brclock.System{}
	}
	s := &Server{
		cfg: cfg, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}, changed: make(chan struct{}),
	}
	s.roomLog = cfg.Log.Sample(&zerolog.BurstSampler{Burst: maxRoomLines, Period: roomLogPeriod})
	// Both limits of the header are enforced by conn.
	s.http = http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: s.connState, MaxHeaderBytes: math.MaxInt32,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	var l Limits
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// connKey is the context key of the *conn of a request.
type connKey struct{}

// handle serves a request with the headers that concern its connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	closing := s.stopping.Load()
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.beginHandler()
		closing = closing || c.current().Closing()
		if r.ContentLength != 0 {
			var body *requestBody
			r, body = c.withBody(r, s.limits())
			defer body.end()
		}
	}
	if closing {
		w.Header().Set("Connection", "close")
	} else if seconds := int(s.limits().IdleTimeout / time.Second); s.cfg.StateKeepAlive && seconds > 0 && r.ProtoAtLeast(1, 1) {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
	s.cfg.Handler.ServeHTTP(w, r)
}

// connState is called by net/http.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	now, limits := s.cfg.Clock.Now(), s.limits()
	switch state {
	case http.StateActive:
		c.beginRequest(now, limits)
	case http.StateIdle:
		c.endRequest(now, limits)
		c.releaseHeader()
	case http.StateHijacked:
		c.setHijacked()
		s.remove(c)
	case http.StateClosed:
		c.releaseHeader()
		s.remove(c)
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notify()
}

// notify wakes Shutdown. The caller must hold s.mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve accepts connections from l until l or s is closed. It returns nil then.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners[l] = struct{}{}
	if s.closing {
		stopAccepting(l)
	}
	s.mu.Unlock()
	err := s.http.Serve(listener{l, s})
	s.mu.Lock()
	delete(s.listeners, l)
	s.notify()
	s.mu.Unlock()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives adds the header Connection: close to all further responses. Idle
// connections stay open; see Shutdown.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no request has arrived, unless they are idle for
// closeDelay only, and the others after their request. It doesn't wait.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.requestClose()
	}
}

// Shutdown stops accepting connections, closes each connection once no request has arrived
// on it, and returns when there is none left. Requests that arrive meanwhile are served, and
// their responses announce the close. If ctx ends first, Shutdown returns its error and the
// remaining connections stay open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.mu.Lock()
	s.closing = true
	for l := range s.listeners {
		stopAccepting(l)
	}
	s.mu.Unlock()
	s.CloseIdle()
	for {
		s.mu.Lock()
		left, changed := len(s.conns)+len(s.listeners), s.changed
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes all listeners and connections, also those with a request in progress.
func (s *Server) Close() error {
	s.closed.Store(true)
	return s.http.Close()
}
