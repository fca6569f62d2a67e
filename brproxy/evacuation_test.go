package brproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"bramleyroute/brconn"
	"bramleyroute/brplace"

	"github.com/google/go-cmp/cmp"
)

// TestEvacuatedDuringDial guards against a request that reaches an endpoint because it was
// placed there before the evacuation and sent after it, on a connection that took long to
// open; and against an answer other than a refusal, or blame on the endpoint, if there is no
// other one.
func TestEvacuatedDuringDial(t *testing.T) {
	for _, test := range []struct {
		path      string
		endpoints int
		want      int   // status
		arrivals  []int // by endpoint; e0 lies in the evacuated domain
	}{
		{"/safe/", 2, 200, []int{0, 1}},
		{"/once/", 2, 200, []int{0, 1}},
		{"/once/", 1, 503, []int{0}},
	} {
		handlers := []http.HandlerFunc{respond(200, "", "ok"), respond(200, "", "ok")}
		s := newSystem(t, handlers[:test.endpoints]...)
		s.proxy.cfg.Pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			s.proxy.SetEvacuated([]string{"evacuated"})
			return brconn.DialTCP(ctx, address)
		}
		// e1 is in another domain than the daemon, which prefers e0 then.
		for i, zone := range []string{"evacuated", "other"}[:test.endpoints] {
			s.proxy.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{
				ID: fmt.Sprint("e", i), Service: "s", Zone: zone, Address: s.endpoints[i].address, Slots: 4 >> i,
			}})
		}
		if test.endpoints == 2 { // the first request goes to e0
			s.proxy.ApplyEvent(brplace.PeerReported{Daemon: "d", Report: brplace.Report{"e1": {Active: 2}}})
		}
		status, body, _ := s.do(t, "GET", test.path, nil)
		var arrivals []int
		for _, e := range s.endpoints {
			arrivals = append(arrivals, e.arrivals())
		}
		if diff := cmp.Diff(test.arrivals, arrivals); diff != "" || status != test.want {
			t.Errorf("%s with %d endpoints: status %d %q, want %d; arrivals by endpoint:\n%s", test.path, test.endpoints, status, body, test.want, diff)
		}
		if n := len(s.log.entries(t, "endpoint suspended")); n > 0 {
			t.Errorf("%s with %d endpoints: an endpoint was suspended", test.path, test.endpoints)
		}
	}
}
