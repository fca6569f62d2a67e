package brdrain

import (
	"fmt"
	"slices"
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
stream, resumable, all take 10s          a   a   -   -   -   -   -   -
stream, resumable, all take 1s           a   a   -   -   -   -   -   -
stream, not repeatable, no experience    -   -   -   -   -   -   -   -
stream, not repeatable, all take 0.1s    a   a   -   -   -   -   -   -
stream, not repeatable, few take 0.1s    a   a   -   -   -   -   -   -
stream, not repeatable, all take 6s      a   -   -   -   -   -   -   -
stream, not repeatable, all take 10s     -   -   -   -   -   -   -   -
stream, not repeatable, 1 in 20 10s      a   a   -   -   -   -   -   -
stream, not repeatable, 1 in 5 10s       -   -   -   -   -   -   -   -
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
		name       string
		repeatable bool
		deadline   time.Duration
		durations  []time.Duration // of earlier requests
	}{
		{"plain, deadline after 1s", true, time.Second, nil},
		{"not repeatable, deadline after 1s", false, time.Second, nil},
		{"stream, resumable, no experience", true, long, nil},
		{"stream, resumable, all take 10s", true, long, durations(0, 0, 10*time.Second)},
		{"stream, resumable, all take 1s", true, long, durations(100, time.Second, 0)},
		{"stream, not repeatable, no experience", false, long, nil},
		{"stream, not repeatable, all take 0.1s", false, long, durations(100, 100*time.Millisecond, 0)},
		{"stream, not repeatable, few take 0.1s", false, long, durations(100, 100*time.Millisecond, 0)[:20]},
		{"stream, not repeatable, all take 6s", false, long, durations(100, 6*time.Second, 0)},
		{"stream, not repeatable, all take 10s", false, long, durations(0, 0, 10*time.Second)},
		{"stream, not repeatable, 1 in 20 10s", false, long, durations(95, time.Second, 10*time.Second)},
		{"stream, not repeatable, 1 in 5 10s", false, long, durations(80, time.Second, 10*time.Second)},
	} {
		var experience Durations
		for _, d := range r.durations {
			experience.Add(start, "r", d)
		}
		fmt.Fprintf(&got, "\n%-40s", r.name)
		for _, m := range moments {
			now := start.Add(m)
			mark := "-"
			if p.Admits(now, Request{r.repeatable, now.Add(r.deadline), experience.ShareOver(now, "r", p.End.Sub(now))}) {
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

// durations returns 100 durations, n of them usual and the others long.
func durations(n int, usual, long time.Duration) []time.Duration {
	return append(slices.Repeat([]time.Duration{usual}, n), slices.Repeat([]time.Duration{long}, 100-n)...)
}

// TestAdmittedEndInTime guards against a request that is accepted in the second phase and may
// outlast the stop, whatever experience says: one of a route whose requests were all short may
// state a long output, or its endpoint may turn slow.
func TestAdmittedEndInTime(t *testing.T) {
	start := time.Unix(0, 0)
	for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second, time.Minute} {
		p := Plan{Steered: start.Add(2 * time.Second), End: start.Add(grace)}
		for at := 2 * time.Second; at < grace; at += 100 * time.Millisecond {
			for deadline := time.Duration(0); deadline < 2*grace; deadline += 100 * time.Millisecond {
				now := start.Add(at)
				for _, repeatable := range []bool{false, true} {
					r := Request{Repeatable: repeatable, Deadline: now.Add(deadline), Late: 0}
					if got, want := p.Admits(now, r), at+deadline <= grace; got != want {
						t.Fatalf("request at %v of a stop of %v, deadline after %v: accepted %v, want %v", at, grace, deadline, got, want)
					}
				}
			}
		}
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

// TestDurations guards against an estimate from too old durations, or from those of another
// route, and against certainty from a few.
func TestDurations(t *testing.T) {
	var d Durations
	now := time.Unix(1e9, 0)
	expect := func(after time.Duration, want float64) {
		t.Helper()
		now = now.Add(after)
		if got := d.ShareOver(now, "r", 1500*time.Millisecond); got != want {
			t.Errorf("share %v, want %v", got, want)
		}
	}
	expect(0, 0.5)
	d.Add(now, "r", time.Second)
	expect(0, 1./3)
	for range 17 {
		d.Add(now, "r", 2*time.Second)
		d.Add(now, "other", time.Minute)
	}
	expect(time.Second, 0.9)
	expect(durationWindow, 0.9)
	for range 20 {
		d.Add(now, "r", time.Second)
	}
	expect(0, 0.45)
	expect(durationWindow, 1./22)
	expect(2*durationWindow, 0.5)
}
