package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleyroute/brpolicy"
)

// TestKeptConnectionFollowsHeaderLimits guards against applying the header limits of an
// earlier policy to a request on a connection that was kept since then: a header that the
// policy in force allows is answered 431, or its connection is closed while the caller still
// sends it, and the log has no line on either.
func TestKeptConnectionFollowsHeaderLimits(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after brpolicy.Limits
		fields        int           // size of the header of the second request
		pause         time.Duration // in the middle of it
	}{
		{"size", brpolicy.Limits{HeaderBytes: 4 << 10}, brpolicy.Limits{HeaderBytes: 64 << 10}, 32 << 10, 0},
		{"time", brpolicy.Limits{HeaderTimeout: 200 * time.Millisecond}, brpolicy.Limits{HeaderTimeout: 5 * time.Second}, 10, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, respond(200, "", "ok"))
			s.proxy.SetPolicy(policyWithLimits(test.before))
			c, err := net.Dial("tcp", s.serve(t))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			request := func(field string, d time.Duration) int {
				fmt.Fprint(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n")
				time.Sleep(d)
				fmt.Fprintf(c, "X: %s\r\nContent-Length: 0\r\n\r\n", field)
				a, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Error(err)
					return 0
				}
				defer a.Body.Close()
				io.Copy(io.Discard, a.Body)
				return a.StatusCode
			}
			if status := request("x", 0); status != http.StatusOK {
				t.Fatalf("first request: status %d, want 200", status)
			}
			s.proxy.SetPolicy(policyWithLimits(test.after))
			if status := request(strings.Repeat("x", test.fields), test.pause); status != http.StatusOK {
				t.Errorf("second request: status %d, want 200: the policy in force allows its header", status)
			}
		})
	}
}
