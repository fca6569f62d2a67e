package brwal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"bramleyroute/brlog"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func entries(first, last, term uint64) (all []brlog.Entry) {
	for i := first; i <= last; i++ {
		data := fmt.Appendf(nil, "entry %d of term %d", i, term)
		all = append(all, brlog.Entry{Index: i, Term: term, Kind: brlog.EntryData, Data: data})
	}
	return all
}

func mustOpen(t testing.TB, o Options) (*Log, brlog.StoredState) {
	t.Helper()
	l, st, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, st
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// writeBatches writes three batches to a new data directory. It returns the
// directory, the path of the only segment, and the segment size before each batch
// and at the end.
func writeBatches(t *testing.T) (dir, path string, sizes []int64) {
	dir = t.TempDir()
	l, _ := mustOpen(t, Options{Dir: dir})
	check(t, l.Initialize(brlog.StoredState{ID: "a", HardState: brlog.HardState{Term: 1}}))
	for i := range uint64(3) {
		sizes = append(sizes, l.size)
		check(t, l.Append(brlog.Write{
			HardState: brlog.HardState{Term: 2 + i, Vote: "b"}, Entries: entries(3*i+1, 3*i+3, 2+i),
		}))
	}
	path, sizes = l.file.Name(), append(sizes, l.size)
	check(t, l.Close())
	return dir, path, sizes
}

// TestTornTail guards against a crash during a write that loses previously synced
// records or leaves a log that can't be opened or appended to. The last batch is
// truncated at each offset and optionally filled up with zeros or garbage.
func TestTornTail(t *testing.T) {
	dir, path, sizes := writeBatches(t)
	content, err := os.ReadFile(path)
	check(t, err)
	tails := map[string]func(n int) []byte{
		"cut":     func(n int) []byte { return content[:n] },
		"zeros":   func(n int) []byte { return append(content[:n:n], make([]byte, len(content)-n)...) },
		"garbage": func(n int) []byte { return append(content[:n:n], "\x20\x00\x00\x00garbage that is no record"...) },
	}
	for name, tail := range tails {
		for n := sizes[2]; n < sizes[3]; n++ {
			check(t, os.WriteFile(path, tail(int(n)), 0o600))
			l, st := mustOpen(t, Options{Dir: dir})
			if len(st.Entries) < 6 || len(st.Entries) > 8 {
				t.Fatalf("%s at offset %d: %d entries, want the 6 synced and at most 2 more", name, n, len(st.Entries))
			}
			if diff := cmp.Diff(append(entries(1, 3, 2), entries(4, 6, 3)...), st.Entries[:6]); diff != "" {
				t.Fatalf("%s at offset %d: synced entries differ (-want +got):\n%s", name, n, diff)
			}
			check(t, l.Append(brlog.Write{HardState: brlog.HardState{Term: 9}, Entries: entries(7, 7, 9)}))
			check(t, l.Close())
			l, st = mustOpen(t, Options{Dir: dir})
			check(t, l.Close())
			if len(st.Entries) != 7 || st.Entries[6].Term != 9 || st.HardState.Term != 9 {
				t.Fatalf("%s at offset %d: the append after the torn tail is missing after a restart", name, n)
			}
		}
	}
}

// TestCorruption guards against corruption before the last batch that is treated as
// a torn tail, which silently drops synced records, and against errors without the
// file and offset.
func TestCorruption(t *testing.T) {
	dir, path, sizes := writeBatches(t)
	content, err := os.ReadFile(path)
	check(t, err)
	for n := range sizes[2] {
		b := append([]byte(nil), content...)
		b[n] ^= 0x41
		check(t, os.WriteFile(path, b, 0o600))
		_, _, err := Open(Options{Dir: dir})
		var d *CorruptionError
		if !errors.As(err, &d) {
			t.Fatalf("byte %d changed: Open returned error %v, want a CorruptionError", n, err)
		}
		if d.File != path || d.Offset > n || d.Offset < n-60 {
			t.Fatalf("byte %d changed: corruption reported in %s at offset %d, want the segment and an offset at most 60 bytes before", n, d.File, d.Offset)
		}
	}
}

// TestFailureIsFinal guards against a log that accepts writes after a failed write
// or sync, against a snapshot that is reported as saved although it is not, and
// against an Open that returns records which are not known to be durable.
func TestFailureIsFinal(t *testing.T) {
	errDisk := errors.New("disk error")
	for failAt := 1; failAt <= 14; failAt++ {
		calls := 0
		count := func() error {
			if calls++; calls == failAt {
				return errDisk
			}
			return nil
		}
		o := Options{
			Dir:  t.TempDir(),
			Sync: func(f *os.File) error { return errors.Join(count(), f.Sync()) },
			Write: func(f *os.File, b []byte) (int, error) {
				if err := count(); err != nil {
					f.Write(b[:len(b)/2])
					return len(b) / 2, err
				}
				return f.Write(b)
			},
		}
		l, _, err := Open(o)
		if err == nil {
			for _, step := range []func() error{
				func() error { return l.Initialize(brlog.Bootstrap("a", []brlog.Member{{ID: "a"}})) },
				func() error { return l.Append(brlog.Write{Entries: entries(2, 3, 1)}) },
				func() error { return l.SaveSnapshot(brlog.Snapshot{Index: 3, Term: 1}) },
			} {
				if err = step(); err != nil {
					break
				}
			}
			if calls >= failAt {
				for _, laterErr := range []error{
					l.Append(brlog.Write{Entries: entries(4, 4, 1)}),
					l.SaveSnapshot(brlog.Snapshot{Index: 4}), l.Compact(1),
				} {
					if !errors.Is(laterErr, ErrFailed) {
						t.Errorf("call %d failed: later write returned error %v, want ErrFailed", failAt, laterErr)
					}
				}
			}
			check(t, l.Close())
		}
		if want := failAt <= calls; errors.Is(err, errDisk) != want {
			t.Errorf("call %d of %d failed: error is %v, want the disk error if the call was made", failAt, calls, err)
		}
		bad := Options{Dir: o.Dir, Sync: func(*os.File) error { return errDisk }}
		if _, _, err := Open(bad); !errors.Is(err, errDisk) {
			t.Errorf("Open with a failing sync returned error %v, want the disk error", err)
		}
		l, st := mustOpen(t, Options{Dir: o.Dir})
		if st.Snapshot.Index != 0 && st.Snapshot.Index != 3 {
			t.Errorf("call %d failed: snapshot index is %d, want 0 or 3", failAt, st.Snapshot.Index)
		}
		check(t, l.Close())
	}
}

// TestSegmentsAndSnapshots guards against entries, state or snapshots that are lost
// when segments are started and removed, and against two processes that open the
// same directory.
func TestSegmentsAndSnapshots(t *testing.T) {
	o := Options{Dir: t.TempDir(), SegmentBytes: 400}
	l, _ := mustOpen(t, o)
	check(t, l.Initialize(brlog.StoredState{ID: "a"}))
	hard := brlog.HardState{Term: 3, Vote: "c"}
	for i := uint64(1); i <= 40; i++ {
		check(t, l.Append(brlog.Write{HardState: hard, Entries: entries(i, i, 3)}))
	}
	check(t, l.Append(brlog.Write{HardState: hard, Entries: entries(38, 39, 3)})) // drops entry 40
	check(t, l.SaveSnapshot(brlog.Snapshot{Index: 20, Term: 3}))
	snap := brlog.Snapshot{Index: 30, Term: 3, Data: []byte("state"), Membership: brlog.Membership{Members: []brlog.Member{{ID: "a"}}}}
	check(t, l.SaveSnapshot(snap))
	check(t, l.SaveSnapshot(brlog.Snapshot{Index: 25}))
	check(t, l.Compact(28))
	if _, _, err := Open(o); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open returned error %v, want ErrLocked", err)
	}
	check(t, l.Close())
	check(t, os.WriteFile(filepath.Join(o.Dir, "snapshot-0000000000000099.tmp"), []byte("x"), 0o600))

	l, st := mustOpen(t, o)
	if n := len(st.Entries); n == 0 || st.Entries[0].Index < 20 || st.Entries[0].Index > 28 || st.Entries[n-1].Index != 39 {
		t.Errorf("entries are %v, want a first index of 20 to 28 and a last index of 39", st.Entries)
	}
	want := brlog.StoredState{ID: "a", HardState: hard, Snapshot: snap}
	if diff := cmp.Diff(want, st, cmpopts.IgnoreFields(brlog.StoredState{}, "Entries")); diff != "" {
		t.Error(diff)
	}
	check(t, l.Append(brlog.Write{HardState: hard, Reset: 50, Entries: entries(51, 52, 4)}))
	check(t, l.Close())
	_, st = mustOpen(t, o)
	if diff := cmp.Diff(entries(51, 52, 4), st.Entries); diff != "" {
		t.Errorf("entries after a reset differ (-want +got):\n%s", diff)
	}
}

