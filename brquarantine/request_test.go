package brquarantine

import (
	"testing"
	"time"
)

// loseUnder records the loss of the given starts under a request.
func loseUnder(s *State, now time.Duration, r Request, starts ...string) {
	for _, start := range starts {
		s.RunLost(at(now), r, start)
	}
}

// heldBy returns what a request is held back for, or "".
func heldBy(s *State, now time.Duration, r Request) string {
	if subject, _, found := s.Check(at(now), r); found {
		return subject.String()
	}
	return ""
}

// TestFatalRequestIsFound guards against a request that ends endpoints and is never held
// back, with or without a prompt, because requests that share its parts succeed, and
// against holding back those.
func TestFatalRequestIsFound(t *testing.T) {
	for _, parts := range [][]string{nil, {"system", "document"}} {
		s := New("d")
		fatal, sound := Request{"fatal", parts}, Request{"sound", parts}
		loseUnder(s, 0, fatal, "a", "a")
		s.RunProgressed(at(0), sound)
		if got := heldBy(s, 0, fatal); got != "" {
			t.Errorf("parts %v: held back by %q after one lost start, want none", parts, got)
		}
		loseUnder(s, time.Second, fatal, "b")
		s.RunProgressed(at(time.Second), sound)
		if got := heldBy(s, time.Second, fatal); got != "request/fatal" {
			t.Errorf("parts %v: held back by %q, want request/fatal", parts, got)
		}
		if got := heldBy(s, time.Second, sound); got != "" {
			t.Errorf("parts %v: sound request held back by %q, want none", parts, got)
		}
	}
}

// TestBystandersArentBlamed guards against blaming the parts of requests that were lost
// beside a fatal one, whichever evidence a daemon gets first, and against never blaming a
// part again that stood beside one.
func TestBystandersArentBlamed(t *testing.T) {
	const bystander = "part/shared"
	fatal := Evidence{Lost: []string{"a", "b", "c"}}
	for _, test := range []struct {
		name   string
		events func(s *State)
		want   string
	}{
		{"fatal request first", func(s *State) {
			s.Merge(at(0), Subject{KindRequest, "fatal"}, fatal, 0)
			loseUnder(s, 0, Request{"1", []string{"shared"}}, "a", "b", "c")
		}, "request/1"},
		{"part first", func(s *State) {
			loseUnder(s, 0, withParts("shared"), "a", "b", "c")
			s.Merge(at(0), Subject{KindRequest, "fatal"}, fatal, 0)
		}, ""},
		{"other crashes", func(s *State) {
			s.Merge(at(0), Subject{KindRequest, "fatal"}, fatal, 0)
			loseUnder(s, 0, withParts("shared"), "a", "b", "d")
		}, bystander},
		{"crash after the fatal request is held back", func(s *State) {
			s.Merge(at(0), Subject{KindRequest, "fatal"}, fatal, 0)
			loseUnder(s, 0, withParts("shared"), "a", "b", "c", "d")
		}, bystander},
		{"fatal request cleared", func(s *State) {
			s.Merge(at(0), Subject{KindRequest, "fatal"}, fatal, 0)
			loseUnder(s, 0, withParts("shared"), "a", "b", "c")
			s.RunProgressed(at(0), Request{ID: "fatal"})
		}, bystander},
	} {
		s := New("d")
		test.events(s)
		if got := heldBy(s, time.Second, Request{"1", []string{"shared"}}); got != test.want {
			t.Errorf("%s: held back by %q, want %q", test.name, got, test.want)
		}
	}
}

// TestLifetimes guards against keeping each request that was lost once for as long as a
// quarantined one: nearly all of them never come again.
func TestLifetimes(t *testing.T) {
	request, one, two := Subject{KindRequest, "r"}, Evidence{Lost: []string{"a"}}, Evidence{Lost: []string{"a", "b"}}
	for _, test := range []struct {
		subject  Subject
		evidence Evidence
		want     time.Duration
	}{
		{request, one, suspicionLifetime},
		{request, two, quarantineLifetime},
		{request, two.WithCleared(), suspicionLifetime},
		{part("p"), two, quarantineLifetime},
	} {
		if got := Lifetime(test.subject, test.evidence); got != test.want {
			t.Errorf("%v with %v: %v, want %v", test.subject, test.evidence, got, test.want)
		}
	}
}

// TestSubjectText guards against a part whose ID reads like a request, and against a
// record of another release that crashes a daemon.
func TestSubjectText(t *testing.T) {
	for _, s := range []Subject{{KindRequest, "1"}, {KindPart, "request/1"}, {KindPart, "/"}} {
		if got, ok := ParseSubject(s.String()); got != s || !ok {
			t.Errorf("%q reads as %v, %v; want %v", s.String(), got, ok, s)
		}
	}
	for _, text := range []string{"", "request", "request/", "route/1"} {
		if got, ok := ParseSubject(text); ok {
			t.Errorf("%q reads as %v, want an error", text, got)
		}
	}
}

// TestFingerprint guards against taking two requests for one because their fields only
// join to the same text.
func TestFingerprint(t *testing.T) {
	seen := map[string]int{}
	for i, got := range []string{
		Fingerprint(nil, "a", "b"), Fingerprint(nil, "ab", ""), Fingerprint([]byte("b"), "a"), Fingerprint(nil, "ab"),
	} {
		if other, ok := seen[got]; ok {
			t.Errorf("requests %d and %d have the same fingerprint", other, i)
		}
		seen[got] = i
	}
}

func BenchmarkCheck(b *testing.B) {
	s := New("d")
	for _, id := range []string{"x", "y", "z"} {
		loseUnder(s, 0, Request{id, []string{"shared"}}, id+"1", id+"2", id+"3")
	}
	r := Request{"sound", []string{"system", "document", "shared"}}
	for b.Loop() {
		s.Check(at(0), r)
	}
}
