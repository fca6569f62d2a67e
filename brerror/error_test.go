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

// Guards against a kind without a row in the table, against two kinds with the same
// name, and against a retriable kind whose outcome is not not_run, for which a retry
// could run the request twice. NoQuorum is the exception.
func TestTableIsComplete(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Response()
		if a.Name == "" || a.Status == 0 {
			t.Errorf("kind %d has no row in the table", uint8(k))
		}
		if other, ok := seen[a.Name]; ok {
			t.Errorf("kinds %d and %d have the same name %q", other, k, a.Name)
		}
		seen[a.Name] = k
		if a.Retry && a.Outcome != NotRun && k != NoQuorum {
			t.Errorf("%v is retriable, but its outcome is %v, want not_run", k, a.Outcome)
		}
		var decoded Kind
		if err := decoded.UnmarshalText([]byte(k.String())); err != nil || decoded != k {
			t.Errorf("text of %v decodes to %v, error %v", k, decoded, err)
		}
	}
}

// Guards against losing the kind or the cause of an error that was wrapped.
func TestFromKeepsKind(t *testing.T) {
	cause := errors.New("disk full")
	err := fmt.Errorf("append: %w", New(NoQuorum, "commit: %w", cause))
	got := From(err)
	if diff := cmp.Diff(NoQuorum, got.Kind); diff != "" {
		t.Error(diff)
	}
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
	if From(errors.New("x")).Kind != Internal || From(nil) != nil {
		t.Error("want Internal for an error without a kind and nil for nil")
	}
}

var update = flag.Bool("update", false, "write the reference page")

const pagePath = "../docs/reference/errors.md"

// Guards against a reference page that is out of date with the table.
func TestReferencePage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Error kinds\n\nGenerated from the table in `brerror` by `go test ./brerror -update`. The outcome says whether the request ran; with `retry` the same request may be sent again after `retry_after_ms`.\n\n| Kind | HTTP status | Outcome | |\n|---|---|---|---|\n")
	for _, k := range Kinds() {
		a := k.Response()
		retry := ""
		if a.Retry {
			retry = "retry"
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%v` | %s |\n", a.Name, a.Status, a.Outcome, retry)
	}
	if *update {
		if err := os.WriteFile(pagePath, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("reference page is out of date, run go test ./brerror -update: %s", diff)
	}
}
