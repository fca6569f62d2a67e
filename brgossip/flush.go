package brgossip

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

const (
	// DefaultFlushInterval is the default interval over which changes are batched before
	// they are sent.
	DefaultFlushInterval = 25 * time.Millisecond

	// maxBatch is the maximum number of records in one message.
	maxBatch = 64
	// fullRateDaemons is the number of daemons up to which changes are sent at the
	// flush interval. In a larger fleet the interval grows in proportion, so that
	// the rate of messages that a daemon receives doesn't grow with the fleet.
	fullRateDaemons = 32
)

// runFlush sends the pending records, at most once per flush interval.
func (n *Node) runFlush() {
	for {
		select {
		case <-n.stop:
			return
		case <-n.wake:
		}
		n.flush()
		n.mu.Lock()
		wait := n.cfg.FlushInterval * time.Duration(max(1, len(n.daemons)/fullRateDaemons))
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
	encoded := map[string][]byte{} // by batch; most peers receive the same one
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
		// An error means that the connection has ended. The peer receives all
		// records again when it reconnects.
		_ = brpeer.PushEncoded(m.conn, pushRecord, m.body)
	}
}

// chunks returns the pending keys, sorted and split into batches.
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
