package brlog

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func testMembers() []Member {
	return []Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
}

func testConfig(id ID, st StoredState) Config {
	return Config{ID: id, Stored: st, Now: time.Unix(1, 0), Random: func() uint64 { return 7 }}
}

// TestLostDiskCannotVote guards against a replica that rejoins as a voter after it
// lost its disk, and against a replica that starts on the disk of another one.
func TestLostDiskCannotVote(t *testing.T) {
	if _, err := New(testConfig("a", StoredState{})); !errors.Is(err, ErrEmptyDisk) {
		t.Errorf("New with an empty disk returned %v, want ErrEmptyDisk", err)
	}
	if _, err := New(testConfig("b", Bootstrap("a", testMembers()))); err == nil {
		t.Error("New for replica b on the disk of replica a returned no error, want an error")
	}
	cfg := testConfig("a", StoredState{})
	cfg.Joining = true
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	now := cfg.Now.Add(time.Hour)
	for _, e := range s.Step(now, Receive{Message{Kind: MessageVote, From: "b", To: "a", Term: 9, Index: 9, LogTerm: 9}}) {
		if _, ok := e.(LeaderChanged); !ok {
			t.Errorf("replica with an empty disk replied to a vote request with %v, want no reply", e)
		}
	}
	got := s.Step(now, Receive{Message{Kind: MessageHeartbeat, From: "b", To: "a", Term: 9, Voter: true}})
	if _, ok := got[0].(Halt); !ok {
		t.Errorf("voter with an empty disk returned effects %v, want Halt first", got)
	}
}

// TestMembershipRules guards against a removed ID that is added again, and against
// a second change that starts before the first one is committed.
func TestMembershipRules(t *testing.T) {
	s, err := New(testConfig("a", Bootstrap("a", testMembers()[:1])))
	if err != nil {
		t.Fatal(err)
	}
	now := s.cfg.Now
	step := func(ev Event) (reply Effect) {
		for pending := []Event{ev}; len(pending) > 0; pending = pending[1:] {
			for _, e := range s.Step(now, pending[0]) {
				switch e := e.(type) {
				case Write:
					pending = append(pending, Synced{e.Seq})
				case Accepted, Refused:
					reply = e
				}
			}
		}
		return reply
	}
	for s.role != leader {
		now = now.Add(50 * time.Millisecond)
		step(Tick{})
	}
	remove := ChangeMember{Remove: "x"}
	for i, c := range []struct {
		event ChangeMember
		want  Reason // 0 if accepted
	}{
		{ChangeMember{Add: Member{ID: "x"}}, 0},
		{ChangeMember{Add: Member{ID: "x"}}, ChangeAlreadyMade},
		{remove, 0},
		{remove, ChangeAlreadyMade},
		{ChangeMember{Add: Member{ID: "x"}}, Invalid},
		{ChangeMember{Remove: "a"}, Invalid},
	} {
		got := step(c.event)
		if r, _ := got.(Refused); got == nil || r.Reason != c.want {
			t.Errorf("change %d: %+v, want reason %v", i, got, c.want)
		}
	}
	s.membershipIndex = s.commit + 1
	if got, _ := step(ChangeMember{Add: Member{ID: "y"}}).(Refused); got.Reason != Busy {
		t.Errorf("change during an uncommitted change returned %v, want reason Busy", got)
	}
}

// A group of one replica commits entries as soon as its own disk has synced them.
func Example() {
	start := time.Unix(0, 0)
	s, err := New(Config{
		ID: "a", Stored: Bootstrap("a", []Member{{ID: "a"}}),
		Now: start, Random: func() uint64 { return 0 },
	})
	if err != nil {
		panic(err)
	}
	pending := []Event{}
	for i := range 12 {
		pending = append(pending, Tick{})
		if i == 9 {
			pending = append(pending, Propose{[][]byte{[]byte("x"), []byte("y")}})
		}
		start = start.Add(DefaultHeartbeatInterval)
		for ; len(pending) > 0; pending = pending[1:] {
			for _, e := range s.Step(start, pending[0]) {
				switch e := e.(type) {
				case Write: // a real runtime syncs the write to disk first
					fmt.Println("write", e.Seq, "with", len(e.Entries), "entries")
					pending = append(pending, Synced{e.Seq})
				case Apply:
					for _, x := range e.Entries {
						if x.Kind == EntryData {
							fmt.Printf("apply %d %s\n", x.Index, x.Data)
						}
					}
				}
			}
		}
	}
	// Output:
	// write 1 with 0 entries
	// write 2 with 1 entries
	// write 3 with 2 entries
	// apply 3 x
	// apply 4 y
}
