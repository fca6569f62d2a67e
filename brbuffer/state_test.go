package brbuffer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// step is an event of a replay, and what State must decide.
type step struct {
	at      time.Duration // since the start
	reserve ID            // holder that reserves bytes; 0 for none
	bytes   int
	verdict Verdict
	evicted []ID
	// Others of the holder with that ID, after the reservation.
	progress, complete, release ID
}

const second = time.Second

// TestReservations guards against a crowd of unfinished requests that keeps its memory while
// others need it, against the eviction of a request that is at work or makes progress, and
// against room that is counted as free before it is released.
func TestReservations(t *testing.T) {
	const kib, limit = 1 << 10, 800 << 10 // 700 KiB for large ones
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"the largest without progress gives way", []step{
			{reserve: 1, bytes: 300 * kib}, {reserve: 2, bytes: 390 * kib},
			{at: second, reserve: 3, bytes: 100 * kib, verdict: Pending, evicted: []ID{2}},
			{at: second, reserve: 2, bytes: 1, verdict: Gone, release: 2},
			{at: second, reserve: 3, bytes: 100 * kib},
		}},
		{"a crowd that has just begun doesn't give way", []step{
			{reserve: 1, bytes: 300 * kib}, {reserve: 2, bytes: 400 * kib},
			{at: second / 10, reserve: 3, bytes: 100 * kib, verdict: Refused},
		}},
		{"usual requests have room beside large ones", []step{
			{reserve: 1, bytes: 700 * kib}, {reserve: 2, bytes: 17 * kib, verdict: Refused},
			{reserve: 3, bytes: 16 * kib},
		}},
		{"a byte now and then keeps no memory", []step{
			{reserve: 1, bytes: 600 * kib}, {reserve: 2, bytes: 90 * kib},
			{at: 3 * second, progress: 1},
			{at: 3 * second, reserve: 2, bytes: kib, progress: 2},
			{at: 3 * second, reserve: 3, bytes: 500 * kib, verdict: Pending, evicted: []ID{1}},
		}},
		{"the slow one that is largest itself is refused", []step{
			{reserve: 1, bytes: 100 * kib}, {reserve: 2, bytes: 600 * kib},
			{at: 3 * second, progress: 1},
			{at: 3 * second, reserve: 2, bytes: 1, verdict: Refused},
		}},
		{"a complete one doesn't give way, and its memory counts until it is released", []step{
			{reserve: 1, bytes: 700 * kib, complete: 1},
			{at: 9 * second, reserve: 2, bytes: 100 * kib, verdict: Refused, release: 1},
			{at: 9 * second, reserve: 2, bytes: 100 * kib},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, start := NewState(limit), time.Unix(1e9, 0)
			for i, x := range test.steps {
				now := start.Add(x.at)
				if x.reserve != 0 {
					verdict, evicted := s.Reserve(now, x.reserve, x.bytes)
					if diff := cmp.Diff(x.evicted, evicted); verdict != x.verdict || diff != "" {
						t.Fatalf("step %d: verdict %d, want %d; evicted (-want +got):\n%s", i, verdict, x.verdict, diff)
					}
				}
				s.Progress(now, x.progress)
				s.Complete(x.complete)
				s.Release(x.release)
			}
		})
	}
}
