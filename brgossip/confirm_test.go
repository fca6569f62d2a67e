package brgossip

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brtest"
)

// confirmedBy returns the addresses that Confirm reports.
func confirmedBy(t *testing.T, n *Node, key string) (addresses []string) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for a := range n.Confirm(ctx, key) {
		addresses = append(addresses, a)
	}
	return addresses
}

// TestConfirm guards against a daemon that is reported to have a record which it hasn't merged,
// and against a newer record of a peer that the caller doesn't learn of.
func TestConfirm(t *testing.T) {
	a := startNode(t, "a", func() []string { return nil })
	seeds := func() []string { return []string{a.address} }
	b, c := startNode(t, "b", seeds), startNode(t, "c", seeds)
	await(t, "links", func() bool { return len(a.node.LinkedAddresses()) == 2 && len(b.node.LinkedAddresses()) == 2 })
	for i := range 50 {
		r := Record{Key: "endpoint/e", Version: Version{Epoch: 1, Seq: uint64(i)}, Value: []byte{byte(i)}}
		a.node.Publish(r)
		if got := confirmedBy(t, a.node, r.Key); len(got) != 2 {
			t.Fatalf("record %d is confirmed by %v, want both peers", i, got)
		}
		for _, n := range []*testNode{b, c} {
			if n.value(r.Key) != string(r.Value) {
				t.Fatalf("record %d is confirmed by %s, which hasn't merged it", i, n.address)
			}
		}
	}
	if got := confirmedBy(t, a.node, "endpoint/unknown"); len(got) != 0 {
		t.Errorf("unknown record is confirmed by %v", got)
	}
	newer := Record{Key: "endpoint/e", Version: Version{Epoch: 2}, Value: []byte("newer")}
	b.node.mu.Lock()
	b.node.store.Merge(time.Now(), newer) // not scheduled for a
	b.node.mu.Unlock()
	confirmedBy(t, a.node, newer.Key)
	if got := a.value(newer.Key); got != "newer" {
		t.Errorf("value %q after a peer with a newer one has replied", got)
	}
}

// TestConfirmByOtherBuild guards against records that no daemon of an earlier build, which
// doesn't know the call, confirms during an upgrade.
func TestConfirmByOtherBuild(t *testing.T) {
	var received atomic.Int64
	mux := &brpeer.Mux{}
	brpeer.HandlePush(mux, pushHello, func(*brpeer.Conn, helloMessage) {})
	brpeer.HandlePush(mux, pushRecord, func(_ *brpeer.Conn, b batch) {
		for _, r := range b.Records {
			if r.Key == "endpoint/e" {
				received.Add(1)
			}
		}
	})
	l, err := net.Listen("tcp", brtest.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	links := &brpeer.Server{Mux: mux}
	server := &http.Server{Handler: links}
	go server.Serve(l)
	defer func() {
		links.Close()
		server.Close()
	}()
	n := startNode(t, "n", func() []string { return []string{l.Addr().String()} })
	await(t, "link", func() bool { return len(n.node.LinkedAddresses()) == 1 })
	n.node.Publish(Record{Key: "endpoint/e", Version: Version{Epoch: 1}})
	if got := confirmedBy(t, n.node, "endpoint/e"); len(got) != 1 || received.Load() == 0 {
		t.Errorf("confirmed by %v, %d records received", got, received.Load())
	}
}
