package brsoak

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPlan guards against a seed that doesn't replay, and against a plan that
// loses more disks than the fleet bears.
func TestPlan(t *testing.T) {
	size := Size{Daemons: 5, Replicas: 3, Endpoints: 6}
	seen := map[Act]bool{}
	for seed := range uint64(200) {
		plan := Plan(seed, size)
		if diff := cmp.Diff(plan, Plan(seed, size)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		lost := 0
		for i, f := range plan {
			seen[f.Act] = true
			if f.Act == LoseDisk {
				lost++
			}
			if f.Act == LoseDisk && f.Target >= size.Replicas {
				t.Errorf("seed %d: daemon %d has no disk to lose", seed, f.Target)
			}
			if i > 0 && f.At < plan[i-1].At {
				t.Errorf("seed %d: %v comes after %v", seed, f, plan[i-1])
			}
		}
		if lost > 1 {
			t.Errorf("seed %d: %d disks are lost", seed, lost)
		}
	}
	for a := range acts {
		if !seen[a] {
			t.Error(fmt.Sprint(a), "is in no plan")
		}
	}
}
