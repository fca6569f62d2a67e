package brconn

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"bramleyroute/brclock"
)

const (
	// defaultIdleTimeout is the idle timeout of a connection whose endpoint sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of the endpoint, so that
	// the endpoint doesn't close the connection while a request is in transit.
	idleMargin = 300 * time.Millisecond
	// dialTimeout limits a dial. A running endpoint accepts within a few
	// milliseconds. A lost handshake packet is retransmitted only after a second.
	dialTimeout = 700 * time.Millisecond
	// userTimeout limits the time that written data may stay unacknowledged.
	userTimeout = 2 * time.Second
	// bufferBytes is the size of the read and write buffers of a connection, and
	// the initial size of the buffer of an EventReader.
	bufferBytes = 4 << 10
)

// Pool is a pool of connections to endpoints. The zero value is ready to use. It is
// safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the time source; nil means the system clock.
	Clock brclock.Clock
	// Matches reports whether a response belongs to the request with the given ID;
	// nil accepts every response.
	Matches func(id string, answer *Response) bool
	// OnDirect is called when the header of a response or a part of its body has arrived
	// over a connection that doesn't lead through another daemon. It may be nil.
	OnDirect func(address string)
	// Refusal reports whether a response says that its request hasn't run, and whether
	// it names the request; nil means that none says so. A refusal without a name is
	// believed only on a connection that has carried no refusal before, and isn't
	// followed by another request there: an endpoint may send a copy of it later, which
	// nothing would tell from a refusal of that request.
	Refusal func(res *Response) (refusal, named bool)
	// BufferBytes is the memory in bytes that all exchanges together may hold for responses
	// that aren't complete, besides 16 KiB each; 0 means 4 MiB.
	BufferBytes int

	budget     budget
	background sync.WaitGroup // discards bodies

	mu     sync.Mutex
	closed bool
	idle   map[string][]*conn // by address; the most recently used is last
	dialed uint64
	reused uint64
}

// Stats holds the numbers of connections dialed and connections reused by a Pool, and of
// exchanges that were ended because unfinished responses were too large.
type Stats struct{ Dialed, Reused, Evicted uint64 }

// Stats returns the totals since the creation of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return Stats{p.dialed, p.reused, p.budget.evicted}
}

// Close closes all idle connections, and those in use at the end of their exchange. It
// waits until no body is being discarded.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	p.background.Wait()
	for _, conns := range idle {
		for _, c := range conns {
			c.net.Close()
		}
	}
}

// CloseExpired closes the idle connections whose timeout has passed.
func (p *Pool) CloseExpired() {
	now := p.clock().Now()
	p.closeIdle(func(c *conn) bool { return !now.Before(c.expires) })
}

// CloseIdle closes the idle connections for which match returns true. The relay is the ID of
// the daemon through which a connection leads, or "".
func (p *Pool) CloseIdle(match func(address, relay string) bool) {
	p.closeIdle(func(c *conn) bool { return match(c.address, c.relay()) })
}

func (p *Pool) closeIdle(match func(*conn) bool) {
	var matched []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if match(c) {
				matched = append(matched, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range matched {
		c.net.Close()
	}
}

// Put adds an open connection to the endpoint at address that wasn't used yet.
func (p *Pool) Put(address string, c net.Conn) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	p.putIdle(newConn(c, address), defaultIdleTimeout)
}

func (p *Pool) clock() brclock.Clock {
	if p.Clock == nil {
		return brclock.System{}
	}
	return p.Clock
}

// get returns an idle connection that is still reusable, or dials a new one. It
// closes the idle connections that aren't reusable.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.clock().Now().Before(c.expires) && reusable(c.net) {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
		c.net.Close()
	}
}

// Conn is an open connection to an endpoint that is reserved for one request. It must be
// passed to Send in Request.Conn or released.
type Conn struct {
	pool *Pool
	conn *conn
}

// Connect returns an open connection to address. It ends with an error when ctx ends.
func (p *Pool) Connect(ctx context.Context, address string) (*Conn, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("brconn: connect to %s: %w", address, err)
	}
	return &Conn{pool: p, conn: c}, nil
}

// Release returns an unused connection to the pool.
func (c *Conn) Release() {
	timeout := defaultIdleTimeout
	if !c.conn.expires.IsZero() {
		timeout = c.conn.expires.Sub(c.pool.clock().Now())
	}
	c.pool.putIdle(c.conn, timeout)
}

// popIdle removes and returns the most recently used idle connection to address,
// or returns nil if there is none.
func (p *Pool) popIdle(address string) *conn {
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

// putIdle adds an idle connection that may be reused until the timeout has passed. If
// the pool is closed, it closes the connection.
func (p *Pool) putIdle(c *conn, timeout time.Duration) {
	c.expires = p.clock().Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.net.Close()
		return
	}
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
		dial = DialTCP
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
