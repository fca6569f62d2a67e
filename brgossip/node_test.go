package brgossip

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brtest"
)

// testNode is a node on loopback that stores the records passed to OnRecord.
type testNode struct {
	node    *Node
	links   *brpeer.Server
	server  *http.Server
	address string

	mu       sync.Mutex
	received map[string]string
}

func startNode(t *testing.T, id string, seeds func() []string) *testNode {
	t.Helper()
	return startNodeWith(t, Daemon{ID: id}, seeds)
}

// startNodeWith starts a node on a free port. It treats load records as direct.
func startNodeWith(t *testing.T, self Daemon, seeds func() []string) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", brtest.FreeAddress(t)) // addresses ascend
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{address: l.Addr().String(), received: map[string]string{}}
	mux := &brpeer.Mux{}
	self.Address = n.address
	n.node = New(Config{
		Self: self, Epoch: 1, Mux: mux, Seeds: seeds, DirectKinds: map[string]bool{"load": true}, DomainKinds: map[string]bool{"near": true},
		OnRecord: func(r Record) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.received[r.Key] = string(r.Value)
		},
	})
	n.node.Run()
	n.links = &brpeer.Server{Mux: mux}
	n.server = &http.Server{Handler: n.links}
	go n.server.Serve(l)
	t.Cleanup(n.close)
	return n
}

func (n *testNode) close() {
	n.node.Close()
	n.links.Close()
	n.server.Close()
}

func (n *testNode) value(key string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[key]
}

// await polls a condition, since no single event signals that another node has
// received a record.
func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	brtest.Await(t, 10*time.Second, what, f)
}

// TestNodesFindEachOther guards against daemons that link only to their seeds: a
// record must reach daemons that have only a seed in common with its writer.
func TestNodesFindEachOther(t *testing.T) {
	first := startNode(t, "a", func() []string { return nil })
	seeds := func() []string { return []string{first.address} }
	second, third := startNode(t, "b", seeds), startNode(t, "c", seeds)
	all := []*testNode{first, second, third}
	for _, n := range all {
		await(t, "links between all nodes", func() bool { return len(n.node.LinkedAddresses()) == 2 })
	}
	for i := range 3 {
		third.node.Publish(Record{Key: "endpoint/e", Version: Version{Epoch: 1, Seq: uint64(i + 1)}, Value: fmt.Append(nil, i)})
	}
	for _, n := range all {
		await(t, "newest value at all nodes", func() bool { return n.value("endpoint/e") == "2" })
	}
}

// TestRecordsSurviveTheSeeds guards against a fleet that loses its links to each
// other when all seeds are down.
func TestRecordsSurviveTheSeeds(t *testing.T) {
	seed := startNode(t, "seed", func() []string { return nil })
	seeds := func() []string { return []string{seed.address} }
	a, b := startNode(t, "a", seeds), startNode(t, "b", seeds)
	await(t, "link between a and b", func() bool { return a.node.Conn(b.address) != nil && b.node.Conn(a.address) != nil })
	seed.close()
	a.node.Publish(Record{Key: "policy/current", Version: Version{Seq: 7}, Value: []byte("new")})
	await(t, "record received without the seed", func() bool { return b.value("policy/current") == "new" })
}

// TestIsolatedNodeDialsAtOnce guards against a daemon with a great address that waits
// for others to dial it after its start, though they don't know it yet.
func TestIsolatedNodeDialsAtOnce(t *testing.T) {
	first := startNode(t, "a", func() []string { return nil })
	seeds := func() []string { return []string{first.address} }
	for i := range 3 {
		started := time.Now()
		n := startNode(t, fmt.Sprint("n", i), seeds)
		await(t, "link to the seed", func() bool { return n.node.Conn(first.address) != nil })
		if d := time.Since(started); d >= acceptTimeout {
			t.Errorf("%s has a link to %s after %v, want less than %v", n.address, first.address, d, acceptTimeout)
		}
	}
}

// TestBytes guards against a count of bytes that starts anew when a link is closed.
func TestBytes(t *testing.T) {
	a := startNode(t, "a", func() []string { return nil })
	b := startNode(t, "b", func() []string { return []string{a.address} })
	await(t, "records are exchanged", func() bool { return len(a.node.Daemons()) == 2 && len(b.node.Daemons()) == 2 })
	b.close()
	await(t, "the link is closed", func() bool { return len(a.node.LinkedAddresses()) == 0 })
	if in, out := a.node.Bytes(); in == 0 || out == 0 {
		t.Errorf("%d bytes received and %d sent over a closed link, want both counted", in, out)
	}
}
