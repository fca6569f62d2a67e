package brgossip

import (
	"context"
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

	// maxBatch is the maximum number of records in one message, and maxBatchBytes the
	// size of their keys and values in bytes: messages beyond brwire.MaxMessage close
	// the link.
	maxBatch      = 64
	maxBatchBytes = 1 << 20
	// maxQueuedMessages is the number of unsent messages to a peer from which on its
	// pending records wait. A slow peer then receives only their newest versions, and
	// the queue takes little memory.
	maxQueuedMessages = 4
	// fullRateDaemons is the number of daemons up to which changes are sent at the
	// flush interval. In a larger fleet the interval grows in proportion, so that
	// the rate of messages that a daemon receives doesn't grow with the fleet. Records
	// of DomainKinds are sent every domainFlushIntervals flush intervals.
	fullRateDaemons      = 32
	domainFlushIntervals = 2
)

// runFlush sends the pending records, at most once per flush interval.
func (n *Node) runFlush() {
	var flushedAt time.Time
	for {
		select {
		case <-n.stop:
			return
		case <-n.wake:
		}
		interval, fullInterval := n.flushIntervals()
		// Timers end late; half an interval less lets the flush that is due take place.
		all := n.cfg.Clock.Now().Sub(flushedAt) >= fullInterval-interval/2
		if all {
			flushedAt = n.cfg.Clock.Now()
		}
		n.flush(all)
		select {
		case <-n.stop:
			return
		case <-n.cfg.Clock.After(interval):
		}
	}
}

// flushIntervals returns the shortest interval between two flushes, and that between two
// flushes of all records.
func (n *Node) flushIntervals() (interval, fullInterval time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	interval = n.cfg.FlushInterval
	fullInterval = interval * time.Duration(max(1, len(n.daemons)/fullRateDaemons))
	if n.topology().sparse() {
		interval *= domainFlushIntervals
	}
	return interval, max(interval, fullInterval)
}

// Flush waits until the records published so far were sent to the peers, or until ctx ends.
// A node that is closed without it may lose those of the latest flush interval.
func (n *Node) Flush(ctx context.Context) {
	for sent := false; !sent; {
		sent = n.sentAll()
		select { // also after the last check, since a message leaves its queue before it is written
		case <-n.cfg.Clock.After(n.cfg.FlushInterval):
		case <-n.stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sentAll reports whether no record is pending and no message is queued.
func (n *Node) sentAll() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if len(p.pending) > 0 || len(p.domain) > 0 || p.queued() > 0 {
			return false
		}
	}
	return true
}

// delivery is a set of records and the peers that receive it.
type delivery struct {
	keys   map[string]struct{}
	bodies [][]byte // encoded batches
	conns  []*brpeer.Conn
}

// flush sends the pending records to the peers that aren't slow: all of them, or only
// those of DomainKinds.
func (n *Node) flush(all bool) {
	for _, d := range n.collect(all) {
		for _, c := range d.conns {
			for _, body := range d.bodies {
				// An error means that the connection has ended. The peer receives all
				// records again when it reconnects.
				_ = brpeer.PushEncoded(c, pushRecord, body)
			}
		}
	}
}

// collect returns the pending records and marks them as sent. Records that aren't
// collected stay pending until the next flush.
func (n *Node) collect(all bool) []delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	var deliveries []delivery
	for c, p := range n.peers {
		if len(p.pending) == 0 && len(p.domain) == 0 {
			continue
		}
		if p.queued() >= maxQueuedMessages {
			n.wakeFlush()
			continue
		}
		deliveries, p.domain = n.addDelivery(deliveries, now, c, p.domain)
		if all {
			deliveries, p.pending = n.addDelivery(deliveries, now, c, p.pending)
		} else if len(p.pending) > 0 {
			n.wakeFlush()
		}
	}
	return deliveries
}

// addDelivery adds the records with the given keys for a peer, and returns the
// deliveries and the empty set of keys. The records that several peers receive are
// encoded once; a relay sends most of them to all its subscribers.
func (n *Node) addDelivery(deliveries []delivery, now time.Time, c *brpeer.Conn, keys map[string]struct{}) ([]delivery, map[string]struct{}) {
	if len(keys) == 0 {
		return deliveries, keys
	}
	i := slices.IndexFunc(deliveries, func(d delivery) bool { return maps.Equal(d.keys, keys) })
	if i < 0 {
		i = len(deliveries)
		deliveries = append(deliveries, delivery{keys: keys, bodies: n.encodeAll(now, keys)})
	}
	deliveries[i].conns = append(deliveries[i].conns, c)
	return deliveries, map[string]struct{}{}
}

// encodeAll returns the encoded pending records, sorted by key and in batches of at most
// maxBatch records and maxBatchBytes. A larger record makes a batch of its own.
func (n *Node) encodeAll(now time.Time, pending map[string]struct{}) [][]byte {
	var bodies [][]byte
	var b batch
	size := 0
	for _, key := range slices.Sorted(maps.Keys(pending)) {
		r, ok := n.store.Get(now, key)
		if !ok {
			continue
		}
		bytes := len(r.Key) + len(r.Value)
		if len(b.Records) == maxBatch || len(b.Records) > 0 && size+bytes > maxBatchBytes {
			bodies = append(bodies, encode(b))
			b.Records, size = b.Records[:0], 0
		}
		b.Records = append(b.Records, r)
		size += bytes
	}
	if len(b.Records) > 0 {
		bodies = append(bodies, encode(b))
	}
	return bodies
}

func encode(b batch) []byte {
	body, err := brwire.Encode(b)
	if err != nil {
		panic(fmt.Sprintf("brgossip: encode records: %v", err))
	}
	return body
}
