package brgossip

import (
	"time"

	"bramleyroute/brpeer"
)

// relayTimeout is the time without a message from a relay after which another one
// is chosen. A working relay sends several messages per second.
const relayTimeout = 500 * time.Millisecond

// subscribeMessage asks a daemon to start or stop forwarding direct records.
type subscribeMessage struct {
	Relay bool `cbor:"relay"`
}

// directTargets returns the peers that a direct record is sent to. In a small fleet
// only the writer of the record sends it, to all peers. In a large fleet a daemon
// without a replica sends its own ones to all replicas that it has a link to, so that
// they reach both parts of the replicas if these are cut off from each other. Each
// forwards them to its subscribers and to the other replicas, which forward them to
// their subscribers. A relay also returns a record to the subscriber that it came from,
// so that all subscribers receive the same message. A daemon without a relay sends to
// all its peers.
func (n *Node) directTargets(from *brpeer.Conn) []*peer {
	t := n.topology()
	local := from == nil
	toAll := local && !t.sparse() || t.sparse() && !t.self.Replica && n.relay == nil
	fromReplica := !local && n.peers[from] != nil && t.isReplica(n.peers[from].address)
	toReplicas := t.sparse() && t.self.Replica && !fromReplica
	echo := t.sparse() && t.self.Replica
	toRelay := t.sparse() && !t.self.Replica && n.relay != from
	var targets []*peer
	for c, p := range n.peers {
		switch {
		case c == from && !(echo && p.wantsDirect):
		case toAll, p.wantsDirect, (toReplicas || toRelay && local) && t.isReplica(p.address), toRelay && c == n.relay:
			targets = append(targets, p)
		}
	}
	return targets
}

// domainTargets returns the peers that a record of DomainKinds is sent to. Its writer
// sends it to its relay, which forwards it to the subscribers and the replicas of the
// writer's failure domain. A replica that receives it from another one forwards it to
// its subscribers.
func (n *Node) domainTargets(from *brpeer.Conn) []*peer {
	t := n.topology()
	if !t.sparse() {
		return nil
	}
	if !t.self.Replica {
		if p := n.peers[n.relay]; from == nil && p != nil {
			return []*peer{p}
		}
		return nil
	}
	domain, fromReplica := t.self.FailureDomain, false
	if from != nil {
		p := n.peers[from]
		if p == nil {
			return nil // the link has just opened, and its daemon isn't known yet
		}
		d, _ := t.daemon(p.address)
		domain, fromReplica = d.FailureDomain, d.Replica
	}
	var targets []*peer
	for c, p := range n.peers {
		d, ok := t.daemon(p.address)
		if !ok || d.FailureDomain != domain {
			continue
		}
		if p.wantsDirect || d.Replica && !fromReplica && c != from {
			targets = append(targets, p)
		}
	}
	return targets
}

// chooseRelay subscribes at the first responsive relay, or at all peers if no relay
// responds.
func (n *Node) chooseRelay(t topology) {
	var relay *brpeer.Conn
	if t.sparse() && !t.self.Replica {
		relay = n.firstRelay(t)
	}
	n.relay = relay
	noRelay := t.sparse() && !t.self.Replica && relay == nil
	for c, p := range n.peers {
		if want := noRelay || relay != nil && c == relay; p.subscribed != want {
			p.subscribed = want
			// An error means that the connection has ended.
			_ = brpeer.Push(c, pushSubscribe, subscribeMessage{want})
		}
	}
}

func (n *Node) firstRelay(t topology) *brpeer.Conn {
	for _, d := range t.relays() {
		if c := n.conn(d.Address); c != nil && c.SinceLastFrame() < relayTimeout {
			return c
		}
	}
	return nil
}

// handleSubscribe handles a peer's request to start or stop forwarding direct
// records.
func (n *Node) handleSubscribe(c *brpeer.Conn, s subscribeMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[c]
	if p == nil {
		return
	}
	p.wantsDirect = s.Relay
	if !s.Relay {
		return
	}
	for key, e := range n.store.entries {
		if n.cfg.DirectKinds[e.record.Kind()] {
			p.pending[key] = struct{}{}
		}
	}
	n.wakeFlush()
}
