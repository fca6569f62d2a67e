package brheader

import "testing"

// TestRateLimit guards against values that aren't numbers of requests per second, which
// must not lift a limit, stop all requests or crash the daemon.
func TestRateLimit(t *testing.T) {
	for _, test := range []struct {
		values []string
		rate   float64
		stated bool
		failed bool
	}{
		{nil, 0, false, false},
		{[]string{" 1.6 "}, 1.6, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{"1e300"}, maxRate, true, false},
		{[]string{""}, 0, false, true},
		{[]string{"-1"}, 0, false, true},
		{[]string{"NaN"}, 0, false, true},
		{[]string{"Inf"}, 0, false, true},
		{[]string{"1e999"}, 0, false, true},
		{[]string{"fast"}, 0, false, true},
		{[]string{"1", "1"}, 0, false, true},
	} {
		rate, stated, err := RateLimit(test.values)
		if rate != test.rate || stated != test.stated || (err != nil) != test.failed {
			t.Errorf("%q: %v, %v, %v; want %v, %v, failed %v", test.values, rate, stated, err, test.rate, test.stated, test.failed)
		}
	}
}
