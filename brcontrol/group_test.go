package brcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"bramleyroute/brpeer"
	"bramleyroute/brtest"
)

// listMachine is a state machine that records all applied entries in order.
type listMachine struct {
	mu   sync.Mutex
	list []string
}

func (m *listMachine) machine() StateMachine {
	return StateMachine{
		Apply: func(index uint64, data []byte) []byte {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.list = append(m.list, string(data))
			return fmt.Appendf(nil, "%d", len(m.list))
		},
		Snapshot: func() ([]byte, error) { return json.Marshal(m.entries()) },
		Restore: func(b []byte) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			return json.Unmarshal(b, &m.list)
		},
	}
}

func (m *listMachine) entries() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string{}, m.list...)
}

// node is a replica with its listener on the loopback interface.
type node struct {
	*Replica
	cfg     Config
	machine *listMachine
	http    *http.Server
	server  *brpeer.Server
	fatal   chan error
}

type group struct {
	t     testing.TB
	nodes []*node
	// machine, if not nil, replaces listMachine in nodes that are started later.
	machine *StateMachine
}

func newGroup(t testing.TB, size int, snapshotEvery uint64) *group {
	return newGroupOf(t, size, snapshotEvery, nil)
}

func newGroupOf(t testing.TB, size int, snapshotEvery uint64, m *StateMachine) *group {
	g := &group{t: t, machine: m}
	dir := t.TempDir()
	var peers []Peer
	var listeners []net.Listener
	for i := range size {
		ln, err := net.Listen("tcp", brtest.FreeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		peers = append(peers, Peer{ID: fmt.Sprintf("c%d", i), Address: ln.Addr().String()})
	}
	for i, p := range peers {
		n := &node{cfg: Config{
			Dir: filepath.Join(dir, p.ID), Self: p, Peers: peers,
			Keys: brpeer.Keys{"key"}, SnapshotEvery: snapshotEvery,
		}}
		g.nodes = append(g.nodes, n)
		g.start(n, listeners[i])
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			g.stop(n)
		}
	})
	return g
}

// add starts a node with an empty data directory that knows all running ones.
func (g *group) add(id string) *node {
	g.t.Helper()
	n := &node{cfg: g.nodes[0].cfg}
	n.cfg.Self = Peer{ID: id, Address: brtest.FreeAddress(g.t)}
	n.cfg.Dir = filepath.Join(g.t.TempDir(), id)
	n.cfg.Peers = []Peer{n.cfg.Self}
	for _, x := range g.running() {
		n.cfg.Peers = append(n.cfg.Peers, x.cfg.Self)
	}
	g.nodes = append(g.nodes, n)
	g.start(n, nil)
	return n
}

// start starts n on ln, or on a new listener at its address if ln is nil.
func (g *group) start(n *node, ln net.Listener) {
	g.t.Helper()
	fatal := make(chan error, 1)
	n.fatal, n.machine = fatal, &listMachine{}
	n.cfg.StateMachine = n.machine.machine()
	if g.machine != nil {
		n.cfg.StateMachine = *g.machine
	}
	n.cfg.Fatal = func(err error) { fatal <- err }
	r, err := Start(n.cfg)
	if err != nil {
		g.t.Fatal(err)
	}
	n.Replica = r
	g.listen(n, ln)
}

func (g *group) listen(n *node, ln net.Listener) {
	g.t.Helper()
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", n.cfg.Self.Address); err != nil {
			g.t.Fatal(err)
		}
	}
	var mux brpeer.Mux
	n.Register(&mux)
	n.server = &brpeer.Server{Mux: &mux, Keys: n.cfg.Keys}
	n.http = &http.Server{Handler: n.server}
	go n.http.Serve(ln)
}

// disconnect closes the incoming links of n and its listener.
func (g *group) disconnect(n *node) {
	n.http.Close()
	n.server.Close()
}

func (g *group) stop(n *node) {
	if n.Replica == nil {
		return
	}
	g.disconnect(n)
	if err := n.Close(); err != nil {
		g.t.Error(err)
	}
	n.Replica = nil
}

func (g *group) running() (all []*node) {
	for _, n := range g.nodes {
		if n.Replica != nil {
			all = append(all, n)
		}
	}
	return all
}

// wait waits until ok returns true. It calls ok at each change of the first
// running replica, which includes its ticks, and fails the test after 20 s.
func (g *group) wait(condition string, ok func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		changed := g.running()[0].changed.wait()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
			for _, n := range g.running() {
				g.t.Logf("%+v", n.Status())
			}
			g.t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// leader waits for a leader with a valid lease and returns it.
func (g *group) leader() (l *node) {
	g.t.Helper()
	g.wait("leader", func() bool {
		for _, n := range g.running() {
			if _, err := n.readIndex(); err == nil {
				l = n
			}
		}
		return l != nil
	})
	return l
}

func (g *group) propose(n *node, data string) string {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := n.Propose(ctx, []byte(data))
	if err != nil {
		g.t.Fatalf("propose %q: %v", data, err)
	}
	return string(out)
}

// waitForEqualState waits until all running replicas have applied the entries of
// the leader, checks that they applied the same ones, and returns them.
func (g *group) waitForEqualState() []string {
	g.t.Helper()
	want := g.leader().machine.entries()
	for _, n := range g.running() {
		g.wait("equal state", func() bool { return len(n.machine.entries()) >= len(want) })
		if got := n.machine.entries()[:len(want)]; fmt.Sprint(got) != fmt.Sprint(want) {
			g.t.Fatalf("%s applied %v, want %v", n.cfg.Self.ID, got, want)
		}
	}
	return want
}

func (g *group) loseDisk(n *node) {
	g.t.Helper()
	g.stop(n)
	if err := os.RemoveAll(n.cfg.Dir); err != nil {
		g.t.Fatal(err)
	}
	g.start(n, nil)
}

// repaired reports whether the leader's membership is committed, has n as a voter and no
// other members than the nodes. A change that isn't committed is lost with the leader's
// disk.
func (g *group) repaired(n *node) bool {
	st := g.leader().Status()
	return st.Commit == st.Last && st.Membership.IsVoter(n.Status().ID) && st.Membership.Voters() == len(g.nodes) && len(st.Membership.Members) == len(g.nodes)
}
