package brstate

import (
	"testing"

	"bramleyroute/brerror"

	"github.com/google/go-cmp/cmp"
)

func evacuation(id, domain string, withdraw bool) Command {
	return Command{ID: id, ChangeEvacuation: &ChangeEvacuation{Domain: domain, Withdraw: withdraw}}
}

// Guards against an evacuation that a repeated order, a delayed copy of a withdrawal or a
// snapshot loses, and against a snapshot without evacuations that an earlier build refuses.
func TestEvacuations(t *testing.T) {
	m := newMachine(t)
	empty := m.Snapshot()
	m.must(evacuation("1", "a", false))
	m.must(evacuation("2", "a", false))
	m.must(evacuation("3", "b", false))
	m.must(evacuation("4", "b", true))
	m.must(evacuation("5", "never", true))
	m.must(evacuation("6", "b", false))
	m.must(evacuation("4", "b", true)) // sent again with its command ID
	m.mustFail(evacuation("7", "", false), brerror.InvalidRequest)
	want := []Evacuation{{Domain: "a", Revision: 1}, {Domain: "b", Revision: 6}}
	restored, err := Restore(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*State{"applied": m.State, "restored": restored} {
		if diff := cmp.Diff(want, s.View().Evacuations); diff != "" {
			t.Errorf("%s:\n%s", name, diff)
		}
	}
	for format, data := range map[int][]byte{snapshotFormat: empty, evacuationFormat: m.Snapshot()} {
		if f, _, err := readFrame(data); err != nil || f.Header.Format != format {
			t.Errorf("snapshot: error %v, want format %d", err, format)
		}
	}
}
