package brload

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestArrivals guards against arrivals of one seed that differ between runs, which
// would make comparisons invalid, and against arrivals that deviate from the rate,
// the burst pattern or the shares of the mix.
func TestArrivals(t *testing.T) {
	pattern := BurstPattern{Period: time.Second, Length: 250 * time.Millisecond, Factor: 3}
	for _, c := range []struct {
		name   string
		plan   Plan
		count  float64 // expected arrivals
		bursts float64 // expected share in the first quarter of each second
	}{
		{"steady", Plan{Seed: 1, Rate: 100, Length: 40 * time.Second}, 4000, 0.25},
		{"bursts", Plan{Seed: 2, Rate: 100, Length: 40 * time.Second, Bursts: pattern}, 4000, 0.75},
		{"limit", Plan{Seed: 3, Rate: 100, Length: 40 * time.Second, Limit: 500}, 500, 0.25},
	} {
		c.plan.Mix = StandardMix()
		got := c.plan.Arrivals()
		if diff := cmp.Diff(got, c.plan.Arrivals()); diff != "" {
			t.Errorf("%s: two runs of one seed differ (-first +second):\n%s", c.name, diff)
		}
		n, burst, routes := float64(len(got)), 0.0, map[string]float64{}
		for i, a := range got {
			if a.At%time.Second < 250*time.Millisecond {
				burst++
			}
			if i > 0 && a.At < got[i-1].At {
				t.Errorf("%s: arrival %d is earlier than its predecessor", c.name, i)
			}
			routes[a.Route]++
		}
		// Five standard deviations of the Poisson and binomial distributions.
		if math.Abs(n-c.count) > 5*math.Sqrt(c.count) || math.Abs(burst/n-c.bursts) > 5*0.5/math.Sqrt(n) || math.Abs(routes["draft"]/n-0.58) > 5*0.5/math.Sqrt(n) {
			t.Errorf("%s: %v arrivals, %v of them in bursts, by route %v; outside of five standard deviations", c.name, n, burst, routes)
		}
	}
}

// TestPrompt guards against prompts that share less, or more, than the prefix of
// their template.
func TestPrompt(t *testing.T) {
	c := Class{Route: "draft", Prefix: 3}
	a, b, salted := prompt("", c, 1, 7, 2, 5), prompt("", c, 1, 8, 2, 5), prompt("x.", c, 1, 7, 2, 5)
	if a != "draft1.0 draft1.1 draft1.2 r7 r7 answer_tokens=5" || !strings.HasPrefix(b, "draft1.0 draft1.1 draft1.2 r8 ") || strings.HasPrefix(salted, "draft") {
		t.Errorf("prompts are %q, %q and, with a salt, %q", a, b, salted)
	}
}

func ExamplePlan_Arrivals() {
	for _, a := range (Plan{Seed: 1, Rate: 2, Length: 3 * time.Second, Limit: 3, Mix: StandardMix()}).Arrivals() {
		fmt.Println(a.At.Round(time.Millisecond), a.Route, a.Tier)
	}
	// Output:
	// 441ms draft 4
	// 977ms draft 4
	// 1.96s draft 4
}
