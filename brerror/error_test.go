package brerror

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
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

var update = flag.Bool("update", false, "write the reference page")

const page = "../docs/reference/errors.md"

// Guards against a reference page that differs from the table.
func TestReferencePage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Error kinds\n\nGenerated from the table in `brerror` by `go test ./brerror -update`. The outcome says whether the request ran; with `retry` the same request may be sent again after `retry_after_ms`.\n\n| Kind | HTTP status | Outcome | |\n|---|---|---|---|\n")
	for _, k := range Kinds() {
		a := k.Answer()
		retry := ""
		if a.Retry {
			retry = "retry"
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%v` | %s |\n", a.Name, a.Status, a.Outcome, retry)
	}
	if *update {
		if err := os.WriteFile(page, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("run go test ./brerror -update: %s", diff)
	}
}
