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

	mu     sync.Mutex
	byAddr map[string]*brpeer.Link
	brief  map[string]time.Time // last use of the links that only questions have used
	closed bool
	wg     sync.WaitGroup // links that dropBrief closes
}

func newLinks(keys brpeer.Keys, mux *brpeer.Mux, onConnect func(string, *brpeer.Conn)) *links {
	return &links{keys: keys, mux: mux, onConnect: onConnect, byAddr: map[string]*brpeer.Link{}, brief: map[string]time.Time{}}
}

// get returns the link to address, starting it if there is none. It returns nil
// after close.
func (l *links) get(address string) *brpeer.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	delete(l.brief, address)
	return l.dial(address)
}

// dial is get with the lock held and without a mark of the link's use.
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

// briefConn is conn for what a daemon asks others while it is unconfirmed. A link
// that nothing else has used is closed by dropBrief.
func (l *links) briefConn(address string, now time.Time) *brpeer.Conn {
	l.mu.Lock()
	if l.closed || address == "" {
		l.mu.Unlock()
		return nil
	}
	_, dialled := l.byAddr[address]
	if _, brief := l.brief[address]; brief || !dialled {
		l.brief[address] = now
	}
	k := l.dial(address)
	l.mu.Unlock()
	return k.Conn()
}

// briefKeep is how long a link that only questions have used stays open after
// the last of them. Links kept for ever after one loss of the control group would
// take 17.5 KB/s of the 21 KB/s that each of 400 daemons may spend on control, in
// pings alone.
const briefKeep = 10 * time.Second

// dropBrief closes the links that only questions have used and that none has
// used for briefKeep. It doesn't wait for them, since the heartbeats don't either.
func (l *links) dropBrief(now time.Time) {
	var stale []*brpeer.Link
	l.mu.Lock()
	for a, used := range l.brief {
		if now.Sub(used) < briefKeep {
			continue
		}
		delete(l.brief, a)
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

// keep closes the links to all addresses that are not in wanted, so that
// replaced VMs are not dialled for ever.
func (l *links) keep(wanted map[string]bool) {
	l.mu.Lock()
	var stale []*brpeer.Link
	for a, k := range l.byAddr {
		if !wanted[a] {
			stale = append(stale, k)
			delete(l.byAddr, a)
			delete(l.brief, a)
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
	l.wg.Wait()
}
