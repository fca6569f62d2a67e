package brroute

import (
	"testing"

	"bramleyroute/brwire"
)

// TestRejectionLimit guards against granting more requests than an endpoint has room for
// that says that it fails when it has to reject many: for the part of a prompt that may be
// in its cache, or as a trial. It also guards against a limit that outlasts its
// announcement, or one that is none and changes another.
func TestRejectionLimit(t *testing.T) {
	tb := newTable(brwire.KindEngine)
	r := Request{Tier: 1, PromptTokens: 640, OutputTokens: 60, MaxTokens: 60, PrefixHashes: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}}
	announce := func(sequence uint64, limit *int) State {
		a := report("e", "v1", sequence, 1500)
		a.RejectionLimit = limit
		for _, c := range tb.Report(at(0), a) {
			if c.State != Joined {
				return c.State
			}
		}
		return ""
	}
	granted := func() (n int) {
		var flights []*Flight
		for range 10 {
			if c, ok := tb.Choose(at(10), r); ok {
				flights = append(flights, tb.Grant(at(10), r, c))
			}
		}
		for _, f := range flights {
			tb.Return(at(10), f)
		}
		return len(flights)
	}
	announce(1, nil)
	if n := granted(); n <= 2 {
		t.Fatalf("%d requests granted, want more than 2: their prompts are the same", n)
	}
	one, negative := 1, -1
	if s := announce(2, &one); s != Limited {
		t.Errorf("state %q, want %q", s, Limited)
	}
	if n := granted(); n != 2 {
		t.Errorf("%d requests of 700 tokens granted, want 2: the endpoint has room for 1500 tokens", n)
	}
	if s := announce(3, &negative); s != InvalidLimit {
		t.Errorf("state %q after a negative limit, want %q", s, InvalidLimit)
	}
	if n := granted(); n != 2 {
		t.Errorf("%d requests granted after a negative limit, want 2", n)
	}
	grant(t, tb, at(10), r)
	grant(t, tb, at(10), r)
	e := tb.byID["e"]
	e.halfOpen, e.retryAt = true, at(0)
	if _, ok := tb.Choose(at(20), r); ok {
		t.Error("a request granted as a trial to an endpoint without room, want none")
	}
	e.halfOpen = false
	if s := announce(4, nil); s != Unlimited {
		t.Errorf("state %q, want %q", s, Unlimited)
	}
}
