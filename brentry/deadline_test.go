package brentry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brentry"
	"bramleyroute/brfake"
)

// Guards against a caller's deadline that is ignored, that is longer than the route's,
// or that is accepted although it is malformed or out of range.
func TestCallerDeadline(t *testing.T) {
	f := newFixture(t, brfake.Config{}, brentry.Config{}, nil)
	for _, c := range []struct {
		header string
		want   time.Duration // 0 if the request must be refused
	}{{"", 5 * time.Second}, {"2000", 2 * time.Second}, {"60000", 5 * time.Second}, {"0", 0}, {"-1", 0}, {"86400001", 0}, {"2s", 0}} {
		r, err := http.NewRequest(http.MethodPost, f.url+brengine.PathCompletions, strings.NewReader(streamBody))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer k")
		if c.header != "" {
			r.Header.Set(brengine.HeaderDeadline, c.header)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if c.want == 0 {
			if res.StatusCode != http.StatusBadRequest {
				t.Errorf("deadline %q: status %d, want 400", c.header, res.StatusCode)
			}
			continue
		}
		if s := <-f.submits; s.Deadline > c.want || s.Deadline < c.want-time.Second {
			t.Errorf("deadline %q: submitted with %v, want up to 1s less than %v", c.header, s.Deadline, c.want)
		}
	}
}
