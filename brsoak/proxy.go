package brsoak

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Mode is the behavior of a Proxy.
type Mode uint8

// The modes.
const (
	Forward          Mode = iota // forwards without delay
	Delay                        // forwards each read after proxyDelay
	Blackhole                    // forwards nothing in either direction and keeps connections open
	BlackholeReplies             // forwards nothing from the target to the dialing side
	Reset                        // resets open connections, and new ones after they are accepted
	numModes
)

// String returns the snake-case name of m.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "silence_back", "reset"}[m]
}

// proxyDelay is long compared with a round trip on loopback and short compared with
// the duration of a lease.
const proxyDelay = 40 * time.Millisecond

// Proxy forwards TCP connections to a target and simulates network faults.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	mode    Mode
	changed chan struct{} // closed and replaced when mode changes
	conns   map[net.Conn]struct{}
	closed  bool
}

// NewProxy returns a Proxy that listens at address and forwards connections to
// target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("brsoak: proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Set changes the mode of open and new connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close closes all connections and waits for the goroutines of p.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(c net.Conn) {
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	if !p.add(c, t) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(t, c, Blackhole) })
	wg.Go(func() { p.forward(c, t, Blackhole, BlackholeReplies) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

func (p *Proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed || p.mode == Reset {
			reset(c)
			continue
		}
		p.conns[c] = struct{}{}
	}
	return !p.closed && p.mode != Reset
}

// forward copies bytes until one side closes. It pauses while the mode is one of
// blocking.
func (p *Proxy) forward(to, from net.Conn, blocking ...Mode) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.waitUnblocked(blocking) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// waitUnblocked waits until bytes may be forwarded. It returns false if the proxy is
// closed.
func (p *Proxy) waitUnblocked(blocking []Mode) bool {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		blocked := slices.Contains(blocking, mode)
		switch {
		case closed:
			return false
		case !blocked && mode == Delay:
			time.Sleep(proxyDelay)
			return true
		case !blocked:
			return true
		}
		<-changed
	}
}

// reset closes a connection such that its peer observes a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// SetLinger fails if the connection has already ended.
		_ = t.SetLinger(0)
	}
	c.Close()
}
