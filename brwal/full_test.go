package brwal

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"bramleyroute/brlog"

	"github.com/google/go-cmp/cmp"
)

var (
	fullSeed  = flag.Uint64("full-seed", 1, "seed of the first schedule of full disks")
	fullCount = flag.Uint64("full-count", 150, "number of schedules of full disks")
)

// fullDisk injects ENOSPC into the file operations of a Log. It fails with the operation
// that is countdown operations away, and with all later ones until it has room again.
type fullDisk struct {
	rng       *rand.Rand
	countdown int
	removes   bool // files can be removed from the full disk
}

func (d *fullDisk) err() error {
	if d.countdown--; d.countdown < 0 {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fullDisk) options(dir string) Options {
	return Options{
		Dir: dir, SegmentBytes: 300,
		Sync: func(*os.File) error { return d.err() },
		Write: func(f *os.File, b []byte) (int, error) {
			if d.err() == nil {
				return f.Write(b)
			}
			n, err := f.Write(b[:d.rng.IntN(len(b))])
			return n, errors.Join(err, syscall.ENOSPC)
		},
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			if flag&os.O_CREATE != 0 && d.err() != nil {
				return nil, syscall.ENOSPC
			}
			return os.OpenFile(path, flag, mode)
		},
		Rename: func(from, to string) error {
			if err := d.err(); err != nil {
				return err
			}
			return os.Rename(from, to)
		},
		Remove: func(path string) error {
			if err := d.err(); err != nil && !d.removes {
				return err
			}
			return os.Remove(path)
		},
	}
}

// runFullDisk fills the disk of one log several times, each time at a random file
// operation and for some attempts to open it again. It returns the first rule that is
// violated.
func runFullDisk(dir string, seed uint64) error {
	const room = 1 << 30 // operations
	rng := rand.New(rand.NewPCG(seed, 0))
	d := &fullDisk{rng: rng, countdown: room, removes: seed%2 == 0}
	members := []brlog.Member{{ID: "a"}, {ID: "b"}}
	want := brlog.StoredState{} // what has been reported as durable
	for range 8 {
		d.countdown = rng.IntN(60)
		l, got, err := Open(d.options(dir))
		for range rng.IntN(3) {
			if err == nil {
				break
			}
			l, got, err = Open(d.options(dir))
		}
		if err != nil {
			if left, _ := filepath.Glob(filepath.Join(dir, "*"+temporarySuffix)); len(left) > 0 && d.removes {
				return fmt.Errorf("%v takes room after Open failed", left)
			}
			d.countdown = room
			if l, got, err = Open(d.options(dir)); err != nil {
				return fmt.Errorf("open with room: %w", err)
			}
			d.countdown = rng.IntN(60)
		}
		if err := checkStored(want, got); err != nil {
			l.Close()
			return err
		}
		want = fill(l, rng, got, members)
		for _, err := range []error{l.Append(brlog.Write{HardState: brlog.HardState{Term: 1 << 40}}), l.Compact(1)} {
			if !errors.Is(err, ErrFailed) {
				return fmt.Errorf("write after a failed one returned %v", err)
			}
		}
		l.Close()
	}
	return nil
}

// fill writes to l until a write fails, and returns what was reported as durable.
func fill(l *Log, rng *rand.Rand, st brlog.StoredState, members []brlog.Member) brlog.StoredState {
	if st.ID == "" {
		first := brlog.Bootstrap("a", members)
		if l.Initialize(first) != nil {
			return st
		}
		st = first
	}
	for {
		switch last := st.Snapshot.Index + uint64(len(st.Entries)); {
		case len(st.Entries) > 0 && rng.IntN(6) == 0:
			last = st.Entries[len(st.Entries)-1].Index
			snapshot := brlog.Snapshot{Index: last, Term: st.HardState.Term, Data: make([]byte, rng.IntN(400))}
			if l.SaveSnapshot(snapshot) != nil {
				return st
			}
			st.Snapshot = snapshot
			if l.Compact(last-min(last, 3)) != nil {
				return st
			}
		default:
			if n := len(st.Entries); n > 0 {
				last = st.Entries[n-1].Index
			}
			hard := st.HardState
			hard.Term += rng.Uint64N(2)
			added := entries(last+1, last+rng.Uint64N(4), hard.Term)
			if l.Append(brlog.Write{HardState: hard, Entries: added}) != nil {
				return st
			}
			st.HardState = hard
			st.Entries = append(slices.Clip(st.Entries), added...)
		}
	}
}

// checkStored checks that got has all of want, and is a state with which a replica can
// start.
func checkStored(want, got brlog.StoredState) error {
	if want.ID != got.ID && want.ID != "" {
		return fmt.Errorf("replica ID is %q, want %q", got.ID, want.ID)
	}
	if got.HardState.Term < want.HardState.Term || got.Snapshot.Index < want.Snapshot.Index {
		return fmt.Errorf("got term %d and snapshot %d, want at least %d and %d",
			got.HardState.Term, got.Snapshot.Index, want.HardState.Term, want.Snapshot.Index)
	}
	if got.ID == "" {
		return nil
	}
	if len(got.Entries) == 0 {
		return errors.New("replica has an ID but not the membership with which it was initialized")
	}
	first := got.Entries[0].Index
	for _, e := range want.Entries {
		if e.Index < first && e.Index <= got.Snapshot.Index {
			continue
		}
		if e.Index < first || e.Index >= first+uint64(len(got.Entries)) {
			return fmt.Errorf("entry %d is missing", e.Index)
		}
		if g := got.Entries[e.Index-first]; g.Term != e.Term || !bytes.Equal(g.Data, e.Data) {
			return errors.New(cmp.Diff(e, g))
		}
	}
	_, err := brlog.New(brlog.Config{ID: got.ID, Stored: got, Random: func() uint64 { return 0 }})
	return err
}

// TestFullDisk guards against records lost, a log that can't be opened once the disk has
// room again, and a log that is half initialized (seed 4), after ENOSPC at any file
// operation.
func TestFullDisk(t *testing.T) {
	for seed := *fullSeed; seed < *fullSeed+*fullCount; seed++ {
		if err := runFullDisk(t.TempDir(), seed); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
