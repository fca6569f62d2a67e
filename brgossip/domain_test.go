package brgossip

import (
	"testing"

	"bramleyroute/brpeer"
)

// TestDomainRecordOfUnknownPeer guards against a domain record that leaves the failure
// domain of its writer: it comes over a link that has just opened, before the message that
// says whose it is.
func TestDomainRecordOfUnknownPeer(t *testing.T) {
	all := testFleet(67, 8)
	n := &Node{cfg: Config{Self: all[0]}, daemons: map[string]Daemon{}, peers: map[*brpeer.Conn]*peer{
		{}: {address: all[40].Address, wantsDirect: true}, // of the failure domain of the replica
	}}
	for _, d := range all {
		n.daemons[d.ID] = d
	}
	if targets := n.domainTargets(&brpeer.Conn{}); len(targets) > 0 {
		t.Errorf("the record is sent to %s, want nobody", targets[0].address)
	}
	if targets := n.domainTargets(nil); len(targets) != 1 {
		t.Errorf("the replica's own record is sent to %d peers, want 1", len(targets))
	}
}
