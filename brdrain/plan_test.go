package brdrain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAdmits guards against a stop that accepts a request which it will have to end, or
// refuses one for no reason. Rows are requests, columns are moments of a stop of 7 s whose
// first phase ends after 2 s: a accepted, - refused.
func TestAdmits(t *testing.T) {
	const want = `
                                         0s  1.9s 2s  4s  5.9s 6.1s 6.9s 7s
plain, deadline after 1s                 a   a   a   a   a   -   -   -
not repeatable, deadline after 1s        a   a   a   a   a   -   -   -
stream, resumable, no experience         a   a   -   -   -   -   -   -
stream, resumable, usually slow          a   a   -   -   -   -   -   -
stream, not repeatable, no experience    -   -   -   -   -   -   -   -
stream, not repeatable, usually fast     a   a   -   -   -   -   -   -
stream, not repeatable, usually 6s       a   -   -   -   -   -   -   -
stream, not repeatable, usually slow     -   -   -   -   -   -   -   -
`
	const long = 15 * time.Second
	start := time.Unix(0, 0)
	p := Plan{Steered: start.Add(2 * time.Second), End: start.Add(7 * time.Second)}
	moments := []time.Duration{0, 1900 * time.Millisecond, 2 * time.Second, 4 * time.Second, 5900 * time.Millisecond, 6100 * time.Millisecond, 6900 * time.Millisecond, 7 * time.Second}
	var got strings.Builder
	fmt.Fprintf(&got, "\n%40s", "")
	for _, m := range moments {
		fmt.Fprintf(&got, " %-3s", m.String())
	}
	for _, r := range []struct {
		name               string
		repeatable         bool
		deadline, expected time.Duration
	}{
		{"plain, deadline after 1s", true, time.Second, 0},
		{"not repeatable, deadline after 1s", false, time.Second, 0},
		{"stream, resumable, no experience", true, long, 0},
		{"stream, resumable, usually slow", true, long, 10 * time.Second},
		{"stream, not repeatable, no experience", false, long, 0},
		{"stream, not repeatable, usually fast", false, long, 100 * time.Millisecond},
		{"stream, not repeatable, usually 6s", false, long, 6 * time.Second},
		{"stream, not repeatable, usually slow", false, long, 10 * time.Second},
	} {
		fmt.Fprintf(&got, "\n%-40s", r.name)
		for _, m := range moments {
			now := start.Add(m)
			mark := "-"
			if p.Admits(now, Request{r.repeatable, now.Add(r.deadline), r.expected}) {
				mark = "a"
			}
			fmt.Fprintf(&got, " %-3s", mark)
		}
	}
	trim := func(s string) []string {
		lines := strings.Split(strings.TrimSpace(s), "\n")
		for i := range lines {
			lines[i] = strings.Join(strings.Fields(lines[i]), " ")
		}
		return lines
	}
	if diff := cmp.Diff(trim(want), trim(got.String())); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestEndings guards against a request that is reported as not run and may have run, and
// against an incomplete response that is followed by another one.
func TestEndings(t *testing.T) {
	got := []Ending{EndingOf(false, false), EndingOf(true, false), EndingOf(true, true)}
	if diff := cmp.Diff([]Ending{Refuse, Fail, Abort}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestDurations guards against an estimate from too few or too old durations.
func TestDurations(t *testing.T) {
	var d Durations
	now := time.Unix(1e9, 0)
	expected := func(after time.Duration, want time.Duration) {
		t.Helper()
		now = now.Add(after)
		if got := d.Expected(now, "r"); got != want {
			t.Errorf("expected duration %v, want %v", got, want)
		}
	}
	d.Add(now, "r", 2*time.Second)
	expected(0, 0)
	for range minDurations {
		d.Add(now, "r", time.Second)
		d.Add(now, "other", 9*time.Second)
	}
	expected(time.Second, 3*time.Second)
	expected(durationWindow, 3*time.Second)
	for range minDurations {
		d.Add(now, "r", time.Second)
	}
	expected(durationWindow, 1500*time.Millisecond)
	expected(2*durationWindow, 0)
}
