package brerror

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a kind without a row in the table, two kinds with one name,
// and a retriable kind with an outcome other than not_run, which would invite a
// second run.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Answer()
		if a.Name == "" || a.Status == 0 {
			t.Errorf("kind %d has no row", uint8(k))
		}
		if other, ok := seen[a.Name]; ok {
			t.Errorf("kinds %d and %d share the name %q", other, k, a.Name)
		}
		seen[a.Name] = k
		if a.Retry && a.Outcome != NotRun && k != NoQuorum {
			t.Errorf("%v may be retried, but its outcome is %v", k, a.Outcome)
		}
		var back Kind
		if err := back.UnmarshalText([]byte(k.String())); err != nil || back != k {
			t.Errorf("text of %v reads back as %v, %v", k, back, err)
		}
	}
}

// Guards against losing the kind of an error that was wrapped on its way.
func TestFromKeepsKind(t *testing.T) {
	cause := errors.New("disk full")
	err := fmt.Errorf("append: %w", New(NoQuorum, "commit: %w", cause))
	got := From(err)
	if diff := cmp.Diff(NoQuorum, got.Kind); diff != "" {
		t.Error(diff)
	}
	if !errors.Is(err, cause) {
		t.Error("cause was lost")
	}
	if From(errors.New("x")).Kind != Internal || From(nil) != nil {
		t.Error("plain and nil errors map to Internal and nil")
	}
}
