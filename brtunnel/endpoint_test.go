package brtunnel

import (
	"net"
	"sync"
)

// endpoint accepts connections for a test.
type endpoint struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func (e *endpoint) run(serve func(c *net.TCPConn)) {
	for {
		c, err := e.listener.Accept()
		if err != nil || !e.add(c) {
			return
		}
		e.wg.Go(func() {
			defer c.Close()
			serve(c.(*net.TCPConn))
		})
	}
}

func (e *endpoint) add(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		c.Close()
		return false
	}
	e.conns[c] = struct{}{}
	return true
}

func (e *endpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	e.closed = true
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}
