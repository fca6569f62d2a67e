package brcontrol

import (
	"testing"

	"bramleyroute/brlog"
	"bramleyroute/brwal"
	"bramleyroute/brwire"
)

// TestMembershipOfNewerBuild guards against a process that ends again after each start
// because its log has a membership that only a later build can decode.
func TestMembershipOfNewerBuild(t *testing.T) {
	dir := t.TempDir()
	data, err := brwire.Encode(map[string]any{"members": 7})
	if err != nil {
		t.Fatal(err)
	}
	wal, _, err := brwal.Open(brwal.Options{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	entry := brlog.Entry{Index: 1, Term: 1, Kind: brlog.EntryMembership, Data: data}
	err = wal.Initialize(brlog.StoredState{ID: "a", HardState: brlog.HardState{Term: 1}, Entries: []brlog.Entry{entry}})
	if err != nil {
		t.Fatal(err)
	}
	if err := wal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Start(Config{
		Dir: dir, Self: Peer{ID: "a", Address: "127.0.0.1:1"}, Fatal: func(err error) { t.Error(err) },
		StateMachine: StateMachine{
			Apply: func(uint64, []byte) []byte { return nil }, Snapshot: func() ([]byte, error) { return nil, nil },
			Restore: func([]byte) error { return nil },
		},
	})
	if err == nil {
		t.Errorf("Start succeeded")
		_ = r.Close() // the test has failed already
	}
}
