package brgossip

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleyroute/brpeer"

	"github.com/google/go-cmp/cmp"
)

// TestDirectRecordsInLargeFleet guards against direct records that reach only part
// of a large fleet, both with relays and after the loss of all relays.
func TestDirectRecordsInLargeFleet(t *testing.T) {
	const size, replicas = meshLimit + 6, 4
	nodes := startNodes(t, size, replicas)
	await(t, "every daemon has discovered all others", func() bool {
		for _, n := range nodes {
			if len(n.node.Daemons()) != size {
				return false
			}
		}
		return true
	})
	seq := uint64(0)
	publishAndAwait := func(what string, nodes []*testNode) {
		await(t, what, func() bool {
			seq++
			for i, n := range nodes {
				n.node.Publish(Record{
					Key: fmt.Sprint("load/", i), Version: Version{Seq: seq}, Value: []byte(what), Lifetime: time.Minute,
				})
			}
			return allReceived(nodes, what)
		})
	}
	publishAndAwait("through relays", nodes)
	for _, n := range nodes[:replicas] {
		n.close()
	}
	publishAndAwait("without relays", nodes[replicas:])
}

// startNodes starts a fleet of daemons in two failure domains in turn, the first of
// which have a replica.
func startNodes(t *testing.T, size, replicas int) []*testNode {
	t.Helper()
	daemon := func(i int) Daemon {
		return Daemon{ID: fmt.Sprint("d", i), FailureDomain: fmt.Sprint("zone-", i%2), Replica: i < replicas}
	}
	nodes := []*testNode{startNodeWith(t, daemon(0), func() []string { return nil })}
	first := nodes[0].address
	for i := 1; i < size; i++ {
		nodes = append(nodes, startNodeWith(t, daemon(i), func() []string { return []string{first} }))
	}
	return nodes
}

func allReceived(nodes []*testNode, value string) bool {
	for _, n := range nodes {
		for i := range nodes {
			if n.value(fmt.Sprint("load/", i)) != value {
				return false
			}
		}
	}
	return true
}

// TestDirectTargets guards against direct records that are not forwarded, and
// against forwarding loops.
func TestDirectTargets(t *testing.T) {
	all := testFleet(67, 8)
	replica, other, plain, subscriber := &brpeer.Conn{}, &brpeer.Conn{}, &brpeer.Conn{}, &brpeer.Conn{}
	names := map[*brpeer.Conn]string{replica: "replica", other: "other", plain: "plain", subscriber: "subscriber"}
	tests := []struct {
		name  string
		self  Daemon
		relay *brpeer.Conn
		from  *brpeer.Conn
		want  []string
	}{
		{"own, at a replica", all[0], nil, nil, []string{"other", "replica", "subscriber"}},
		{"from a replica, at a replica", all[0], nil, other, []string{"subscriber"}},
		{"from a subscriber, at a replica", all[0], nil, subscriber, []string{"other", "replica", "subscriber"}},
		{"own, with a relay", all[40], replica, nil, []string{"other", "replica", "subscriber"}},
		{"from the relay", all[40], replica, replica, []string{"subscriber"}},
		{"from a subscriber, with a relay", all[40], replica, subscriber, []string{"replica"}},
		{"own, without a relay", all[40], nil, nil, []string{"other", "plain", "replica", "subscriber"}},
		{"from another daemon, without a relay", all[40], nil, plain, []string{"other", "replica", "subscriber"}},
	}
	for _, c := range tests {
		n := &Node{cfg: Config{Self: c.self}, daemons: map[string]Daemon{}, relay: c.relay}
		for _, d := range all {
			n.daemons[d.ID] = d
		}
		n.peers = map[*brpeer.Conn]*peer{
			replica: {address: all[1].Address}, other: {address: all[2].Address},
			plain: {address: all[50].Address}, subscriber: {address: all[51].Address, wantsDirect: true},
		}
		targets := n.directTargets(c.from)
		var got []string
		for conn, p := range n.peers {
			if slices.Contains(targets, p) {
				got = append(got, names[conn])
			}
		}
		slices.Sort(got)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: targets (-want +got): %s", c.name, diff)
		}
	}
}

// TestDomainTargets guards against domain records that leave the failure domain of their
// writer or miss a part of it, and against forwarding loops.
func TestDomainTargets(t *testing.T) {
	all := testFleet(67, 8) // 4 failure domains; daemons 0 and 4 are the replicas of the first
	names := map[string]string{
		all[4].Address: "same-domain replica", all[1].Address: "other replica", all[40].Address: "subscriber",
		all[44].Address: "second subscriber", all[41].Address: "other subscriber", all[48].Address: "plain",
	}
	for _, test := range []struct {
		name  string
		self  Daemon
		relay string // name of a peer
		from  string
		small bool
		want  []string
	}{
		{"own, at a replica", all[0], "", "", false, []string{"same-domain replica", "second subscriber", "subscriber"}},
		{"from a subscriber, at a replica", all[0], "", "subscriber", false, []string{"same-domain replica", "second subscriber", "subscriber"}},
		{"from a subscriber of another domain", all[0], "", "other subscriber", false, []string{"other replica", "other subscriber"}},
		{"from the replica of the same domain", all[0], "", "same-domain replica", false, []string{"second subscriber", "subscriber"}},
		{"own, with a relay", all[52], "same-domain replica", "", false, []string{"same-domain replica"}},
		{"own, without a relay", all[52], "", "", false, nil},
		{"from the relay", all[52], "same-domain replica", "same-domain replica", false, nil},
		{"small fleet", all[0], "", "", true, nil},
	} {
		n := &Node{cfg: Config{Self: test.self}, daemons: map[string]Daemon{}, peers: map[*brpeer.Conn]*peer{}}
		for i, d := range all {
			if !test.small || i < meshLimit {
				n.daemons[d.ID] = d
			}
		}
		conns := map[string]*brpeer.Conn{}
		for address, name := range names {
			c := &brpeer.Conn{}
			conns[name] = c
			n.peers[c] = &peer{address: address, wantsDirect: strings.HasSuffix(name, "subscriber")}
		}
		n.relay = conns[test.relay]
		var got []string
		for _, p := range n.domainTargets(conns[test.from]) {
			got = append(got, names[p.address])
		}
		slices.Sort(got)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: targets (-want +got): %s", test.name, diff)
		}
	}
}

// TestDomainRecords guards against domain records that don't reach the failure domain
// of their writer or that reach others.
func TestDomainRecords(t *testing.T) {
	const size, replicas = meshLimit + 4, 4
	nodes := startNodes(t, size, replicas)
	seq := uint64(0)
	await(t, "records reach their failure domain", func() bool {
		seq++
		for i, n := range nodes {
			n.node.Publish(Record{Key: fmt.Sprint("near/", i), Version: Version{Seq: seq}, Value: []byte("x"), Lifetime: time.Minute})
		}
		for i, n := range nodes {
			for j := range nodes {
				if i%2 == j%2 && n.value(fmt.Sprint("near/", j)) == "" {
					return false
				}
			}
		}
		return true
	})
	for i, n := range nodes {
		if i < replicas {
			continue // relays also receive what they forward for other failure domains
		}
		for j := range nodes {
			if i%2 != j%2 && n.value(fmt.Sprint("near/", j)) != "" {
				t.Errorf("daemon %d has the record of daemon %d of another failure domain", i, j)
			}
		}
	}
}
