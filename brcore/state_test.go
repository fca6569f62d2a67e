package brcore

import (
	"errors"
	"slices"
	"testing"
	"time"

	"bramleyroute/brformat"
	"bramleyroute/brgossip"
	"bramleyroute/brlog"
	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
)

func apply(t *testing.T, s *State, index uint64, c Command) Verdict {
	t.Helper()
	data, err := brwire.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return Verdict(s.Apply(index, data)[0])
}

func document(version uint64, body string) Command {
	return Command{Document: &Document{Version: version, Body: []byte(body)}}
}

// TestHighestVersionIsKept guards against a document that replaces the newest one
// although its version is lower, or equal with different content.
func TestHighestVersionIsKept(t *testing.T) {
	var s State
	got := []Verdict{
		apply(t, &s, 1, document(3, "three")),
		apply(t, &s, 2, document(2, "two")),
		apply(t, &s, 3, document(3, "other")),
		apply(t, &s, 4, document(9, "nine")),
	}
	if diff := cmp.Diff([]Verdict{Done, NoChange, NoChange, Done}, got); diff != "" {
		t.Error(diff)
	}
	want := Document{Version: 9, Index: 4, Body: []byte("nine")}
	if diff := cmp.Diff(want, s.document); diff != "" {
		t.Error(diff)
	}
}

// TestRolloutHasOneOutcome guards against a second outcome recorded by a former
// leader, and against a repeated request that restarts the rollout.
func TestRolloutHasOneOutcome(t *testing.T) {
	var s State
	r := Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second}
	other := r
	other.Target = "v3"
	got := []Verdict{
		apply(t, &s, 1, Command{Begin: &r}),
		apply(t, &s, 2, Command{Begin: &r}),
		apply(t, &s, 3, Command{Begin: &other}),
	}
	rolledBack, succeeded := s.rollouts["s"], s.rollouts["s"]
	rolledBack.Outcome, succeeded.Outcome = RolledBack, Succeeded
	got = append(got,
		apply(t, &s, 4, Command{Progress: &rolledBack}),
		apply(t, &s, 5, Command{Progress: &succeeded}),
		apply(t, &s, 6, Command{Begin: &r}),
	)
	want := []Verdict{Done, NoChange, Conflict, Done, NoChange, NoChange}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if o := s.rollouts["s"].Outcome; o != RolledBack {
		t.Errorf("outcome %s, want rolled_back", o)
	}
}

// TestSnapshotKeepsAll guards against state that is lost when the log is truncated
// after a snapshot.
func TestSnapshotKeepsAll(t *testing.T) {
	var s, restored State
	apply(t, &s, 1, document(5, "five"))
	apply(t, &s, 2, Command{Begin: &Rollout{Service: "s", Target: "v2", Duration: time.Second}})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, restored, cmp.AllowUnexported(State{})); diff != "" {
		t.Error(diff)
	}
}

// TestStateOfNewerBuild guards against a replica that goes on with a state that isn't the
// replicated one, after a command that only a later build can apply or a snapshot that
// only a later build can read, and passes it on in snapshots of its own.
func TestStateOfNewerBuild(t *testing.T) {
	var s State
	apply(t, &s, 1, document(5, "five"))
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	newer := func(format uint64, v any) []byte {
		b, err := brwire.Encode(map[string]any{"format": format, "document": v, "newer": 1})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	unsupported := new(brformat.UnsupportedError)
	later := brformat.Command.Version + 1
	if err := s.Restore(newer(brformat.State.Version+1, Document{Version: 6})); !errors.As(err, &unsupported) {
		t.Errorf("Restore of a later format: error %v", err)
	}
	if v := s.Apply(2, newer(1, Document{Version: 7})); !slices.Equal(v, []byte{byte(Done)}) {
		t.Errorf("command with a new field: verdict %v, want Done", v)
	}
	if v := s.Apply(3, newer(later, Document{Version: 8})); v != nil || !errors.As(s.Err(), &unsupported) {
		t.Errorf("command of a later format: verdict %v, error %v", v, s.Err())
	}
	if v := s.Apply(4, newer(1, Document{Version: 9})); v != nil || s.document.Version != 7 {
		t.Errorf("command after one of a later format: verdict %v, document %d", v, s.document.Version)
	}
	if _, err := s.Snapshot(); !errors.As(err, &unsupported) {
		t.Errorf("Snapshot after a command of a later format: error %v", err)
	}
	if err := s.Restore(before); err != nil || s.Err() != nil || s.document.Version != 5 {
		t.Errorf("Restore: error %v, then %v, document %d", err, s.Err(), s.document.Version)
	}
}

// TestShouldBootstrap guards against a first start at which two replicas, or none,
// bootstrap the group.
func TestShouldBootstrap(t *testing.T) {
	daemons := []brgossip.Daemon{
		{Address: "1", Replica: true}, {Address: "2"}, {Address: "3", Replica: true}, {Address: "4", Replica: true},
	}
	for _, test := range []struct {
		name  string
		seeds []string
		known []brgossip.Daemon
		up    time.Duration
		want  string // address of the replica that bootstraps the group; empty for none
	}{
		{"first seed has a replica", []string{"3", "1", "4"}, daemons, time.Second, "3"},
		{"first seed has no replica", []string{"2", "4", "1"}, daemons, time.Second, "4"},
		{"first seed isn't discovered yet", []string{"3", "1"}, daemons[:2], 10 * time.Second, ""},
		{"no seed has a replica", []string{"2"}, daemons, 3 * time.Second, "1"},
		{"no seed has a replica, just started", []string{"2"}, daemons, time.Second, ""},
	} {
		bootstrapper := ""
		for _, d := range daemons {
			if ShouldBootstrap(d.Address, test.seeds, test.known, test.up) {
				bootstrapper += d.Address
			}
		}
		if bootstrapper != test.want {
			t.Errorf("%s: group bootstrapped by %q, want %q", test.name, bootstrapper, test.want)
		}
	}
}

// TestRemovableMember guards against a group of three that keeps a lost replica next
// to its successor and can't survive the next loss, against a group that shrinks below the
// size that its tolerance requires, and against one that keeps learners that are gone.
func TestRemovableMember(t *testing.T) {
	group := func(voters, learners int) brlog.Membership {
		var m brlog.Membership
		for i := range voters + learners {
			m = m.With(brlog.Member{ID: brlog.ID(rune('a' + i)), Learner: i >= voters})
		}
		return m
	}
	silent := map[brlog.ID]time.Duration{"b": 4 * time.Second, "c": 3 * time.Second, "d": time.Second, "e": 20 * time.Second, "f": 16 * time.Second}
	for _, test := range []struct {
		voters, learners, tolerance int
		want                        brlog.ID
	}{
		{3, 0, 1, ""},
		{3, 1, 1, ""},
		{3, 3, 1, "e"},
		{4, 0, 1, "b"},
		{4, 2, 1, "b"},
		{5, 0, 2, ""},
		{5, 1, 2, "f"},
		{5, 0, 1, "e"},
	} {
		m := group(test.voters, test.learners)
		got, _ := removableMember(brlog.Status{ID: "a", Membership: m, SinceLastReply: silent}, test.tolerance)
		if got != test.want {
			t.Errorf("%d voters, %d learners, tolerance %d: removable member %q, want %q", test.voters, test.learners, test.tolerance, got, test.want)
		}
	}
}
