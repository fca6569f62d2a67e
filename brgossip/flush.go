package brgossip

import (
	"fmt"
	"maps"
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
	// maxQueuedMessages is the number of unsent messages to a peer from which on its
	// pending records wait. A slow peer then receives only their newest versions, and
	// the queue takes little memory.
	maxQueuedMessages = 4
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

// delivery is a set of records and the peers that receive it.
type delivery struct {
	keys   map[string]struct{}
	bodies [][]byte // encoded batches
	conns  []*brpeer.Conn
}

// flush sends the pending records to the peers that aren't slow.
func (n *Node) flush() {
	for _, d := range n.collect() {
		for _, c := range d.conns {
			for _, body := range d.bodies {
				// An error means that the connection has ended. The peer receives all
				// records again when it reconnects.
				_ = brpeer.PushEncoded(c, pushRecord, body)
			}
		}
	}
}

// collect returns the pending records and marks them as sent. The records that several
// peers receive are encoded once; a relay sends most of them to all its subscribers.
func (n *Node) collect() []delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	var deliveries []delivery
	for c, p := range n.peers {
		if len(p.pending) == 0 {
			continue
		}
		if p.queued() >= maxQueuedMessages {
			n.wakeFlush()
			continue
		}
		i := slices.IndexFunc(deliveries, func(d delivery) bool { return maps.Equal(d.keys, p.pending) })
		if i < 0 {
			i = len(deliveries)
			deliveries = append(deliveries, delivery{keys: p.pending, bodies: n.encodeAll(now, p.pending)})
		}
		deliveries[i].conns = append(deliveries[i].conns, c)
		p.pending = map[string]struct{}{}
	}
	return deliveries
}

func (n *Node) encodeAll(now time.Time, pending map[string]struct{}) [][]byte {
	var bodies [][]byte
	for _, keys := range chunks(pending) {
		bodies = append(bodies, n.encode(now, keys))
	}
	return bodies
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
