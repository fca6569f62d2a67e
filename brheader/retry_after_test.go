package brheader

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRetryAfter guards against ignoring a delay in one of its standard forms, and
// against a malformed or very long one that blocks an endpoint for good.
func TestRetryAfter(t *testing.T) {
	type result struct {
		Delay time.Duration
		Error bool
	}
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for value, want := range map[string]result{
		"":                              {},
		"3":                             {Delay: 3 * time.Second},
		" 0.25 ":                        {Delay: 250 * time.Millisecond},
		"0":                             {},
		"315360000":                     {Delay: time.Minute},
		"1e300":                         {Delay: time.Minute},
		"inf":                           {Delay: time.Minute},
		"Fri, 04 Dec 2026 12:00:05 GMT": {Delay: 5 * time.Second},
		"Fri, 04 Dec 2026 11:00:00 GMT": {},
		"Fri, 04 Dec 2036 12:00:00 GMT": {Delay: time.Minute},
		"-1":                            {Error: true},
		"NaN":                           {Error: true},
		"soon":                          {Error: true},
		"3 s":                           {Error: true},
	} {
		delay, err := RetryAfter(http.Header{"Retry-After": {value}}, now, time.Minute)
		if diff := cmp.Diff(want, result{delay, err != nil}); diff != "" {
			t.Errorf("value %q: %s", value, diff)
		}
	}
	if delay, err := RetryAfter(nil, now, time.Minute); delay != 0 || err != nil {
		t.Errorf("no header: %v, %v, want 0 and no error", delay, err)
	}
}
