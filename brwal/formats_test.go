package brwal

import (
	"os"
	"path/filepath"
	"testing"

	"bramleyroute/brlog"
	"bramleyroute/brtest"
)

// TestFormats guards against files that a replica of another build can't load, or loads
// otherwise.
func TestFormats(t *testing.T) {
	state := brlog.HardState{Term: 3, Vote: "b"}
	member := brlog.Member{ID: "a", Address: "127.0.0.1:1"}
	snapshot := brlog.Snapshot{Index: 4, Term: 2, Membership: brlog.Membership{Members: []brlog.Member{member}}, Data: []byte("data")}
	kinds := entries(5, 7, 3)
	kinds[1].Kind, kinds[1].Data = brlog.EntryNoop, nil
	kinds[2] = brlog.Bootstrap("a", []brlog.Member{member}).Entries[0]
	kinds[2].Index, kinds[2].Term = 7, 3
	write := func(l *Log) error { return l.Append(brlog.Write{HardState: state, Reset: 4, Entries: kinds}) }
	save := func(l *Log) error { return l.SaveSnapshot(snapshot) }
	file := func(name string, want brlog.StoredState, do func(*Log) error) brtest.Format {
		return brtest.Raw(name, want, func() ([]byte, error) {
			dir := t.TempDir()
			l, _ := mustOpen(t, Options{Dir: dir})
			l.id = "a"
			if err := do(l); err != nil {
				return nil, err
			}
			check(t, l.Close())
			return os.ReadFile(filepath.Join(dir, name))
		}, func(b []byte) (brlog.StoredState, error) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				return brlog.StoredState{}, err
			}
			l, st, err := Open(Options{Dir: dir})
			if err == nil {
				err = l.Close()
			}
			return st, err
		})
	}
	brtest.CheckFormats(t,
		file("segment-0000000000000001", brlog.StoredState{ID: "a", HardState: state, Entries: kinds}, write),
		file("snapshot-0000000000000004", brlog.StoredState{Snapshot: snapshot}, save),
	)
}
