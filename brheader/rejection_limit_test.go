package brheader

import "testing"

// TestRejectionLimit guards against values that aren't whole numbers of rejections, which
// must not lift a limit, stop all requests or crash the daemon.
func TestRejectionLimit(t *testing.T) {
	for _, test := range []struct {
		values []string
		limit  int
		stated bool
		failed bool
	}{
		{nil, 0, false, false},
		{[]string{" 2 "}, 2, true, false},
		{[]string{"0"}, 0, true, false},
		{[]string{"99999999999999999999999"}, maxRejections, true, false},
		{[]string{"18446744073709551615"}, maxRejections, true, false},
		{[]string{""}, 0, false, true},
		{[]string{"-1"}, 0, false, true},
		{[]string{"-99999999999999999999999"}, 0, false, true},
		{[]string{"1.5"}, 0, false, true},
		{[]string{"NaN"}, 0, false, true},
		{[]string{"0x2"}, 0, false, true},
		{[]string{"1_000"}, 0, false, true},
		{[]string{"few"}, 0, false, true},
		{[]string{"1", "1"}, 0, false, true},
	} {
		limit, stated, err := RejectionLimit(test.values)
		if limit != test.limit || stated != test.stated || (err != nil) != test.failed {
			t.Errorf("%q: %v, %v, %v; want %v, %v, failed %v", test.values, limit, stated, err, test.limit, test.stated, test.failed)
		}
	}
}
