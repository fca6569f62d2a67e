package brheader

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns the delay that the Retry-After field of h states, and 0 if h
// has none. The value is a number of seconds, with or without a fraction, or an HTTP
// date, which is compared with now. The delay is at most maxDelay; a date in the past
// is a delay of 0. RetryAfter returns an error if the value is neither, or negative.
func RetryAfter(h http.Header, now time.Time, maxDelay time.Duration) (time.Duration, error) {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 {
		return time.Duration(min(seconds, maxDelay.Seconds()) * float64(time.Second)), nil
	}
	if date, err := http.ParseTime(value); err == nil {
		return min(max(0, date.Sub(now)), maxDelay), nil
	}
	return 0, fmt.Errorf("brheader: Retry-After has invalid value %q", value)
}
