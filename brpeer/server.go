package brpeer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Path is the HTTP path at which a daemon accepts links.
const Path = "/v1/link"

// Keys are the shared keys that a daemon accepts. The daemon sends the first one. The
// list has two keys while a key is being replaced. An empty list accepts every request.
type Keys []string

// Accepts reports whether the Authorization header of r contains one of the keys, or k
// is empty.
func (k Keys) Accepts(r *http.Request) bool {
	if len(k) == 0 {
		return true
	}
	header := []byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	ok := 0
	for _, key := range k {
		ok |= subtle.ConstantTimeCompare(header, []byte(key))
	}
	return ok == 1
}

// Header returns the header of a request by a client with these keys. It contains an
// Authorization field with the first key, or nothing if k is empty.
func (k Keys) Header() http.Header {
	h := http.Header{}
	if len(k) > 0 {
		h.Set("Authorization", "Bearer "+k[0])
	}
	return h
}

// Server accepts links. Its zero value accepts every request and has no handlers.
type Server struct {
	Mux  *Mux
	Keys Keys
	// MaxConns is the number of open links above which further ones are refused; 0 means no
	// limit.
	MaxConns int

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// ServeHTTP upgrades a request to a link and serves it until the connection closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Keys.Accepts(r) {
		http.Error(w, "peer key is missing or unknown", http.StatusUnauthorized)
		return
	}
	if s.full() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has written the response
	}
	mux := s.Mux
	if mux == nil {
		mux = &Mux{}
	}
	c := newConn(ws, mux)
	if !s.add(c) {
		c.Close()
		return
	}
	<-c.Done()
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Conns returns the open connections.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close refuses new connections, closes the open ones and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.Conns() {
		c.Close()
	}
}

// full reports whether there is no room for a further link.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MaxConns > 0 && len(s.conns) >= s.MaxConns
}

// add adds c to the open connections. It returns false if s is closed or full.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.MaxConns > 0 && len(s.conns) >= s.MaxConns {
		return false
	}
	if s.conns == nil {
		s.conns = map[*Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}

// dialTimeout is the timeout of the connection and the upgrade in Dial.
const dialTimeout = 2 * time.Second

// Dial opens a connection to the daemon at address (host:port). Calls and pushes from
// the other end are handled by mux, which may be nil.
func Dial(ctx context.Context, address string, keys Keys, mux *Mux) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPHeader:      keys.Header(),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, fmt.Errorf("brpeer: dial %s: %w", address, err)
	}
	if mux == nil {
		mux = &Mux{}
	}
	return newConn(ws, mux), nil
}
