package brgossip

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMergeKeepsTheNewest guards against a late record that replaces a newer one. A
// delayed heartbeat would otherwise restore an endpoint that has announced that it
// is leaving.
func TestMergeKeepsTheNewest(t *testing.T) {
	now := time.Unix(100, 0)
	record := func(epoch, seq uint64, value string) Record {
		return Record{Key: "endpoint/e", Version: Version{Epoch: epoch, Seq: seq}, Value: []byte(value), Lifetime: 10 * time.Second}
	}
	for _, test := range []struct {
		name   string
		merged []Record
		want   string
	}{
		{"newer sequence", []Record{record(1, 1, "a"), record(1, 2, "b")}, "b"},
		{"older sequence", []Record{record(1, 2, "b"), record(1, 1, "a")}, "b"},
		{"same version", []Record{record(1, 1, "a"), record(1, 1, "b")}, "a"},
		{"newer epoch with lower sequence", []Record{record(1, 9, "a"), record(2, 1, "b")}, "b"},
		{"older epoch with higher sequence", []Record{record(2, 1, "b"), record(1, 9, "a")}, "b"},
	} {
		var s Store
		for _, r := range test.merged {
			s.Merge(now, r)
		}
		got, ok := s.Get(now, "endpoint/e")
		if !ok || string(got.Value) != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got.Value, test.want)
		}
	}
}

// TestExpireCountsTheSendersAge guards against records that never expire because
// each daemon that forwards them restarts their lifetime.
func TestExpireCountsTheSendersAge(t *testing.T) {
	now := time.Unix(100, 0)
	var s Store
	r := Record{Key: "load/d", Version: Version{Seq: 1}, Lifetime: 2 * time.Second, Age: 1500 * time.Millisecond}
	if !s.Merge(now, r) {
		t.Fatal("record within its lifetime was not stored")
	}
	if expired := s.Expire(now.Add(400 * time.Millisecond)); len(expired) != 0 {
		t.Fatalf("records expired before their lifetime: %v", expired)
	}
	expired := s.Expire(now.Add(500 * time.Millisecond))
	var keys []string
	for _, r := range expired {
		keys = append(keys, r.Key)
	}
	if diff := cmp.Diff([]string{"load/d"}, keys); diff != "" {
		t.Error(diff)
	}
	if s.Merge(now, Record{Key: "load/d", Version: Version{Seq: 2}, Lifetime: time.Second, Age: time.Second}) {
		t.Error("record past its lifetime was stored")
	}
}
