package brcheck

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bramleyroute/brconfig"

	"github.com/sebdah/goldie/v2"
)

// TestDocumentGolden guards against a finding of a document that is missing, has a wrong
// place or prints a key.
func TestDocumentGolden(t *testing.T) {
	golden := goldie.New(t)
	for file, data := range documents(t) {
		var out bytes.Buffer
		if err := (Report{Findings: Document(data)}).WriteText(&out, file); err != nil {
			t.Fatal(err)
		}
		golden.Assert(t, strings.TrimSuffix(file, ".json"), out.Bytes())
		if strings.Contains(out.String(), "secret-key") {
			t.Errorf("%s: the report contains a key:\n%s", file, out.String())
		}
	}
}

// TestDocumentSize guards against a document that control replicas refuse because of its
// size, and that is found valid.
func TestDocumentSize(t *testing.T) {
	valid := documents(t)["clean.json"]
	doc, err := brconfig.Parse(valid)
	if err != nil {
		t.Fatal(err)
	}
	c := documentChecker{doc: doc}
	c.checkSize()
	c.doc.Models[0].Name = strings.Repeat("m", 1<<20)
	c.checkSize()
	if len(c.findings) != 1 || c.findings[0].Severity != Error {
		t.Errorf("findings %+v, want one error", c.findings)
	}
}

// FuzzDocument guards against a check that calls valid what a daemon refuses, or the
// reverse, and against input that ends the check.
func FuzzDocument(f *testing.F) {
	for _, data := range documents(f) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := brconfig.Parse(data)
		if err == nil {
			_, err = brconfig.Compile(doc, 1)
		}
		r := Report{Findings: Document(data)}
		if refused := r.ExitCode() == ExitErrors; refused != (err != nil) {
			t.Errorf("findings %v, error of the daemon %v", r.Findings, err)
		}
		if changes := DocumentDifferences(doc.Normalized(), doc); err == nil && len(changes) > 0 {
			t.Errorf("differences from itself: %v", changes)
		}
	})
}

// documents returns the documents of testdata by file name.
func documents(t testing.TB) map[string][]byte {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, error %v", len(files), err)
	}
	out := map[string][]byte{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		out[filepath.Base(file)] = data
	}
	return out
}
