package brconn

import (
	"context"
	"net"
	"sync"
	"time"

	"bramleyroute/brclock"
)

const (
	// defaultIdle is how long a connection is kept when the endpoint states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the endpoint states, for a request
	// that is on its way when the time is over.
	idleMargin = 300 * time.Millisecond
	// dialTimeout bounds a dial. An endpoint that is up answers in a few
	// milliseconds; a lost handshake packet is sent again after a second.
	dialTimeout = 700 * time.Millisecond
	// userTimeout bounds the time that written bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	bufferBytes = 4 << 10
)

// Pool keeps connections to endpoints, by address. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the time source; nil means the system's.
	Clock brclock.Clock
	// Matches reports whether an answer's header belongs to the request with an
	// id; nil accepts every answer.
	Matches func(id string, answer *Answer) bool

	mu     sync.Mutex
	idle   map[string][]*conn // the most recently used last
	dialed uint64
	reused uint64
}

// Stats are running totals of a pool.
type Stats struct{ Dialed, Reused uint64 }

// Stats returns how many connections were dialled and used again.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{p.dialed, p.reused}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.net.Close()
		}
	}
}

// Sweep closes the connections whose time is over.
func (p *Pool) Sweep() {
	now := p.clock().Now()
	var old []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.net.Close()
	}
}

func (p *Pool) clock() brclock.Clock {
	if p.Clock == nil {
		return brclock.System{}
	}
	return p.Clock
}

// get returns an idle connection that still looks open, or dials one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.clock().Now().Before(c.until) && quiet(c.net) {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
		c.net.Close()
	}
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(c *conn, idle time.Duration) {
	c.until = p.clock().Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	n, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(n, address), nil
}
