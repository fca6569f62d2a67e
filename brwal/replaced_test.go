package brwal

import (
	"errors"
	"os"
	"testing"

	"bramleyroute/brlog"

	"github.com/google/go-cmp/cmp"
)

// writeReplaced writes a log whose compaction has left a segment that begins with entries
// 4 to 7 of term 1. Term 2 replaces them from entry 3 on.
func writeReplaced(t *testing.T, dir string) {
	l, _ := mustOpen(t, Options{Dir: dir, SegmentBytes: 200})
	check(t, l.Initialize(brlog.StoredState{ID: "a", HardState: brlog.HardState{Term: 1}}))
	check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 1}, Entries: entries(1, 3, 1)}))
	check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 1}, Entries: entries(4, 7, 1)}))
	check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 2}, Entries: entries(3, 6, 2)}))
	check(t, l.SaveSnapshot(brlog.Snapshot{Index: 5, Term: 2}))
	check(t, l.Compact(5))
	if l.segments[0].maxIndex != 7 {
		t.Fatalf("first segment ends at entry %d, want the replaced entry 7", l.segments[0].maxIndex)
	}
	check(t, l.Close())
}

// TestReplacedEntriesFirst guards against a log that can't be opened after a compaction that
// leaves replaced entries at the start of a segment. testdata/replaced has the files that
// commit 0c74834 wrote in this state, and couldn't open.
func TestReplacedEntriesFirst(t *testing.T) {
	written := t.TempDir()
	writeReplaced(t, written)
	earlier := t.TempDir()
	check(t, os.CopyFS(earlier, os.DirFS("testdata/replaced")))
	for _, dir := range []string{written, earlier} {
		l, st := mustOpen(t, Options{Dir: dir})
		if diff := cmp.Diff(entries(3, 6, 2), st.Entries); diff != "" {
			t.Errorf("entries differ (-want +got):\n%s", diff)
		}
		check(t, l.Append(brlog.Write{HardState: st.HardState, Entries: entries(7, 7, 2)}))
		check(t, l.Close())
	}
}

// TestMissingSegments guards against a log that is opened although entries between the
// snapshot and the first remaining one are missing.
func TestMissingSegments(t *testing.T) {
	for snapshot := range uint64(9) {
		dir := t.TempDir()
		l, _ := mustOpen(t, Options{Dir: dir, SegmentBytes: 1})
		check(t, l.Initialize(brlog.StoredState{ID: "a", HardState: brlog.HardState{Term: 1}}))
		for i := uint64(1); i <= 9; i++ {
			check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 1}, Entries: entries(i, i, 1)}))
		}
		check(t, l.SaveSnapshot(brlog.Snapshot{Index: snapshot, Term: 1}))
		paths, _, err := l.listFiles(segmentPrefix)
		check(t, err)
		check(t, l.Close())
		for first, path := range paths[1:] { // the first segment has only the state
			l, _, err := Open(Options{Dir: dir})
			if err == nil {
				check(t, l.Close())
			}
			var corruption *CorruptionError
			if missing := uint64(first) > snapshot; missing != errors.As(err, &corruption) {
				t.Errorf("snapshot %d, first entry %d: Open returned error %v", snapshot, first+1, err)
			}
			if first == 0 {
				check(t, os.Remove(paths[0]))
			}
			check(t, os.Remove(path))
		}
	}
}
