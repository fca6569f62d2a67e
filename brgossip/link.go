package brgossip

import (
	"time"

	"bramleyroute/brpeer"
)

const (
	linkInterval = 250 * time.Millisecond
	// acceptWait is how long the daemon with the greater address waits for the
	// other one to dial before it dials itself.
	acceptWait = time.Second
)

// runLinks keeps the links and the own record up to date, and drops old records.
func (n *Node) runLinks() {
	renewed := n.cfg.Clock.Now()
	for {
		now := n.cfg.Clock.Now()
		if now.Sub(renewed) >= renewInterval {
			renewed = now
			n.announce()
		}
		n.expire(now)
		n.adjustLinks(now)
		select {
		case <-n.stop:
			return
		case <-n.cfg.Clock.After(linkInterval):
		}
	}
}

func (n *Node) expire(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.store.Expire(now) {
		if _, ok := n.daemons[r.Key]; ok {
			delete(n.daemons, r.Key)
			n.sorted = nil
		}
		if n.cfg.OnExpired != nil {
			n.cfg.OnExpired(r)
		}
	}
}

// adjustLinks dials the daemons that this one should have a link to, gives up the
// other links that it dialled, and chooses the relay.
func (n *Node) adjustLinks(now time.Time) {
	seeds := n.cfg.Seeds()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	open := map[string]bool{}
	for _, p := range n.peers {
		open[p.address] = true
	}
	t := n.topology()
	wanted := t.wanted(seeds, func(address string) bool { return open[address] })
	for address := range wanted {
		if n.links[address] == nil && !open[address] && n.shouldDial(now, t, address) {
			n.links[address] = n.dial(address)
		}
	}
	for address, l := range n.links {
		if !wanted[address] {
			delete(n.links, address)
			n.wg.Go(l.Close)
		}
	}
	n.chooseRelay(t)
}

func (n *Node) dial(address string) *brpeer.Link {
	return brpeer.NewLink(address, n.cfg.Keys, n.cfg.Mux, func(c *brpeer.Conn) {
		// An error means that the connection has ended already.
		_ = brpeer.Push(c, pushHello, hello{n.cfg.Self.Address})
		n.open(c, address)
	})
}

// shouldDial reports whether this daemon dials address: the other one doesn't
// want the link too, or this one has the smaller address, or the other one hasn't
// dialled for a while.
func (n *Node) shouldDial(now time.Time, t topology, address string) bool {
	if n.cfg.Self.Address < address || !t.mutual(address) {
		return true
	}
	since, ok := n.missing[address]
	if !ok {
		n.missing[address] = now
		return false
	}
	return now.Sub(since) >= acceptWait
}
