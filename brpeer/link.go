package brpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// reconnectMin and reconnectMax bound the delay between two dials; each
	// delay has a jitter of half its length so that a restarted daemon isn't
	// met by all its peers at once.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = time.Second
)

// Link keeps a connection to one address open and dials again when it ends.
type Link struct {
	address   string
	keys      Keys
	mux       *Mux
	onConnect func(*Conn)

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	conn    *Conn
	changed chan struct{} // closed and replaced when conn changes
}

// NewLink starts to keep a connection to address. onConnect, if not nil, runs
// after each connect and before Conn returns the connection.
func NewLink(address string, keys Keys, mux *Mux, onConnect func(*Conn)) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		address: address, keys: keys, mux: mux, onConnect: onConnect,
		wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}),
	}
	go l.run(ctx)
	return l
}

// Address returns the address that the link dials.
func (l *Link) Address() string { return l.address }

// Conn returns the open connection, or nil.
func (l *Link) Conn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Wait returns the open connection, waiting for one until ctx ends.
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

// Wake makes a link that waits between two dials dial at once. It is called when
// the other end has shown that it is up again.
func (l *Link) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the connection and waits for it.
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
		case <-l.wake:
			delay = reconnectMin
		case <-ctx.Done():
		}
	}
}

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