// Benchmark measures appends of 256-byte entries. The sync_alone case measures a
// plain write and sync of 256 bytes on the same disk for comparison.
func Benchmark(b *testing.B) {
	b.Run("sync_alone", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "file"))
		check(b, err)
		defer f.Close()
		for b.Loop() {
			_, err := f.Write(make([]byte, 256))
			check(b, err)
			check(b, f.Sync())
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "syncs/s")
	})
	for _, size := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("append_%d", size), func(b *testing.B) {
			l, _ := mustOpen(b, Options{Dir: b.TempDir()})
			check(b, l.Initialize(brlog.StoredState{ID: "a"}))
			w := brlog.Write{Entries: make([]brlog.Entry, size)}
			next := uint64(1)
			for b.Loop() {
				for i := range w.Entries {
					w.Entries[i] = brlog.Entry{Index: next, Term: 1, Kind: brlog.EntryData, Data: make([]byte, 256)}
					next++
				}
				check(b, l.Append(w))
			}
			b.ReportMetric(float64(next)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// A reopened log returns the entries that were appended before it was closed.
func Example() {
	dir, err := os.MkdirTemp("", "brwal")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	l, st, err := Open(Options{Dir: dir})
	if err != nil {
		panic(err)
	}
	fmt.Println("empty:", st.ID == "")
	if err := l.Initialize(brlog.StoredState{ID: "a"}); err != nil {
		panic(err)
	}
	w := brlog.Write{Entries: []brlog.Entry{{Index: 1, Term: 1, Kind: brlog.EntryData, Data: []byte("x")}}}
	if err := l.Append(w); err != nil {
		panic(err)
	}
	l.Close()
	l, st, err = Open(Options{Dir: dir})
	if err != nil {
		panic(err)
	}
	defer l.Close()
	fmt.Printf("%s holds %d entry: %s\n", st.ID, len(st.Entries), st.Entries[0].Data)
	// Output:
	// empty: true
	// a holds 1 entry: x
}
