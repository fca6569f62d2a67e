package brcore

import (
	"fmt"
	"testing"

	"bramleyroute/brcontrol"

	"github.com/google/go-cmp/cmp"
)

// evacuation returns the command of an order or a withdrawal for a domain, which was read
// at the index seen.
func evacuation(domain string, withdraw bool, seen uint64) Command {
	return Command{Format: evacuationFormat, Evacuation: &EvacuationChange{Domain: domain, Withdraw: withdraw, Seen: seen}}
}

// TestEvacuationOrders guards against an order that a repetition, a delayed copy or another
// domain's order undoes, and against a proper one that is refused.
func TestEvacuationOrders(t *testing.T) {
	const order, withdraw = false, true
	in := func(domain string, index uint64) Evacuation { return Evacuation{Domain: domain, Index: index} }
	out := func(domain string, index uint64) Evacuation {
		return Evacuation{Domain: domain, Withdrawn: true, Index: index}
	}
	for _, test := range []struct {
		name     string
		commands []Command // with the indexes 1, 2 and so on
		verdicts []Verdict
		want     []Evacuation
	}{
		{"order", []Command{evacuation("a", order, 0)}, []Verdict{Done}, []Evacuation{in("a", 1)}},
		{"order at two daemons", []Command{evacuation("a", order, 0), evacuation("a", order, 0)}, []Verdict{Done, NoChange}, []Evacuation{in("a", 1)}},
		{"withdrawal without an order", []Command{evacuation("a", withdraw, 0)}, []Verdict{NoChange}, []Evacuation{}},
		{"withdrawal, repeated", []Command{evacuation("a", order, 0), evacuation("a", withdraw, 1), evacuation("a", withdraw, 1)}, []Verdict{Done, Done, NoChange}, []Evacuation{out("a", 2)}},
		{"delayed copy of an order after its withdrawal", []Command{evacuation("a", order, 0), evacuation("a", withdraw, 1), evacuation("a", order, 0)}, []Verdict{Done, Done, Conflict}, []Evacuation{out("a", 2)}},
		{"delayed copy of a withdrawal after the next order", []Command{evacuation("a", order, 0), evacuation("a", withdraw, 1), evacuation("a", order, 2), evacuation("a", withdraw, 1)}, []Verdict{Done, Done, Done, Conflict}, []Evacuation{in("a", 3)}},
		{"two domains", []Command{evacuation("b", order, 0), evacuation("a", order, 0), evacuation("b", withdraw, 1)}, []Verdict{Done, Done, Done}, []Evacuation{in("a", 2), out("b", 3)}},
	} {
		var s, restored State
		var got []Verdict
		for i, c := range test.commands {
			got = append(got, apply(t, &s, uint64(i)+1, c))
		}
		data, err := s.Snapshot()
		if err == nil {
			err = restored.Restore(data)
		}
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(test.verdicts, got); diff != "" {
			t.Errorf("%s: verdicts:\n%s", test.name, diff)
		}
		if diff := cmp.Diff(test.want, restored.sortedEvacuations()); diff != "" {
			t.Errorf("%s: evacuations of the restored state:\n%s", test.name, diff)
		}
	}
}

// TestWithdrawnEvacuationsAreBounded guards against a state that grows with each name that
// an operator has ever sent, and against an evacuation in force that is forgotten.
func TestWithdrawnEvacuationsAreBounded(t *testing.T) {
	var s State
	apply(t, &s, 1, evacuation("kept", false, 0))
	index := uint64(1)
	for i := range maxWithdrawn + 10 {
		domain := fmt.Sprint("z", i)
		apply(t, &s, index+1, evacuation(domain, false, 0))
		apply(t, &s, index+2, evacuation(domain, true, index+1))
		index += 2
	}
	if n := len(s.evacuations); n != maxWithdrawn+1 || !s.evacuations["kept"].evacuated() || s.evacuations["z9"].Index != 0 {
		t.Errorf("%d evacuations, want %d, with that in force and without the oldest", n, maxWithdrawn+1)
	}
}

// TestPreferring guards against an order whose read and proposal both wait for a frozen
// replica, and against a replica that is left out.
func TestPreferring(t *testing.T) {
	peers := []brcontrol.Peer{{Address: "1"}, {Address: "2"}, {Address: "3"}}
	for address, want := range map[string]string{"1": "123", "3": "312", "gone": "123"} {
		got := ""
		for _, p := range preferring(peers, &address) {
			got += p.Address
		}
		if got != want {
			t.Errorf("after a reply of %s: order %s, want %s", address, got, want)
		}
	}
	if diff := cmp.Diff(peers, preferring(peers, nil)); diff != "" {
		t.Errorf("before the first reply:\n%s", diff)
	}
}
