package brheader

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxRate is the largest rate limit in requests per second. A larger one limits nothing.
const maxRate = 1e6

// RateLimit returns the limit in requests per second that the values of a header field
// state, and whether they state one. The value is a decimal number of at least 0; one
// above a million counts as a million. RateLimit returns an error if there are several
// values, or one that isn't such a number.
func RateLimit(values []string) (rate float64, stated bool, err error) {
	switch len(values) {
	case 0:
		return 0, false, nil
	case 1:
		rate, err = strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
		if err == nil && rate >= 0 && !math.IsInf(rate, 1) {
			return min(rate, maxRate), true, nil
		}
	}
	return 0, false, fmt.Errorf("brheader: rate limit has invalid value %q", values)
}
