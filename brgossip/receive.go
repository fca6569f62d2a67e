package brgossip

import (
	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

// receivedBatch is a batch whose records are decoded one by one, so that one that can't
// be decoded doesn't take the others with it.
type receivedBatch struct {
	Records []brwire.RawMessage `cbor:"records"`
}

// receive merges records received from another daemon. Those that can't be decoded or
// fail Record.Check are left out: an error would close the link, over which the sender
// would send them again.
func (n *Node) receive(c *brpeer.Conn, b receivedBatch) {
	for _, raw := range b.Records {
		r, err := brwire.Decode[Record](raw)
		if err == nil {
			n.merge(r, c)
			continue
		}
		n.drop(r, err)
	}
}

// drop reports a record that isn't merged.
func (n *Node) drop(r Record, err error) {
	if n.cfg.OnDropped != nil {
		n.cfg.OnDropped(r, err)
	}
}

// accepts reports whether Config.Accept accepts r, and drops it otherwise. A record that
// isn't newer than the stored one isn't looked at.
func (n *Node) accepts(r Record) bool {
	if n.cfg.Accept == nil || !n.store.IsNewer(r) {
		return true
	}
	err := n.cfg.Accept(r)
	if err != nil {
		n.drop(r, err)
	}
	return err == nil
}
