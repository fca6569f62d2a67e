package brgossip

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

const (
	// DefaultFlush is how long changes are collected before they are sent.
	DefaultFlush = 25 * time.Millisecond

	// maxBatch bounds the records of one message.
	maxBatch = 64
	// quietDaemons is the number of daemons up to which changes are sent at the
	// flush interval. Beyond it the interval grows in proportion, so that the
	// messages that a daemon takes don't grow with the fleet.
	quietDaemons = 32
)

// runFlush sends what is pending, at most once an interval.
func (n *Node) runFlush() {
	for {
		select {
		case <-n.stop:
			return
		case <-n.wake:
		}
		n.flush()
		n.mu.Lock()
		wait := n.cfg.Flush * time.Duration(max(1, len(n.daemons)/quietDaemons))
		n.mu.Unlock()
		select {
		case <-n.stop:
			return
		case <-n.cfg.Clock.After(wait):
		}
	}
}

func (n *Node) flush() {
	type message struct {
		conn *brpeer.Conn
		body []byte
	}
	var out []message
	n.mu.Lock()
	now := n.cfg.Clock.Now()
	encoded := map[string][]byte{} // most peers get the same batch
	for c, p := range n.peers {
		for _, keys := range chunks(p.pending) {
			id := fmt.Sprint(keys)
			body, ok := encoded[id]
			if !ok {
				body = n.encode(now, keys)
				encoded[id] = body
			}
			out = append(out, message{c, body})
		}
		clear(p.pending)
	}
	n.mu.Unlock()
	for _, m := range out {
		// An error means that the connection has ended; the peer gets everything
		// again when it reconnects.
		_ = brpeer.PushEncoded(m.conn, pushRecord, m.body)
	}
}

// chunks returns the pending keys sorted, in batches.
func chunks(pending map[string]struct{}) [][]string {
	if len(pending) == 0 {
		return nil
	}
	keys := make([]string, 0, len(pending))
	for key := range pending {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return slices.Collect(slices.Chunk(keys, maxBatch))
}

func (n *Node) encode(now time.Time, keys []string) []byte {
	var b batch
	for _, key := range keys {
		if r, ok := n.store.Get(now, key); ok {
			b.Records = append(b.Records, r)
		}
	}
	body, err := brwire.Encode(b)
	if err != nil {
		panic(fmt.Sprintf("brgossip: encode records: %v", err))
	}
	return body
}
