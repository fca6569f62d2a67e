package brwal

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"bramleyroute/brlog"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var (
	modelSeed  = flag.Uint64("model-seed", 1, "seed of the first schedule of the log model")
	modelCount = flag.Uint64("model-count", 300, "number of schedules of the log model")
)

// model is the content of a log as plain values. No operation changes its slices.
type model struct {
	hard     brlog.HardState
	snapshot brlog.Snapshot
	entries  []brlog.Entry
}

// last returns the index after which an append without replacement continues.
func (m model) last() uint64 {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index
	}
	return m.snapshot.Index
}

// effective returns m as a replica uses it: without the entries that the snapshot covers,
// and without those of a log that a received snapshot replaces.
func (m model) effective() model {
	at := m.snapshot.Index
	if len(m.entries) == 0 || m.entries[0].Index > at {
		return m
	}
	first := m.entries[0].Index
	if at >= first+uint64(len(m.entries)) || m.entries[at-first].Term != m.snapshot.Term {
		m.entries = nil
		return m
	}
	m.entries = m.entries[at-first+1:]
	return m
}

// withWrite returns the states that m passes through while the records of w are written.
func (m model) withWrite(w brlog.Write) []model {
	states := []model{m}
	if w.HardState != m.hard {
		m.hard = w.HardState
		states = append(states, m)
	}
	if w.Reset != 0 {
		m.entries = nil
		states = append(states, m)
	}
	for _, e := range w.Entries {
		kept := m.entries
		if len(kept) > 0 && e.Index >= kept[0].Index && e.Index <= m.last() {
			kept = kept[:e.Index-kept[0].Index]
		}
		m.entries = append(slices.Clip(kept), e)
		states = append(states, m)
	}
	return states
}

func modelOf(st brlog.StoredState) model { return model{st.HardState, st.Snapshot, st.Entries} }

// modelRun is one schedule of operations on a log and on the model.
type modelRun struct {
	rng  *rand.Rand
	dir  string
	log  *Log
	now  model
	kill int // number of file operations until the process is killed; negative means never
}

var errKilled = errors.New("killed")

// step fails from the operation on with which the process is killed.
func (r *modelRun) step() error {
	if r.kill < 0 {
		return nil
	}
	if r.kill == 0 {
		return errKilled
	}
	r.kill--
	return nil
}

func (r *modelRun) options() Options {
	return Options{
		Dir: r.dir, SegmentBytes: 60 + 40*int64(r.rng.IntN(12)),
		Sync: func(*os.File) error { return r.step() },
		Write: func(f *os.File, b []byte) (int, error) {
			if err := r.step(); err != nil {
				n, _ := f.Write(b[:r.rng.IntN(len(b)+1)])
				return n, err
			}
			return f.Write(b)
		},
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			if err := r.step(); err != nil {
				return nil, err
			}
			return os.OpenFile(path, flag, mode)
		},
		Rename: func(from, to string) error {
			if err := r.step(); err != nil {
				return err
			}
			return os.Rename(from, to)
		},
		Remove: func(path string) error {
			if err := r.step(); err != nil {
				return err
			}
			return os.Remove(path)
		},
	}
}

// open opens the log and compares it with the states that it may have.
func (r *modelRun) open(allowed []model) error {
	r.kill = -1
	l, st, err := Open(r.options())
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	r.log = l
	if n := len(st.Entries); n > 0 && st.Entries[0].Index > st.Snapshot.Index+1 {
		return fmt.Errorf("first entry %d leaves a hole after the snapshot at %d", st.Entries[0].Index, st.Snapshot.Index)
	}
	if _, err := brlog.New(brlog.Config{ID: "a", Stored: st, Random: func() uint64 { return 0 }}); err != nil {
		return err
	}
	options := []cmp.Option{cmp.AllowUnexported(model{}), cmpopts.EquateEmpty()}
	var diff string
	for _, m := range allowed {
		if diff = cmp.Diff(m.effective(), modelOf(st).effective(), options...); diff == "" {
			r.now = m
			return nil
		}
	}
	return fmt.Errorf("log has none of %d states (-want +got):\n%s", len(allowed), diff)
}

