package brpath

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var t0 = time.Unix(1_000_000, 0)

func newState(relays ...Relay) *State {
	s := New(Config{FailureDomain: "z1", Random: func() float64 { return 0 }})
	s.SetRelays(relays)
	return s
}

// lose makes the path to an endpoint lost.
func lose(s *State, now time.Time, address string) Change {
	s.DirectFailed(now, address)
	return s.RelayConnected(now, address)
}

// TestPartition guards against taking a dead endpoint for a lost path, one lost path for a
// partition, and against dialing directly first while partitioned or through relays after
// the path is back.
func TestPartition(t *testing.T) {
	s := newState(Relay{Daemon: "r"})
	type step struct {
		what   string
		change Change
		direct string // whether a, b, c and d are dialed directly
	}
	var got []step
	record := func(what string, c Change) {
		direct := fmt.Sprint(s.Direct("a"), s.Direct("b"), s.Direct("c"), s.Direct("d"))
		got = append(got, step{what, c, direct})
	}
	s.DirectFailed(t0, "a")
	s.EndpointUnreachable("a")
	record("endpoint a is dead", NoChange)
	record("a relay reaches it later", s.RelayConnected(t0, "a"))
	record("path to a lost", lose(s, t0, "a"))
	record("and to b", lose(s, t0, "b"))
	record("path to b again", lose(s, t0, "b"))
	record("path to b is back", s.DirectConnected(t0, "b"))
	record("path to a is back", s.DirectConnected(t0, "a"))
	record("path to a lost again", lose(s, t0, "a"))
	record("direct connection to c", s.DirectConnected(t0, "c"))
	record("path to b lost", lose(s, t0, "b"))
	record("path to c lost", lose(s, t0, "c"))
	s.Heard(t0.Add(1), "d")
	record("heard from d", NoChange)
	want := []step{
		{"endpoint a is dead", NoChange, "true true true true"},
		{"a relay reaches it later", NoChange, "true true true true"},
		{"path to a lost", PathLost, "false true true true"},
		{"and to b", Partitioned, "false false false false"},
		{"path to b again", NoChange, "false false false false"},
		{"path to b is back", Rejoined, "false true true true"},
		{"path to a is back", PathBack, "true true true true"},
		{"path to a lost again", PathLost, "false true true true"},
		{"direct connection to c", NoChange, "false true true true"},
		{"path to b lost", PathLost, "false false true true"},
		{"path to c lost", Partitioned, "false false false false"},
		{"heard from d", NoChange, "false false false true"},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(step{})); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestWithoutRelays guards against waiting for relays where there are none.
func TestWithoutRelays(t *testing.T) {
	s := newState()
	lose(s, t0, "a")
	lose(s, t0, "b")
	if !s.Direct("a") {
		t.Error("endpoint isn't dialed directly, want so without any relay")
	}
}

// TestTrials guards against trials of lost paths that come too often, or that leave out an
// endpoint.
func TestTrials(t *testing.T) {
	s := newState(Relay{Daemon: "r"})
	for i := range 3 {
		lose(s, t0.Add(time.Duration(i)), fmt.Sprint("e", i))
	}
	got := map[string]int{}
	total := 0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		if a, due := s.NextTrial(t0.Add(at)); due {
			got[a]++
			total++
		}
	}
	if total < 9 || total > 12 {
		t.Errorf("%d trials in 10 s, want about one a second", total)
	}
	if len(got) != 3 {
		t.Errorf("trials %v, want some of each endpoint", got)
	}
	for i := range 3 {
		s.DirectConnected(t0, fmt.Sprint("e", i))
	}
	if a, due := s.NextTrial(t0.Add(time.Minute)); due {
		t.Errorf("trial of %s after the paths are back, want none", a)
	}
}

// TestRelayChoice guards against sending all connections through one relay, through a
// remote one where a near one has room, and through one that can't relay.
func TestRelayChoice(t *testing.T) {
	s := newState(Relay{Daemon: "far", FailureDomain: "z2"}, Relay{Daemon: "near", FailureDomain: "z1"})
	choose := func(tried ...string) string {
		r, _ := s.Relay(t0, tried)
		return r.Daemon
	}
	used := map[string]int{}
	for range 20 {
		r := choose()
		s.TunnelOpened(r)
		used[r]++
	}
	if diff := cmp.Diff(map[string]int{"near": 12, "far": 8}, used); diff != "" {
		t.Errorf("relays of 20 connections (-want +got):\n%s", diff)
	}
	for range used["near"] {
		s.TunnelClosed("near")
	}
	if got := []string{choose(), choose("near"), choose("near", "far")}; !cmp.Equal(got, []string{"near", "far", ""}) {
		t.Errorf("relays %q, want near, far and none", got)
	}
	s.RelayFailed(t0, "near")
	if got := choose(); got != "far" {
		t.Errorf("relay %q while the near one can't relay, want far", got)
	}
	if r, _ := s.Relay(t0.Add(relayPause), nil); r.Daemon != "near" {
		t.Errorf("relay %q after the pause of the near one, want near", r.Daemon)
	}
}

// TestLostSince guards against blaming an endpoint for the end of a connection that was
// lost together with the path, and against never blaming it again once the path is back.
func TestLostSince(t *testing.T) {
	s := newState(Relay{Daemon: "d", FailureDomain: "z1"})
	lose := func(address string, at time.Time) {
		s.DirectFailed(at, address)
		s.RelayConnected(at, address)
	}
	at := func(seconds int) time.Time { return t0.Add(time.Duration(seconds) * time.Second) }
	want := func(when, address string, since time.Time, want bool) {
		t.Helper()
		if got := s.LostSince(address, since); got != want {
			t.Errorf("%s: LostSince(%s) = %v, want %v", when, address, got, want)
		}
	}
	want("at first", "a", at(0), false)
	lose("a", at(1))
	want("path to a lost", "a", at(0), true)
	want("path to a lost", "b", at(0), false)
	lose("b", at(2))
	want("partitioned", "c", at(0), true)
	s.Heard(at(3), "c")
	want("partitioned, c heard", "c", at(0), false)
	s.DirectConnected(at(4), "a")
	want("path back, connection opened before", "a", at(3), true)
	want("path back, connection opened since", "a", at(5), false)
}

// TestPartitionOutlastsEndpoints guards against a daemon that stays partitioned for ever
// because the endpoints whose paths were lost are gone, so that none is dialed directly.
func TestPartitionOutlastsEndpoints(t *testing.T) {
	s := newState(Relay{Daemon: "r"})
	lose(s, t0, "a")
	lose(s, t0, "b")
	s.Forget("a")
	s.Forget("b")
	s.RelayConnected(t0, "c")
	if a, due := s.NextTrial(t0.Add(time.Second)); !due || a != "c" {
		t.Errorf("trial of %q due: %v, want one of c", a, due)
	}
	if c := s.DirectConnected(t0, "c"); c != Rejoined || s.Partitioned() {
		t.Errorf("change %v, partitioned %v after a direct connection, want rejoined and false", c, s.Partitioned())
	}
}
