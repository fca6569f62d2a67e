package brformat

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPageListsFormats guards against an operators' page that lacks a format or names
// another version of it.
func TestPageListsFormats(t *testing.T) {
	page, err := os.ReadFile("../docs/UPGRADE.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rows, _ := strings.Cut(string(page), "| Format | Version | Oldest | What a reader does with a newer one |\n|---|---|---|---|\n")
	rows, _, _ = strings.Cut(rows, "\n\n")
	var want []string
	for _, f := range All() {
		want = append(want, fmt.Sprintf("| %s | %d | %d | %s |", f.Name, f.Version, f.Oldest, f.Newer))
	}
	if diff := cmp.Diff(want, strings.Split(rows, "\n")); diff != "" {
		t.Errorf("rows (-brformat +page):\n%s", diff)
	}
}

// TestCheck guards against a reader that takes a version that it doesn't know.
func TestCheck(t *testing.T) {
	f := Format{Name: "f", Version: 3, Oldest: 2}
	for version, ok := range []bool{false, false, true, true, false} {
		err := f.Check(uint64(version))
		var unsupported *UnsupportedError
		if (err == nil) != ok || !ok && !errors.As(err, &unsupported) {
			t.Errorf("version %d: error %v", version, err)
		}
	}
}
