package brpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// reconnectMin and reconnectMax are the limits of the delay between two dials. A
	// random jitter shortens each delay by up to half, so that the peers of a
	// restarted daemon don't all connect at the same time.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = time.Second
)

// Link maintains a connection to one address. It dials again when the connection
// closes.
type Link struct {
	address   string
	keys      Keys
	mux       *Mux
	onConnect func(*Conn)

	dialNow chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	conn    *Conn
	changed chan struct{} // closed and replaced when conn changes
}

// NewLink returns a link that maintains a connection to address. onConnect, if not
// nil, is called for each new connection before Conn returns it.
func NewLink(address string, keys Keys, mux *Mux, onConnect func(*Conn)) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		address: address, keys: keys, mux: mux, onConnect: onConnect,
		dialNow: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}),
	}
	go l.run(ctx)
	return l
}

// Address returns the address that l dials.
func (l *Link) Address() string { return l.address }

// Conn returns the open connection, or nil if there is none.
func (l *Link) Conn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Wait returns the open connection. If there is none, it waits for one until ctx ends
// or l is closed.
func (l *Link) Wait(ctx context.Context) (*Conn, error) {
	for {
		l.mu.Lock()
		c, changed := l.conn, l.changed
		l.mu.Unlock()
		if c != nil {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("brpeer: no connection to %s: %w", l.address, ctx.Err())
		case <-l.done:
			return nil, ErrClosed
		}
	}
}

// DialNow ends the current delay between two dials. It is called when another message
// shows that the other end is up again.
func (l *Link) DialNow() {
	select {
	case l.dialNow <- struct{}{}:
	default:
	}
}

// Close stops dialing, closes the connection and waits until it is closed.
func (l *Link) Close() {
	l.cancel()
	<-l.done
}

func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	delay := reconnectMin
	for ctx.Err() == nil {
		c, err := Dial(ctx, l.address, l.keys, l.mux)
		if err == nil {
			delay = reconnectMin
			l.serve(ctx, c)
		}
		wait := delay/2 + rand.N(delay/2+1)
		delay = min(2*delay, reconnectMax)
		select {
		case <-time.After(wait):
		case <-l.dialNow:
			delay = reconnectMin
		case <-ctx.Done():
		}
	}
}

// serve makes c the connection of l until c or ctx ends, and closes it.
func (l *Link) serve(ctx context.Context, c *Conn) {
	if l.onConnect != nil {
		l.onConnect(c)
	}
	l.set(c)
	select {
	case <-c.Done():
	case <-ctx.Done():
	}
	l.set(nil)
	c.Close()
}

func (l *Link) set(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	close(l.changed)
	l.changed = make(chan struct{})
}
