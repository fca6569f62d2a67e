package brgossip

import (
	"time"

	"bramleyroute/brpeer"
)

// relaySilence is the silence of a relay after which another one is chosen. A
// relay passes something on several times a second.
const relaySilence = 500 * time.Millisecond

// subscribe asks a daemon to pass direct records on, or to stop that.
type subscribe struct {
	Relay bool `cbor:"relay"`
}

// directTargets returns the peers that a direct record is sent to. Between a few
// daemons only its writer sends it. In a large fleet a daemon without a replica
// gives it to its relay, which passes it on to the daemons that chose it and to
// the other replicas, and these to theirs. A daemon without a relay sends to all
// its peers.
func (n *Node) directTargets(from *brpeer.Conn) []*peer {
	t := n.topology()
	own := from == nil
	everyone := own && !t.sparse() || t.sparse() && !t.self.Replica && n.relay == nil
	fromReplica := !own && n.peers[from] != nil && t.replica(n.peers[from].address)
	toReplicas := t.sparse() && t.self.Replica && !fromReplica
	toRelay := t.sparse() && !t.self.Replica && n.relay != from
	var targets []*peer
	for c, p := range n.peers {
		switch {
		case c == from:
		case everyone, p.relayed, toReplicas && t.replica(p.address), toRelay && c == n.relay:
			targets = append(targets, p)
		}
	}
	return targets
}

// chooseRelay subscribes to the first relay that answers, or to all peers if none
// does.
func (n *Node) chooseRelay(t topology) {
	var relay *brpeer.Conn
	if t.sparse() && !t.self.Replica {
		relay = n.firstRelay(t)
	}
	n.relay = relay
	orphan := t.sparse() && !t.self.Replica && relay == nil
	for c, p := range n.peers {
		if want := orphan || relay != nil && c == relay; p.subscribed != want {
			p.subscribed = want
			// An error means that the connection has ended.
			_ = brpeer.Push(c, pushSubscribe, subscribe{want})
		}
	}
}

func (n *Node) firstRelay(t topology) *brpeer.Conn {
	for _, d := range t.relays() {
		if c := n.conn(d.Address); c != nil && c.Silent() < relaySilence {
			return c
		}
	}
	return nil
}

// subscribed takes a peer's wish to be sent direct records.
func (n *Node) subscribed(c *brpeer.Conn, s subscribe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[c]
	if p == nil {
		return
	}
	p.relayed = s.Relay
	if !s.Relay {
		return
	}
	for key, e := range n.store.entries {
		if n.cfg.Direct[e.record.Kind()] {
			p.pending[key] = struct{}{}
		}
	}
	n.wakeFlush()
}
