package brquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// longestFirstPause is the first pause of the daemon that waits longest.
const longestFirstPause = firstPause + pauseSpread

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// withParts returns a request with the given parts in its prompt, of which each is a new
// one to the quarantine.
func withParts(parts ...string) Request { return Request{Parts: parts} }

func part(id string) Subject { return Subject{KindPart, id} }

// held returns the part by which a request with the given parts is held back, and
// whether the pause is longer than the first one.
func held(s *State, now time.Duration, parts ...string) string {
	subject, pause, _ := s.Check(at(now), withParts(parts...))
	if pause > longestFirstPause {
		return subject.ID + " for long"
	}
	return subject.ID
}

// lose records the loss of the starts under parts at the given time.
func lose(s *State, now time.Duration, parts []string, starts ...string) (changes []Change) {
	for _, start := range starts {
		changes = append(changes, s.RunLost(at(now), withParts(parts...), start)...)
	}
	return changes
}

// TestFatalPartIsFound guards against a part that ends endpoints and is never held back,
// and against holding back the parts beside it.
func TestFatalPartIsFound(t *testing.T) {
	s := New("d")
	if got := s.RunProgressed(at(0), withParts("system")); got != nil {
		t.Errorf("changes %v of a success, want none", got)
	}
	lose(s, time.Second, []string{"system", "document1", "fatal"}, "a", "a", "b")
	if got := held(s, time.Second, "fatal"); got != "" {
		t.Errorf("held back by %q after two lost starts, want none", got)
	}
	s.RunProgressed(at(time.Second), withParts("system", "document1"))
	changes := lose(s, 2*time.Second, []string{"system", "document2", "fatal"}, "c")
	want := []Change{
		{Subject: part("document2"), Evidence: Evidence{Lost: []string{"c"}}},
		{Subject: part("fatal"), Evidence: Evidence{Lost: []string{"a", "b", "c"}}, Quarantined: true},
	}
	if diff := cmp.Diff(want, changes); diff != "" {
		t.Errorf("changes (-want +got): %s", diff)
	}
	for _, test := range []struct {
		parts []string
		want  string
	}{
		{[]string{"system", "document1", "fatal"}, "fatal"},
		{[]string{"fatal"}, "fatal"},
		{[]string{"system", "document1"}, ""},
		{[]string{"system", "document2"}, ""},
		{nil, ""},
	} {
		if got := held(s, 2*time.Second, test.parts...); got != test.want {
			t.Errorf("request with %v is held back by %q, want %q", test.parts, got, test.want)
		}
	}
}

// TestTrials guards against a part that is held back for good though it was blamed by
// chance, and against trials that end one endpoint after the other.
func TestTrials(t *testing.T) {
	s := New("d")
	parts := []string{"p"}
	lose(s, 0, parts, "a", "b", "c")
	const second = 30 * time.Second // after the first pause
	if got := held(s, 4*time.Second, "p"); got != "p" {
		t.Errorf("held back by %q in the first pause, want p", got)
	}
	if got := held(s, second, "p"); got != "" {
		t.Errorf("held back by %q after the first pause, want none", got)
	}
	trials, begun := s.Begin(at(second), withParts(parts...), "x")
	if diff := cmp.Diff([]Subject{part("p")}, trials); diff != "" {
		t.Errorf("trials (-want +got): %s", diff)
	}
	if got := held(s, second, "p"); got != "p for long" {
		t.Errorf("held back by %q beside a trial, want p", got)
	}
	other := New("other") // hears of the trial before its end
	for _, c := range begun {
		other.Merge(at(second), c.Subject, c.Evidence, 0)
	}
	if got := held(other, second+longestFirstPause, "p"); got != "p" && got != "p for long" {
		t.Errorf("held back by %q at another daemon during a trial, want p", got)
	}
	beside, _ := s.Begin(at(second), withParts(parts...), "y")
	s.End(at(second), beside, "y", false) // a request that was placed before the trial ends beside it
	if got := held(s, second, "p"); got != "p for long" {
		t.Errorf("held back by %q beside a trial after the end of another request, want p", got)
	}
	s.End(at(second), trials, "x", false)
	if got := held(s, second, "p"); got != "" {
		t.Errorf("held back by %q after a trial without a result, want none", got)
	}
	trials, _ = s.Begin(at(second), withParts(parts...), "d")
	lose(s, second, parts, "d")
	s.End(at(second), trials, "d", true)
	if got := held(s, second, "p"); got != "p for long" {
		t.Errorf("held back by %q after a trial that failed, want p for long", got)
	}
	changes := s.RunProgressed(at(200*time.Second), withParts(parts...))
	starts := []string{"a", "b", "c", "d", "x"}
	want := []Change{{Subject: part("p"), Evidence: Evidence{Lost: starts, Cleared: starts}, Released: true}}
	if diff := cmp.Diff(want, changes); diff != "" {
		t.Errorf("changes of a success (-want +got): %s", diff)
	}
	if got := held(s, 200*time.Second, "p"); got != "" {
		t.Errorf("held back by %q after a success, want none", got)
	}
}

