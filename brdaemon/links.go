package brdaemon

import (
	"sync"

	"bramleyroute/brpeer"
)

// links holds at most one outgoing link to each address.
type links struct {
	keys      brpeer.Keys
	mux       *brpeer.Mux
	onConnect func(address string, c *brpeer.Conn)

	mu     sync.Mutex
	byAddr map[string]*brpeer.Link
	closed bool
}

func newLinks(keys brpeer.Keys, mux *brpeer.Mux, onConnect func(string, *brpeer.Conn)) *links {
	return &links{keys: keys, mux: mux, onConnect: onConnect, byAddr: map[string]*brpeer.Link{}}
}

// get returns the link to address, starting it if there is none. It returns nil
// after close.
func (l *links) get(address string) *brpeer.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if k, ok := l.byAddr[address]; ok {
		return k
	}
	k := brpeer.NewLink(address, l.keys, l.mux, func(c *brpeer.Conn) {
		if l.onConnect != nil {
			l.onConnect(address, c)
		}
	})
	l.byAddr[address] = k
	return k
}

// conn returns the open connection to address, or nil while there is none.
func (l *links) conn(address string) *brpeer.Conn {
	if address == "" {
		return nil
	}
	k := l.get(address)
	if k == nil {
		return nil
	}
	return k.Conn()
}

// keep closes the links to all addresses that are not in wanted, so that
// replaced VMs are not dialled for ever.
func (l *links) keep(wanted map[string]bool) {
	l.mu.Lock()
	var stale []*brpeer.Link
	for a, k := range l.byAddr {
		if !wanted[a] {
			stale = append(stale, k)
			delete(l.byAddr, a)
		}
	}
	l.mu.Unlock()
	for _, k := range stale {
		k.Close()
	}
}

// close ends all links and waits for them.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.keep(nil)
}
