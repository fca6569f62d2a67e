package brgossip

import (
	"bramleyroute/brpeer"
)

// traffic counts payload bytes.
type traffic struct{ in, out uint64 }

type peer struct {
	address     string
	queued      func() int          // number of messages to the peer that are not sent yet
	pending     map[string]struct{} // keys of the records to send
	domain      map[string]struct{} // the same of DomainKinds
	wantsDirect bool                // peer has subscribed to direct records of other daemons
	subscribed  bool                // this daemon has subscribed at the peer
}

// dropPending removes a pending record that the peer is known to have already.
func (n *Node) dropPending(p *peer, r Record) {
	if e, ok := n.store.entries[r.Key]; ok && e.record.Version == r.Version {
		p.removePending(r.Key)
	}
}

// addPending schedules a record for a peer.
func (n *Node) addPending(p *peer, r Record) {
	if n.cfg.DomainKinds[r.Kind()] {
		p.domain[r.Key] = struct{}{}
		return
	}
	p.pending[r.Key] = struct{}{}
}

// removePending cancels the sending of a record to a peer that has it.
func (p *peer) removePending(key string) {
	delete(p.pending, key)
	delete(p.domain, key)
}

// addPeer starts sending to a peer that was dialed or that sent a hello message.
func (n *Node) addPeer(c *brpeer.Conn, address string) {
	n.mu.Lock()
	if n.closed || n.peers[c] != nil {
		n.mu.Unlock()
		return
	}
	p := &peer{address: address, queued: c.Queued, pending: map[string]struct{}{}, domain: map[string]struct{}{}}
	for key, e := range n.store.entries {
		if n.flooded(e.record.Kind()) {
			p.pending[key] = struct{}{}
		}
	}
	n.peers[c] = p
	delete(n.unlinkedSince, address)
	n.wg.Go(func() { n.awaitClose(c, address) })
	n.mu.Unlock()
	n.wakeFlush()
	n.notifyLink(address, true)
}

func (n *Node) awaitClose(c *brpeer.Conn, address string) {
	select {
	case <-c.Done():
	case <-n.stop:
	}
	n.mu.Lock()
	delete(n.peers, c)
	in, out := c.Bytes()
	n.closedLinks.in += in
	n.closedLinks.out += out
	n.mu.Unlock()
	n.notifyLink(address, false)
}

func (n *Node) notifyLink(address string, open bool) {
	if n.cfg.OnLink != nil {
		n.cfg.OnLink(address, open)
	}
}
