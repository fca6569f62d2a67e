package brtunnel

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconn"
	"bramleyroute/brpeer"
)

const (
	// defaultMaxTunnels bounds the memory: a tunnel holds two buffers of bufferBytes.
	defaultMaxTunnels = 400
	// defaultDialTimeout leaves the client time to try another relay within the
	// timeout of its own dial.
	defaultDialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout ends tunnels whose client or endpoint is gone without a
	// trace.
	defaultIdleTimeout = 35 * time.Second
)

// Server accepts tunnels at Path and connects them to endpoints. Its zero value refuses
// every tunnel, since Allow is missing. It is safe for concurrent use.
type Server struct {
	Keys brpeer.Keys // as for brpeer.Server
	// Allow reports whether address is that of a known endpoint, so that the server
	// connects to nothing else.
	Allow func(address string) bool
	// Withheld reports whether the endpoint at address is to get no new request. It then
	// gets no new tunnel, and an open one ends when the next request begins on it. It may
	// be nil.
	Withheld func(address string) bool
	// Available reports whether this daemon has a path to endpoints; nil means that it
	// has.
	Available func() bool
	// Dial connects to an endpoint; nil means brconn.DialTCP.
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Clock brclock.Clock // nil means the system clock

	MaxTunnels  int           // 0 means 400
	DialTimeout time.Duration // of the connection to an endpoint; 0 means 300 ms
	// IdleTimeout is the time without a byte in either direction after which a tunnel
	// ends; 0 means 35 s.
	IdleTimeout time.Duration

	toEndpoint, toClient atomic.Uint64 // bytes

	background sync.WaitGroup // requests being answered, tunnels and runIdle

	mu       sync.Mutex
	leaving  bool
	closed   bool
	used     int // tunnels that are open or being opened
	opened   uint64
	refused  map[Cause]uint64
	tunnels  map[*tunnel]struct{}
	closeCtx context.Context
	cancel   context.CancelFunc // of closeCtx
}

// ServeHTTP connects to the endpoint and then switches to the protocol of tunnels. Any
// other response has a cause, and nothing was sent to the endpoint.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Keys.Accepts(r) {
		s.refuse(w, WrongKey, http.StatusUnauthorized)
		return
	}
	if r.Method != http.MethodGet || !strings.EqualFold(r.Header.Get("Upgrade"), protocol) {
		http.Error(w, "upgrade to "+protocol+" is required", http.StatusUpgradeRequired)
		return
	}
	if cause := s.reserve(); cause != "" {
		s.refuse(w, cause, http.StatusServiceUnavailable)
		return
	}
	defer s.background.Done()
	address := r.URL.Query().Get(addressQuery)
	if s.Allow == nil || !s.Allow(address) || s.withheld(address) {
		s.release(nil)
		s.refuse(w, NotAllowed, http.StatusForbidden)
		return
	}
	endpoint, err := s.dial(r.Context(), address)
	if err != nil {
		s.release(nil)
		cause := dialCause(err)
		if s.closeCtx.Err() != nil {
			cause = Leaving // Close may have canceled the dial
		}
		s.refuse(w, cause, http.StatusBadGateway)
		return
	}
	s.open(w, address, endpoint)
}

// refuse answers with a cause and counts it.
func (s *Server) refuse(w http.ResponseWriter, cause Cause, status int) {
	s.mu.Lock()
	if s.refused == nil {
		s.refused = map[Cause]uint64{}
	}
	s.refused[cause]++
	s.mu.Unlock()
	w.Header().Set(causeHeader, string(cause))
	http.Error(w, string(cause), status)
}

// reserve reserves room for a tunnel and adds 1 to s.background, or returns a cause for
// which there can be none.
func (s *Server) reserve() Cause {
	if s.Available != nil && !s.Available() {
		return NoPath
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving || s.closed:
		return Leaving
	case s.used >= cmp.Or(s.MaxTunnels, defaultMaxTunnels):
		return NoRoom
	}
	s.start()
	s.used++
	s.background.Add(1)
	return ""
}

// start initializes s before the first tunnel. It is called with s.mu held.
func (s *Server) start() {
	if s.tunnels != nil {
		return
	}
	s.tunnels = map[*tunnel]struct{}{}
	s.closeCtx, s.cancel = context.WithCancel(context.Background())
	s.background.Go(s.runIdle)
}

// release returns the room of a tunnel. t is nil if it was never open.
func (s *Server) release(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	delete(s.tunnels, t)
}

// dial connects to an endpoint. It is canceled when the client ends the connection and
// when s is closed.
func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(s.DialTimeout, defaultDialTimeout))
	defer cancel()
	defer context.AfterFunc(s.closeCtx, cancel)()
	dial := s.Dial
	if dial == nil {
		dial = brconn.DialTCP
	}
	return dial(ctx, address)
}

func (s *Server) withheld(address string) bool { return s.Withheld != nil && s.Withheld(address) }

// open switches the protocol and runs a tunnel to endpoint.
func (s *Server) open(w http.ResponseWriter, address string, endpoint net.Conn) {
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		endpoint.Close()
		s.release(nil)
		s.refuse(w, RelayFailed, http.StatusInternalServerError)
		return
	}
	t := &tunnel{server: s, address: address, client: client, endpoint: endpoint, upDone: make(chan struct{})}
	t.active.Store(true)
	t.answered.Store(true)
	// The reader of the HTTP server may hold bytes that the client sent early.
	first, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	if !s.add(t) || t.switchProtocol() != nil {
		t.close()
		s.release(t)
		return
	}
	// The tunnel doesn't run in this goroutine, so that the buffers of the HTTP server
	// are freed.
	s.background.Go(func() { t.copyUp(first) })
	s.background.Go(t.copyDown)
}

// add adds an open tunnel. It returns false if s is closed.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tunnels[t] = struct{}{}
	s.opened++
	return true
}

// Leave makes s refuse new tunnels. Open ones go on until they end or s is closed.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Drain makes s refuse new tunnels and waits until the open ones have ended, so that a
// planned stop interrupts no request of another daemon. If ctx ends first, Drain returns
// its cause.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	for s.Stats().Open > 0 {
		select {
		case <-s.clock().After(drainInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// drainInterval is the time between two checks whether all tunnels have ended.
const drainInterval = 50 * time.Millisecond

// Close refuses new tunnels, ends the open ones without an end frame, since their
// endpoints haven't ended, and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for t := range s.tunnels {
		t.close()
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.mu.Unlock()
	s.background.Wait()
}

func (s *Server) clock() brclock.Clock {
	if s.Clock == nil {
		return brclock.System{}
	}
	return s.Clock
}
