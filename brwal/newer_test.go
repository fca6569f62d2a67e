package brwal

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"bramleyroute/brformat"
	"bramleyroute/brlog"

	"github.com/google/go-cmp/cmp"
)

// TestFilesOfNewerBuild guards against files of a later build that an earlier one, to
// which its operator went back, takes for a torn tail and truncates or removes.
func TestFilesOfNewerBuild(t *testing.T) {
	for name, c := range map[string]struct {
		format  brformat.Format
		version uint64
		file    string
		content []byte
	}{
		"segment":  {brformat.LogSegment, 2, "segment-0000000000000001", []byte("brwal\x00\x00\x02synced data in another form")},
		"snapshot": {brformat.SnapshotFile, 2, "snapshot-0000000000000009", []byte("brsnap\x00\x02synced data in another form")},
		"record": {brformat.LogRecord, 4, "segment-0000000000000001",
			appendRecord([]byte(segmentMagic), 1, 1, recordReset+1, func(b []byte) []byte { return append(b, "new"...) })},
		"entry": {brformat.LogEntry, 4, "segment-0000000000000001",
			appendRecord([]byte(segmentMagic), 1, 1, recordEntry, func(b []byte) []byte {
				return appendEntry(b, brlog.Entry{Index: 1, Term: 1, Kind: brlog.EntryMembership + 1})
			})},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, c.file)
			check(t, os.WriteFile(path, c.content, 0o600))
			_, _, err := Open(Options{Dir: dir})
			var unsupported *brformat.UnsupportedError
			if !errors.As(err, &unsupported) || unsupported.Format != c.format || unsupported.Version != c.version {
				t.Errorf("error %v, want version %d of %s", err, c.version, c.format.Name)
			}
			after, err := os.ReadFile(path)
			check(t, err)
			if diff := cmp.Diff(c.content, after); diff != "" {
				t.Errorf("file changed (-before +after):\n%s", diff)
			}
		})
	}
}
