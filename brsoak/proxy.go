package brsoak

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Mode is what a Proxy does to its connections.
type Mode uint8

// The modes.
const (
	Pass        Mode = iota
	Delay            // each read is passed on after proxyDelay
	Silence          // nothing is passed on, in either direction, and nothing closed
	SilenceBack      // nothing is passed from the target to who dialled
	Reset            // open connections are reset, and new ones after a moment
	modes
)

// String returns the name of m.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "silence_back", "reset"}[m]
}

// proxyDelay is long against a round trip on loopback and short against a lease.
const proxyDelay = 40 * time.Millisecond

// Proxy passes TCP connections on to a target, and misbehaves when told to.
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

// NewProxy listens at address for connections to target.
func NewProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("brsoak: proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Set changes the mode.
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

// Close ends all connections and waits.
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
	wg.Go(func() { p.copy(t, c, Silence) })
	wg.Go(func() { p.copy(c, t, Silence, SilenceBack) })
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

// copy passes bytes on until an end closes, and waits while one of the modes in
// silent is set.
func (p *Proxy) copy(to, from net.Conn, silent ...Mode) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.await(silent) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// await returns when bytes may be passed on, or false when the proxy is closed.
func (p *Proxy) await(silent []Mode) bool {
	for {
		p.mu.Lock()
		mode, changed, closed := p.mode, p.changed, p.closed
		p.mu.Unlock()
		held := slices.Contains(silent, mode)
		switch {
		case closed:
			return false
		case !held && mode == Delay:
			time.Sleep(proxyDelay)
			return true
		case !held:
			return true
		}
		<-changed
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = t.SetLinger(0)
	}
	c.Close()
}
