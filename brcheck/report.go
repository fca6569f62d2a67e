package brcheck

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Severity says what a finding means for the configuration.
type Severity string

// Values of Severity.
const (
	Error   Severity = "error"   // daemons refuse the configuration
	Warning Severity = "warning" // daemons accept it, but a part has no effect or contradicts another
	Note    Severity = "note"    // accepted and consistent, but easily misread
)

// Exit codes of a check. They are among those of bramleyctl.
const (
	ExitClean       = 0
	ExitErrors      = 4
	ExitUnavailable = 5 // no daemon could be asked for the configuration in force
	ExitWarnings    = 7
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path,omitempty"` // of the field, such as routes[3].timeout; empty for the document as a whole
	Line     int      `json:"line,omitempty"` // counted from 1; 0 if unknown
	Message  string   `json:"message"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Revision is the revision of the configuration in force, as read; nil if none was read.
	Revision *uint64  `json:"revision,omitempty"`
	Changes  []Change `json:"changes,omitempty"` // from the configuration in force
}

// ExitCode returns the exit code for the findings.
func (r Report) ExitCode() int {
	code := ExitClean
	for _, f := range r.Findings {
		switch f.Severity {
		case Error:
			return ExitErrors
		case Warning:
			code = ExitWarnings
		}
	}
	return code
}

// Sort sorts the findings by severity and line.
func (r Report) Sort() {
	rank := map[Severity]int{Error: 0, Warning: 1, Note: 2}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(rank[a.Severity], rank[b.Severity]), cmp.Compare(a.Line, b.Line))
	})
}

// WriteText writes the report for people. Each finding begins with file and line, as
// compilers write them.
func (r Report) WriteText(w io.Writer, file string) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f.text(file)); err != nil {
			return err
		}
	}
	if len(r.Findings) == 0 {
		if _, err := fmt.Fprintf(w, "%s: nothing found\n", file); err != nil {
			return err
		}
	}
	if r.Revision == nil {
		return nil
	}
	if _, err := fmt.Fprintf(w, "differences from revision %d, which was in force when it was read: %d\n", *r.Revision, len(r.Changes)); err != nil {
		return err
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, "  "+c.String()); err != nil {
			return err
		}
	}
	return nil
}

func (f Finding) text(file string) string {
	place := file
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", file, f.Line)
	}
	if f.Path != "" {
		return fmt.Sprintf("%s: %s: %s: %s", place, f.Severity, f.Path, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Severity, f.Message)
}
