package brpolicy

import (
	"math"
	"testing"
	"time"
)

// TestOddWeights guards against weights whose sum overflows, so that a request goes to a
// service with the weight 0, and against sums that a float64 can't hold exactly.
func TestOddWeights(t *testing.T) {
	for _, weights := range [][]int{
		{0, math.MaxInt, math.MaxInt}, {math.MaxInt}, {1 << 62}, {0, 1 << 62, 1 << 62}, {maxWeight + 1},
	} {
		r := Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second}
		for _, w := range weights {
			r.Targets = append(r.Targets, Target{Service: "s", Weight: w})
		}
		p := Policy{Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{r}}
		if p.Check() == nil {
			t.Errorf("weights %d are accepted", weights)
		}
	}
	r := Route{Targets: []Target{{"zero", 0}, {"a", maxWeight}, {"b", maxWeight}}}
	for _, random := range []float64{0, 0.5, math.Nextafter(1, 0)} {
		if s := r.PickService(random); s == "zero" {
			t.Errorf("random value %v: service %q with the weight 0", random, s)
		}
	}
}