// reopen closes the log and opens it again, as after a kill.
func (r *modelRun) reopen(allowed []model) error {
	r.kill = -1
	if err := r.log.Close(); err != nil {
		return err
	}
	return r.open(allowed)
}

// apply calls do, after which the log has the last of states. If do is killed, the log may
// have any of them.
func (r *modelRun) apply(do func() error, states ...model) error {
	r.kill = -1
	if r.rng.IntN(6) == 0 {
		r.kill = r.rng.IntN(6)
	}
	switch err := do(); {
	case errors.Is(err, errKilled):
		return r.reopen(states)
	case err != nil:
		return err
	}
	r.now = states[len(states)-1]
	return nil
}

// operation does one random operation that a replica may do: it replaces no entry that a
// snapshot has, and compacts only what a snapshot has.
func (r *modelRun) operation() error {
	m := r.now
	switch r.rng.IntN(10) {
	case 0, 1: // snapshot of the replica's own state
		es := m.effective().entries
		if len(es) == 0 {
			return nil
		}
		e := es[r.rng.IntN(len(es))]
		return r.saveSnapshot(brlog.Snapshot{Index: e.Index, Term: e.Term})
	case 2: // snapshot received from a leader
		snapshot := brlog.Snapshot{Index: m.last() + r.rng.Uint64N(4) + 1, Term: m.hard.Term}
		if err := r.saveSnapshot(snapshot); err != nil || r.now.snapshot.Index != snapshot.Index {
			return err
		}
		first := snapshot.Index + 1
		return r.append(brlog.Write{HardState: m.hard, Reset: snapshot.Index, Entries: entries(first, first+r.rng.Uint64N(3), m.hard.Term)})
	case 3, 4: // compaction
		return r.apply(func() error { return r.log.Compact(m.snapshot.Index - min(m.snapshot.Index, r.rng.Uint64N(5))) }, m)
	case 5: // kill
		return r.reopen([]model{m})
	case 6, 7: // a new leader replaces entries
		m.hard.Term++
		first := m.snapshot.Index + 1 + r.rng.Uint64N(m.last()-min(m.last(), m.snapshot.Index)+1)
		return r.append(brlog.Write{HardState: m.hard, Entries: entries(first, first+r.rng.Uint64N(4), m.hard.Term)})
	default:
		return r.append(brlog.Write{HardState: m.hard, Entries: entries(m.last()+1, m.last()+1+r.rng.Uint64N(4), m.hard.Term)})
	}
}

func (r *modelRun) append(w brlog.Write) error {
	if at := r.now.effective(); w.Reset == 0 && len(at.entries) == 0 && r.now.last() != at.snapshot.Index {
		// The log on the disk doesn't continue after the snapshot: a replica writes a reset.
		w.Reset = at.snapshot.Index
		w.Entries = entries(w.Reset+1, w.Reset+1, w.HardState.Term)
	}
	return r.apply(func() error { return r.log.Append(w) }, r.now.withWrite(w)...)
}

func (r *modelRun) saveSnapshot(s brlog.Snapshot) error {
	if s.Index <= r.now.snapshot.Index {
		return nil
	}
	after := r.now
	after.snapshot = s
	return r.apply(func() error { return r.log.SaveSnapshot(s) }, r.now, after)
}

// runModel plays the schedule of a seed and returns the first difference to the model.
func runModel(dir string, seed uint64) error {
	r := &modelRun{rng: rand.New(rand.NewPCG(seed, 38)), dir: dir, kill: -1}
	l, _, err := Open(r.options())
	if err != nil {
		return err
	}
	r.log = l
	defer func() { r.log.Close() }()
	first := brlog.Bootstrap("a", []brlog.Member{{ID: "a"}})
	if err := l.Initialize(first); err != nil {
		return err
	}
	r.now = modelOf(first)
	for range 40 {
		if err := r.operation(); err != nil {
			return err
		}
	}
	return r.reopen([]model{r.now})
}

// TestModel guards against a log that can't be opened again, or that differs from what was
// written, after any order of appends, replaced entries, resets, snapshots, compactions and
// kills at any file operation.
func TestModel(t *testing.T) {
	for seed := *modelSeed; seed < *modelSeed+*modelCount; seed++ {
		dir := filepath.Join(t.TempDir(), "log")
		if err := runModel(dir, seed); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
