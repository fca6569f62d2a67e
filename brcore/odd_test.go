package brcore

import (
	"testing"

	"bramleyroute/brwire"
)

// FuzzApply guards against a log entry that ends each replica that applies it, and
// against a state that it leaves and that can't be restored from a snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range []Command{
		{}, {Document: &Document{Version: 3, Body: []byte("{}")}}, {Begin: &Rollout{Service: "s", Target: "v"}},
		{Begin: &Rollout{Service: "s\xff"}}, {Progress: &Rollout{Service: "s", Outcome: Succeeded, Index: 1}},
	} {
		data, err := brwire.Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s, restored State
		s.Apply(1, data)
		snapshot, err := s.Snapshot()
		if err == nil {
			err = restored.Restore(snapshot)
		}
		if err != nil {
			t.Errorf("state after entry %x can't be restored: %v", data, err)
		}
	})
}
