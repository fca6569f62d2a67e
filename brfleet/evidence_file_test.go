package brfleet

import (
	"os"
	"path/filepath"
	"testing"

	"bramleyroute/brquarantine"

	"github.com/google/go-cmp/cmp"
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

// TestEvidenceFileOfNewerBuild guards against a daemon that forgets all evidence since it
// can't read one entry of a later build.
func TestEvidenceFileOfNewerBuild(t *testing.T) {
	sound := subjectEvidence{Subject: "request/x", Evidence: brquarantine.Evidence{Lost: []string{"a"}}}
	newField := map[string]any{"subject": "request/x", "evidence": sound.Evidence, "newer": 1}
	for name, c := range map[string]struct {
		file any
		want []subjectEvidence
		err  bool
	}{
		"all":              {[]any{sound, sound}, []subjectEvidence{sound, sound}, false},
		"new field":        {[]any{newField}, []subjectEvidence{sound}, false},
		"entry of a later": {[]any{map[string]any{"subject": 1}, sound, "x"}, []subjectEvidence{sound}, true},
		"file of a later":  {map[string]any{"format": 2}, nil, true},
	} {
		got, err := decodeEvidenceFile(encode(c.file))
		if diff := cmp.Diff(c.want, got); diff != "" || (err != nil) != c.err {
			t.Errorf("%s: error %v, entries (-want +got):\n%s", name, err, diff)
		}
	}
}
