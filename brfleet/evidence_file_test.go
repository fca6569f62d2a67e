package brfleet

import (
	"os"
	"path/filepath"
	"testing"

	"bramleyroute/brquarantine"
)

// TestQuarantineOutlivesRestartOfAll guards against a fleet that forgets, when all its
// processes stop at the same time, under which request or part of a prompt endpoints crash, and has
// to lose more of them to learn it again.
func TestQuarantineOutlivesRestartOfAll(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.put(3, 1)
	c.awaitInForce(1)
	for _, kind := range []brquarantine.Kind{brquarantine.KindRequest, brquarantine.KindPart} {
		// Not the same starts: those lost under a quarantined request don't count for a part.
		lost := []string{string(kind) + "1", string(kind) + "2", string(kind) + "3"}
		c.fleets[3].Proxy().PeerEvidence(brquarantine.Subject{Kind: kind, ID: "x"}, brquarantine.Evidence{Lost: lost}, 0)
	}
	for i, f := range c.fleets {
		c.await("both are quarantined everywhere", func() bool { return len(f.Proxy().Quarantine()) == 2 })
		if c.dirs[i] != "" {
			c.await("quarantine is on disk", func() bool {
				b, err := os.ReadFile(filepath.Join(c.dirs[i], evidenceFile))
				return err == nil && len(b) > 1
			})
		}
	}
	for i := range c.fleets {
		c.stop(i)
	}
	if err := os.WriteFile(filepath.Join(c.dirs[0], evidenceFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range c.fleets {
		c.start(i, false)
	}
	for _, f := range c.fleets {
		c.await("both are quarantined after the restart", func() bool { return len(f.Proxy().Quarantine()) == 2 })
	}
	c.awaitInForce(1)
}
