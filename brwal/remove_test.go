package brwal

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"bramleyroute/brlog"
)

// TestRemove guards against a log that can't be opened after its removal was interrupted
// at any file, and against the removal of other files.
func TestRemove(t *testing.T) {
	for failAt := range 16 {
		o := Options{Dir: t.TempDir(), SegmentBytes: 300}
		other := filepath.Join(o.Dir, "other.tmp")
		check(t, os.WriteFile(other, []byte("x"), 0o600))
		l, _ := mustOpen(t, o)
		check(t, l.Initialize(brlog.Bootstrap("a", []brlog.Member{{ID: "a"}})))
		for i := uint64(2); i <= 40; i++ {
			check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 1}, Entries: entries(i, i, 1)}))
		}
		check(t, l.SaveSnapshot(brlog.Snapshot{Index: 30, Term: 1}))
		check(t, l.Compact(20))
		check(t, l.Close())

		operations := 0
		fail := func() error {
			if operations++; operations > failAt {
				return syscall.ENOSPC
			}
			return nil
		}
		failing := o
		failing.Sync = func(*os.File) error { return fail() }
		failing.Remove = func(path string) error {
			if err := fail(); err != nil {
				return err
			}
			return os.Remove(path)
		}
		err := Remove(failing)
		if (err == nil) != (operations <= failAt) {
			t.Errorf("%d operations: Remove returned %v", failAt, err)
		}
		l, st := mustOpen(t, o)
		if st.ID != "" || !st.Empty() {
			t.Errorf("%d operations: replica %q has %d entries and snapshot %d after the removal", failAt, st.ID, len(st.Entries), st.Snapshot.Index)
		}
		check(t, l.Initialize(brlog.StoredState{ID: "b"}))
		check(t, l.Close())
		if _, err := os.Stat(other); err != nil {
			t.Errorf("another file was removed: %v", err)
		}
	}
}

// TestRemoveSyncsItsMark guards against a mark that is lost with the power while the files that
// were removed stay removed: the rest of the log can't be opened.
func TestRemoveSyncsItsMark(t *testing.T) {
	o := Options{Dir: t.TempDir()}
	l, _ := mustOpen(t, o)
	check(t, l.Initialize(brlog.Bootstrap("a", []brlog.Member{{ID: "a"}})))
	check(t, l.Close())
	var synced []string
	o.Sync = func(f *os.File) error {
		synced = append(synced, filepath.Base(f.Name()))
		return f.Sync()
	}
	removed := false
	o.Remove = func(path string) error {
		if want := []string{removalMark, filepath.Base(o.Dir)}; !removed && !slices.Equal(synced, want) {
			t.Errorf("synced %q before the first removal, want %q", synced, want)
		}
		removed = true
		return os.Remove(path)
	}
	check(t, Remove(o))
}
