package brheader

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxRejections is the largest rejection limit. A larger one limits nothing.
const maxRejections = 1_000_000

// RejectionLimit returns the number of rejections per second that the values of a header
// field state as the most that a server bears, and whether they state one. The value is
// a whole number of at least 0; one above a million counts as a million. RejectionLimit
// returns an error if there are several values, or one that isn't such a number.
func RejectionLimit(values []string) (limit int, stated bool, err error) {
	switch len(values) {
	case 0:
		return 0, false, nil
	case 1:
		n, err := strconv.ParseUint(strings.TrimSpace(values[0]), 10, 64)
		if err == nil || errors.Is(err, strconv.ErrRange) {
			return int(min(n, maxRejections)), true, nil
		}
	}
	return 0, false, fmt.Errorf("brheader: rejection limit has invalid value %q", values)
}
