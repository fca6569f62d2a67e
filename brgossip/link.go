package brgossip

import (
	"slices"
	"time"

	"bramleyroute/brpeer"
)

const (
	linkInterval = 250 * time.Millisecond
	// acceptTimeout is the time that the daemon with the greater address waits for
	// the other one to dial before it dials itself.
	acceptTimeout = time.Second
)

// runLinks periodically renews this daemon's record, removes expired records and
// updates the links.
func (n *Node) runLinks() {
	renewed := n.cfg.Clock.Now()
	for {
		now := n.cfg.Clock.Now()
		if now.Sub(renewed) >= renewInterval {
			renewed = now
			n.announce()
		}
		n.expireRecords(now)
		n.adjustLinks(now)
		select {
		case <-n.stop:
			return
		case <-n.cfg.Clock.After(linkInterval):
		}
	}
}

func (n *Node) expireRecords(now time.Time) {
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

// adjustLinks dials the daemons that this one should have a link to, closes the
// other links that it dialed, and chooses the relay. A daemon without an open link that
// isn't a seed dials at once: the others may not know it yet. The seeds know each other.
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
	desired := t.desiredLinks(seeds, func(address string) bool { return open[address] })
	isolated := len(open) == 0 && !slices.Contains(seeds, n.cfg.Self.Address)
	for address := range desired {
		if n.links[address] == nil && !open[address] && (isolated || n.shouldDial(now, t, address)) {
			n.links[address] = n.dial(address)
		}
	}
	for address, l := range n.links {
		if !desired[address] {
			delete(n.links, address)
			n.wg.Go(l.Close)
		}
	}
	n.chooseRelay(t)
}

func (n *Node) dial(address string) *brpeer.Link {
	return brpeer.NewLink(address, n.cfg.Keys, n.cfg.Mux, func(c *brpeer.Conn) {
		// An error means that the connection has already ended.
		_ = brpeer.Push(c, pushHello, helloMessage{n.cfg.Self.Address})
		n.addPeer(c, address)
	})
}

// shouldDial reports whether this daemon dials address. It does if the other
// daemon doesn't want the link as well, if this one has the smaller address, or if
// the other one hasn't dialed within acceptTimeout. This avoids two links between
// the same daemons.
func (n *Node) shouldDial(now time.Time, t topology, address string) bool {
	if n.cfg.Self.Address < address || !t.mutual(address) {
		return true
	}
	since, ok := n.unlinkedSince[address]
	if !ok {
		n.unlinkedSince[address] = now
		return false
	}
	return now.Sub(since) >= acceptTimeout
}
