package brsoak

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPlan guards against a seed that yields different plans in two runs, and
// against a plan that loses more disks than the fleet tolerates.
func TestPlan(t *testing.T) {
	size := Size{Daemons: 5, Replicas: 3, Endpoints: 6}
	seen := map[FaultKind]bool{}
	for seed := range uint64(200) {
		plan := Plan(seed, size)
		if diff := cmp.Diff(plan, Plan(seed, size)); diff != "" {
			t.Fatalf("seed %d: two plans of one seed differ (-first +second):\n%s", seed, diff)
		}
		lost := 0
		for i, f := range plan {
			seen[f.Kind] = true
			if f.Kind == LoseDisk {
				lost++
			}
			if f.Kind == LoseDisk && f.Target >= size.Replicas {
				t.Errorf("seed %d: daemon %d loses its disk but holds no replica", seed, f.Target)
			}
			if i > 0 && f.At < plan[i-1].At {
				t.Errorf("seed %d: fault %v follows the later fault %v", seed, f, plan[i-1])
			}
		}
		if lost > 1 {
			t.Errorf("seed %d: %d disks are lost, want at most 1", seed, lost)
		}
	}
	for k := range numFaultKinds {
		if !seen[k] {
			t.Error(fmt.Sprint(k), "does not occur in any plan")
		}
	}
}
