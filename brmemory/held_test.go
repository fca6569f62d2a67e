package brmemory

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestHeld guards against an estimate that forgets processed prompts while their requests run,
// or that never falls where one request always follows another.
func TestHeld(t *testing.T) {
	type report struct {
		active, pending int
		ended           uint64
	}
	for name, test := range map[string]struct {
		reports []report
		want    []int
	}{
		"processed prompts stay":    {[]report{{1, 9000, 0}, {1, 0, 0}, {2, 3000, 0}, {2, 0, 0}}, []int{9000, 9000, 12000, 12000}},
		"ended requests":            {[]report{{4, 8000, 0}, {2, 0, 2}, {1, 0, 2}, {0, 0, 4}}, []int{8000, 4000, 2000, 0}},
		"replaced requests":         {[]report{{2, 8000, 5}, {2, 0, 6}, {2, 0, 7}, {2, 0, 90}}, []int{8000, 4000, 2000, 400}},
		"prompts that weren't seen": {[]report{{3, 0, 0}, {1, 0, 9}}, []int{600, 200}},
		"counter of a new start":    {[]report{{2, 8000, 50}, {2, 0, 1}}, []int{8000, 8000}},
	} {
		t.Run(name, func(t *testing.T) {
			var held Held
			var got []int
			for _, r := range test.reports {
				held = held.After(r.active, r.pending, r.ended, 200)
				got = append(got, held.Prompt())
			}
			if d := cmp.Diff(test.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}
