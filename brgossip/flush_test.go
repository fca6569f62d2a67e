package brgossip

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brpeer"

	"github.com/google/go-cmp/cmp"
)

// newSender returns a node that isn't running, with records to send to each of the
// given number of peers. queued is the number of unsent messages to the first peer.
func newSender(records, peers int, queued *int) *Node {
	n := &Node{cfg: Config{Clock: brclock.System{}}, peers: map[*brpeer.Conn]*peer{}, wake: make(chan struct{}, 1)}
	for i := range records {
		r := Record{Key: fmt.Sprint("load/", i), Version: Version{Seq: 1}, Value: make([]byte, 200), Lifetime: time.Minute}
		n.store.Merge(n.cfg.Clock.Now(), r)
	}
	for i := range peers {
		p := &peer{address: fmt.Sprint(i), queued: func() int { return 0 }, pending: map[string]struct{}{}, domain: map[string]struct{}{}}
		if i == 0 {
			p.queued = func() int { return *queued }
		}
		n.peers[&brpeer.Conn{}] = p
	}
	n.markPending()
	return n
}

// markPending schedules all records for all peers.
func (n *Node) markPending() {
	for key := range n.store.entries {
		for _, p := range n.peers {
			p.pending[key] = struct{}{}
		}
	}
}

// TestSharedRecordsAreEncodedOnce guards against a relay that encodes and holds the
// same records once for each of its subscribers.
func TestSharedRecordsAreEncodedOnce(t *testing.T) {
	n := newSender(100, 33, new(int))
	got := n.collect(true)
	if len(got) != 1 || len(got[0].conns) != 33 || len(got[0].bodies) != 2 {
		t.Errorf("%d deliveries, want one of 2 messages to 33 peers", len(got))
	}
	if again := n.collect(true); len(again) != 0 {
		t.Errorf("%d deliveries afterwards, want none", len(again))
	}
}

// TestSlowPeerGetsNewestRecords guards against a queue of outdated records that grows
// while a peer doesn't read.
func TestSlowPeerGetsNewestRecords(t *testing.T) {
	queued := maxQueuedMessages
	n := newSender(10, 2, &queued)
	counts := func() (peers []int) {
		for _, d := range n.collect(true) {
			peers = append(peers, len(d.conns))
		}
		return peers
	}
	if diff := cmp.Diff([]int{1}, counts()); diff != "" {
		t.Errorf("peers while one is slow: %s", diff)
	}
	if len(n.wake) != 1 {
		t.Error("the node doesn't wake up again for the slow peer")
	}
	n.markPending()
	queued = 0
	if diff := cmp.Diff([]int{2}, counts()); diff != "" {
		t.Errorf("peers afterwards: %s", diff)
	}
}

// TestDomainRecordsAreSentFirst guards against records of the own failure domain that
// wait for those of the whole fleet, and against losing the latter.
func TestDomainRecordsAreSentFirst(t *testing.T) {
	n := newSender(3, 2, new(int))
	n.cfg.DomainKinds = map[string]bool{"near": true}
	r := Record{Key: "near/1", Version: Version{Seq: 1}, Lifetime: time.Minute}
	n.store.Merge(n.cfg.Clock.Now(), r)
	for _, p := range n.peers {
		n.addPending(p, r)
	}
	keys := func(all bool) (got []int) {
		for _, d := range n.collect(all) {
			got = append(got, len(d.keys))
		}
		return got
	}
	if diff := cmp.Diff([]int{1}, keys(false)); diff != "" {
		t.Errorf("records at the flush interval (-want +got): %s", diff)
	}
	if len(n.wake) != 1 {
		t.Error("the node doesn't wake up again for the other records")
	}
	if diff := cmp.Diff([]int{3}, keys(true)); diff != "" {
		t.Errorf("records afterwards (-want +got): %s", diff)
	}
}

// BenchmarkCollect measures the preparation of one flush at a relay, for each number of
// subscribers.
func BenchmarkCollect(b *testing.B) {
	for _, peers := range []int{11, 33, 66} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			n := newSender(200, peers, new(int))
			b.ReportAllocs()
			for b.Loop() {
				n.markPending()
				n.collect(true)
			}
		})
	}
}
