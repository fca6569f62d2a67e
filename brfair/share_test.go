package brfair

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestBeyond guards against shares that cut a customer while there is room for all, that hold
// an unused share back, or that spare the customer which takes the room of the others.
func TestBeyond(t *testing.T) {
	for _, test := range []struct {
		name   string
		usages map[string]Usage
		want   map[string]float64
	}{
		{"nobody", map[string]Usage{}, map[string]float64{}},
		{"room for all", map[string]Usage{"large": {600, 600, 1}, "small": {100, 100, 1}}, map[string]float64{}},
		{"one at six times its usual", map[string]Usage{"hot": {600, 300, 1}, "a": {100, 50, 1}, "b": {100, 50, 1}}, map[string]float64{"hot": 0.3}},
		{"weights cover it", map[string]Usage{"hot": {600, 300, 6}, "a": {100, 50, 1}, "b": {100, 50, 1}}, map[string]float64{}},
		{"unused shares are lent", map[string]Usage{"hot": {600, 300, 1}, "idle": {10, 10, 5}}, map[string]float64{}},
		{"all ask too much alike", map[string]Usage{"a": {200, 100, 1}, "b": {200, 100, 1}}, map[string]float64{}},
		{"new and not served yet", map[string]Usage{"a": {200, 200, 1}, "new": {200, 0, 1}}, map[string]float64{"a": 0.6}},
	} {
		if diff := cmp.Diff(test.want, Beyond(test.usages), cmpopts.EquateApprox(0, 0.001)); diff != "" {
			t.Errorf("%s: (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestLevelDividesWhatIsReceived guards against shares that add up to more or less than what
// is served.
func TestLevelDividesWhatIsReceived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usages := map[string]Usage{}
		received := 0.0
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 1, 8, rapid.ID).Draw(t, "customers") {
			u := Usage{Demand: rapid.Float64Range(0, 1000).Draw(t, "demand"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			u.Received = u.Demand * rapid.Float64Range(0, 1).Draw(t, "part")
			received += u.Received
			usages[name] = u
		}
		level := Level(usages)
		if math.IsInf(level, 1) {
			return
		}
		shares := 0.0
		for _, u := range usages {
			shares += min(u.Demand, level*u.Weight)
		}
		if math.Abs(shares-sharedPart*received) > 1e-6*(1+received) {
			t.Fatalf("shares at level %g add up to %g, want %g of the %g received", level, shares, sharedPart, received)
		}
	})
}
