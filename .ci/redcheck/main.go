package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type testID struct{ pkg, name string }

func main() {
	known, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := newReport()
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(nil, 4<<20)
	for sc.Scan() {
		var e event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			fmt.Println(sc.Text()) // build errors are printed outside of the JSON stream
			continue
		}
		r.add(e)
	}
	if err := sc.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(r.finish(known))
}

// report collects the results. It counts and compares only top-level tests, since
// the failure of a subtest fails its parent.
type report struct {
	output         map[testID]*strings.Builder
	passed         int
	failed         []testID
	failedPackages map[string]bool
}

func newReport() *report {
	return &report{output: map[testID]*strings.Builder{}, failedPackages: map[string]bool{}}
}

func (r *report) add(e event) {
	name, _, _ := strings.Cut(e.Test, "/")
	id := testID{e.Package, name}
	switch {
	case e.Action == "output":
		b := r.output[id]
		if b == nil {
			b = &strings.Builder{}
			r.output[id] = b
		}
		b.WriteString(e.Output)
	case e.Test == "" && e.Action == "fail":
		r.failedPackages[e.Package] = true
	case e.Test == "" && e.Action == "pass":
		fmt.Println("ok  ", e.Package)
	case e.Test == name && e.Action == "pass":
		r.passed++
	case e.Test == name && e.Action == "fail":
		r.failed = append(r.failed, id)
	}
}

// finish prints the results and returns the exit code.
func (r *report) finish(known []testID) int {
	code := 0
	for _, id := range r.failed {
		delete(r.failedPackages, id.pkg)
		if slices.Contains(known, id) {
			fmt.Println("KNOWN RED:", id.pkg, id.name)
			continue
		}
		code = 1
		fmt.Printf("FAIL %s %s\n%s", id.pkg, id.name, r.text(id))
	}
	for _, id := range known {
		if !slices.Contains(r.failed, id) {
			code = 1
			fmt.Printf("FAIL %s %s is listed in KNOWN-RED.txt but did not fail; remove the entry\n", id.pkg, id.name)
		}
	}
	for pkg := range r.failedPackages { // failures outside of a test: build error, panic or timeout
		code = 1
		fmt.Printf("FAIL %s\n%s", pkg, r.text(testID{pkg: pkg}))
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	return code
}

// text returns the output of a test, or of a package if id has no test name.
func (r *report) text(id testID) string {
	if b := r.output[id]; b != nil {
		return b.String()
	}
	return ""
}

// readKnownRed returns the tests listed in a file, or none if the file does not
// exist. An entry starts with a line "package test". Blank lines, indented lines and
// lines that start with "#" are notes.
func readKnownRed(name string) ([]testID, error) {
	b, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("redcheck: %w", err)
	}
	var ids []testID
	for i, line := range strings.Split(string(b), "\n") {
		if line == "" || strings.HasPrefix(line, "#") || line[0] == ' ' || line[0] == '\t' {
			continue
		}
		f := strings.Fields(line)
		if len(f) != 2 {
			return nil, fmt.Errorf("redcheck: %s:%d: want \"package test\", got %q", name, i+1, line)
		}
		ids = append(ids, testID{f[0], f[1]})
	}
	return ids, nil
}
