package brfleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// damage changes a byte in the first segment of daemon i's log, before its last record.
func (c *cluster) damage(i int) string {
	c.t.Helper()
	segments, err := filepath.Glob(filepath.Join(c.dirs[i], "segment-*"))
	if err != nil || len(segments) == 0 {
		c.t.Fatalf("%d segments, error %v", len(segments), err)
	}
	b, err := os.ReadFile(segments[0])
	if err != nil {
		c.t.Fatal(err)
	}
	b[40] ^= 0x41
	if err := os.WriteFile(segments[0], b, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return segments[0]
}

// TestDamagedLogIsReplaced guards against a replica whose log can't be read, and that stays out
// of the group for good although the others could replace it; and against the removal of such a
// log while the others have no leader, so that it may be needed.
func TestDamagedLogIsReplaced(t *testing.T) {
	c := newCluster(t, 3, 3)
	for version := uint64(1); version <= 8; version++ {
		c.put(0, version)
	}
	c.awaitInForce(8)
	c.await("the group is complete", c.complete)
	c.stop(0)
	c.stop(1)
	path := c.damage(0)
	c.start(0, false)
	const stopped = "replica stopped; restarting it"
	c.await("the replica has tried to start", func() bool { return c.logs[0].count(stopped) >= 3 })
	if _, err := os.Stat(path); err != nil {
		t.Fatalf("damaged log while one of three replicas runs: %v", err)
	}
	c.start(1, false)
	c.await("the group is complete again", c.complete)
	c.put(0, 9)
	for i := range c.fleets {
		c.await("all read the newest version", func() bool { return c.read(i) == 9 })
	}
	before := c.logs[0].count(stopped)
	time.Sleep(time.Second)
	if n := c.logs[0].count(stopped); n != before {
		t.Errorf("the replica has stopped %d times more", n-before)
	}
}
