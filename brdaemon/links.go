package brdaemon

import (
	"sync"
	"time"

	"bramleyroute/brpeer"
)

// links holds at most one outgoing link to each address.
type links struct {
	keys      brpeer.Keys
	mux       *brpeer.Mux
	onConnect func(address string, c *brpeer.Conn)

	mu        sync.Mutex
	byAddr    map[string]*brpeer.Link
	queryOnly map[string]time.Time // time of the last use of the links that only queries have used
	closed    bool
	wg        sync.WaitGroup // links that closeIdleQueryLinks is closing
}

func newLinks(keys brpeer.Keys, mux *brpeer.Mux, onConnect func(string, *brpeer.Conn)) *links {
	return &links{keys: keys, mux: mux, onConnect: onConnect, byAddr: map[string]*brpeer.Link{}, queryOnly: map[string]time.Time{}}
}

// get returns the link to address and starts it if there is none. It returns
// nil after close.
func (l *links) get(address string) *brpeer.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	delete(l.queryOnly, address)
	return l.dial(address)
}

// dial returns the link to address and starts it if there is none, without
// recording a use. The caller holds l.mu.
func (l *links) dial(address string) *brpeer.Link {
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

// queryConn returns the open connection to address, or nil while there is none,
// for the queries of an unconfirmed daemon. closeIdleQueryLinks closes a link
// that nothing else has used.
func (l *links) queryConn(address string, now time.Time) *brpeer.Conn {
	l.mu.Lock()
	if l.closed || address == "" {
		l.mu.Unlock()
		return nil
	}
	_, dialed := l.byAddr[address]
	if _, marked := l.queryOnly[address]; marked || !dialed {
		l.queryOnly[address] = now
	}
	k := l.dial(address)
	l.mu.Unlock()
	return k.Conn()
}

// queryLinkIdleTimeout is how long a link that only queries have used stays
// open after the last of them. Links left open after one loss of the control
// group would take 17.5 KB/s of the 21 KB/s that each of 400 daemons may spend
// on control, in pings alone.
const queryLinkIdleTimeout = 10 * time.Second

// closeIdleQueryLinks closes the links that only queries have used and that
// have been idle for queryLinkIdleTimeout. It doesn't wait for them to close,
// because it runs between heartbeats.
func (l *links) closeIdleQueryLinks(now time.Time) {
	var stale []*brpeer.Link
	l.mu.Lock()
	for a, used := range l.queryOnly {
		if now.Sub(used) < queryLinkIdleTimeout {
			continue
		}
		delete(l.queryOnly, a)
		if k, ok := l.byAddr[a]; ok {
			stale = append(stale, k)
			delete(l.byAddr, a)
		}
	}
	l.mu.Unlock()
	for _, k := range stale {
		l.wg.Go(k.Close)
	}
}

// closeExcept closes the links to all addresses that are not in wanted, so that
// replaced VMs are not dialed forever.
func (l *links) closeExcept(wanted map[string]bool) {
	l.mu.Lock()
	var stale []*brpeer.Link
	for a, k := range l.byAddr {
		if !wanted[a] {
			stale = append(stale, k)
			delete(l.byAddr, a)
			delete(l.queryOnly, a)
		}
	}
	l.mu.Unlock()
	for _, k := range stale {
		k.Close()
	}
}

// close closes all links and waits for them.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.closeExcept(nil)
	l.wg.Wait()
}
