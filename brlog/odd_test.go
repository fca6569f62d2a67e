package brlog

import (
	"math"
	"testing"
	"time"

	"bramleyroute/brwire"
)

// oddMessages are messages that no replica can have sent.
func oddMessages() map[string]Message {
	append1 := func(change func(*Message)) Message {
		m := Message{Kind: MessageAppend, From: "b", To: "a", Term: 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 5, Kind: EntryNoop}}}
		change(&m)
		return m
	}
	snapshot := func(c *Chunk) Message {
		return Message{Kind: MessageSnapshot, From: "b", To: "a", Term: 5, Index: 9, LogTerm: 5, Chunk: c}
	}
	return map[string]Message{
		"unknown kind":                append1(func(m *Message) { m.Kind = 99 }),
		"no kind":                     append1(func(m *Message) { m.Kind = 0 }),
		"gap":                         append1(func(m *Message) { m.Entries[0].Index = 7 }),
		"entry 0":                     append1(func(m *Message) { m.Entries[0].Index = 0 }),
		"entry far ahead":             append1(func(m *Message) { m.Entries[0].Index = math.MaxUint64 }),
		"index too large":             append1(func(m *Message) { m.Index = math.MaxUint64 }),
		"term too large":              append1(func(m *Message) { m.Term = math.MaxUint64 }),
		"unknown kind of an entry":    append1(func(m *Message) { m.Entries[0].Kind = 99 }),
		"membership not decodable":    append1(func(m *Message) { m.Entries[0].Kind, m.Entries[0].Data = EntryMembership, []byte{0xff} }),
		"snapshot without a chunk":    snapshot(nil),
		"chunk larger than the total": snapshot(&Chunk{Total: 1, Data: []byte("xx")}),
		"chunk beyond the total":      snapshot(&Chunk{Offset: math.MaxUint64, Total: 3, Data: []byte("x")}),
	}
}

// newFollower returns the State of a replica with two others, and newLeader that of one
// that leads a group with a learner.
func newFollower(t testing.TB) *State {
	t.Helper()
	s, err := New(testConfig("a", Bootstrap("a", testMembers())))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newLeader(t testing.TB) *State {
	t.Helper()
	s, err := New(testConfig("a", Bootstrap("a", testMembers()[:1])))
	if err != nil {
		t.Fatal(err)
	}
	now := s.cfg.Now
	step := func(ev Event) {
		for pending := []Event{ev}; len(pending) > 0; pending = pending[1:] {
			for _, e := range s.Step(now, pending[0]) {
				if w, ok := e.(Write); ok {
					pending = append(pending, Synced{w.Seq})
				}
			}
		}
	}
	for range 100 {
		now = now.Add(s.cfg.HeartbeatInterval)
		step(Tick{})
	}
	if s.role != leader {
		t.Fatal("the only voter doesn't lead")
	}
	step(ChangeMember{Add: Member{ID: "b", Address: "b:1"}})
	return s
}

// TestOddMessages guards against a message of a faulty daemon that ends a replica.
func TestOddMessages(t *testing.T) {
	for name, m := range oddMessages() {
		if m.Check() == nil {
			t.Errorf("%s: message passed the check", name)
		}
	}
}

// FuzzReceive guards against a message that passes the check and ends a replica that
// follows, or one that leads.
func FuzzReceive(f *testing.F) {
	add := func(m Message) {
		b, err := brwire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	for _, m := range oddMessages() {
		add(m)
	}
	for kind := MessagePreVote; kind <= MessageRemoved; kind++ {
		add(Message{Kind: kind, From: "b", To: "a", Term: 5, Index: 3, LogTerm: 1, Commit: 9, Chunk: &Chunk{Offset: 1, Total: 1}})
	}
	add(Message{Kind: MessageSnapshot, From: "b", To: "a", Term: 5, Index: 9, LogTerm: 5, Chunk: &Chunk{Total: 1, Data: []byte("x")}})
	add(Message{Kind: MessageAppend, From: "b", To: "a", Term: 5, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 5, Kind: EntryNoop}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := brwire.Decode[Message](data)
		if err != nil || m.Check() != nil {
			return
		}
		for _, s := range []*State{newFollower(t), newLeader(t)} {
			if s.role == leader && m.fromLeader() && m.Term == s.hardState.Term {
				continue // a second leader of a term: the State ends the replica on purpose
			}
			m.To = s.id
			now := s.now
			for i := range 3 {
				s.Step(s.cfg.Now.Add(now+time.Duration(i+1)*time.Millisecond), Receive{m})
			}
			for i := range 20 {
				s.Step(s.cfg.Now.Add(now+time.Duration(i+1)*100*time.Millisecond), Tick{})
			}
		}
	})
}