// TestPauses guards against pauses that end at once at all daemons, and against one that
// outlasts the evidence.
func TestPauses(t *testing.T) {
	first := map[time.Duration]bool{}
	for i := range 20 {
		s := New(fmt.Sprint("d", i))
		pause := s.pause(part("p"), minLostPart)
		first[pause] = true
		if pause < firstPause || pause > longestFirstPause {
			t.Errorf("first pause %v, want %v to %v", pause, firstPause, longestFirstPause)
		}
		if longest := s.pause(part("p"), maxStarts); longest < maxPause || longest >= quarantineLifetime {
			t.Errorf("longest pause %v, want %v to %v", longest, maxPause, quarantineLifetime)
		}
	}
	if len(first) < 19 {
		t.Errorf("%d different pauses of 20 daemons, want nearly all", len(first))
	}
}

// TestDaemonsAgree guards against daemons that hold different evidence for good, and
// against one that keeps apart what each of them has seen.
func TestDaemonsAgree(t *testing.T) {
	parts := []string{"p"}
	a, b, c := New("a"), New("b"), New("c")
	fromA, fromB := lose(a, 0, parts, "1", "2"), lose(b, 0, parts, "2", "3")
	merge := func(s *State, changes []Change) (out []Change) {
		for _, ch := range changes {
			out = append(out, s.Merge(at(time.Second), ch.Subject, ch.Evidence, time.Second)...)
		}
		return out
	}
	merge(c, fromB)
	merge(c, fromA)
	merge(a, fromB)
	merge(b, fromA)
	for _, s := range []*State{a, b, c} {
		if diff := cmp.Diff(Evidence{Lost: []string{"1", "2", "3"}}, s.evidence(part("p"))); diff != "" {
			t.Errorf("daemon %s (-want +got): %s", s.daemon, diff)
		}
		if got := held(s, time.Second, "p"); got != "p" {
			t.Errorf("daemon %s holds back by %q, want p", s.daemon, got)
		}
	}
	cleared := b.RunProgressed(at(2*time.Second), withParts(parts...))
	later := lose(a, 2*time.Second, parts, "4")
	merge(a, cleared)
	merge(b, later)
	for _, s := range []*State{a, b} {
		if got := s.evidence(part("p")).Open(); got != 1 && s == a || got > 1 {
			t.Errorf("daemon %s has %d open starts, want the one after the success at most", s.daemon, got)
		}
	}
}

// TestRecentSuccessClears guards against blaming a part that another daemon has just seen
// succeed.
func TestRecentSuccessClears(t *testing.T) {
	s := New("d")
	s.RunProgressed(at(0), withParts("p"))
	one := Evidence{Lost: []string{"1"}}
	if got := s.Merge(at(time.Second), part("p"), one, 0); len(got) != 1 || got[0].Evidence.Open() != 1 {
		t.Errorf("changes %+v of one lost start, want it open: it has no consequence", got)
	}
	got := s.Merge(at(time.Second), part("p"), one.WithLost("2"), 0)
	if len(got) != 1 || got[0].Evidence.Open() != 0 {
		t.Errorf("changes %+v of two lost starts, want them cleared", got)
	}
	if got := s.RunLost(at(recentTime), withParts("p"), "3"); got != nil {
		t.Errorf("changes %+v of a loss soon after a success, want none", got)
	}
	if got := s.RunLost(at(3*recentTime), withParts("p"), "4"); len(got) != 1 {
		t.Errorf("changes %+v of a loss long after a success, want one", got)
	}
}

// TestEvidenceIsBounded guards against callers that make a daemon keep any number of
// parts or of starts.
func TestEvidenceIsBounded(t *testing.T) {
	s := New("d")
	lose(s, 0, []string{"fatal"}, "a", "b", "c")
	for i := range 2 * maxSubjects {
		s.RunLost(at(time.Duration(i)), withParts(fmt.Sprint("p", i)), "a")
	}
	if n := len(s.suspects); n != maxSubjects {
		t.Errorf("%d parts, want %d", n, maxSubjects)
	}
	if got := held(s, 0, "fatal"); got != "fatal" {
		t.Errorf("held back by %q, want the quarantined part not to be forgotten", got)
	}
	if e := s.evidence(part(fmt.Sprint("p", 2*maxSubjects-1))); e.Open() != 1 {
		t.Errorf("evidence %v of the newest part, want it kept", e)
	}
	for i := range 2 * maxStarts {
		s.RunLost(at(0), withParts("fatal"), fmt.Sprint(i))
	}
	if n := len(s.evidence(part("fatal")).Lost); n != maxStarts {
		t.Errorf("%d starts, want %d", n, maxStarts)
	}
	s.Forget(part("fatal"))
	if got := held(s, 0, "fatal"); got != "" {
		t.Errorf("held back by %q whose evidence has lapsed, want none", got)
	}
	for i := range 2 * maxRecent {
		s.RunProgressed(at(0), withParts(fmt.Sprint("q", i)))
	}
	if n := len(s.succeeded.current); n != maxRecent {
		t.Errorf("%d recent parts, want %d", n, maxRecent)
	}
}
