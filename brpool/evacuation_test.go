package brpool

import (
	"testing"
	"time"

	"bramleyroute/brwire"

	"github.com/google/go-cmp/cmp"
)

// Guards against grants for endpoints in an evacuated failure domain, and against callers
// that wait for endpoints which get no request until an operator says so.
func TestEvacuatedDomain(t *testing.T) {
	announceIn := func(id, domain string, sequence uint64) EndpointReport {
		r := announce(id, "v1", sequence, 10_000)
		r.Announce.FailureDomain = domain
		return r
	}
	p := newPool(brwire.KindEngine)
	n := 0
	// granted submits a request and returns the endpoint that it is granted, or "refused".
	granted := func(ms int) string {
		n++
		for _, e := range step(t, p, ms, submit("a", testID(start.Add(time.Duration(ms)*time.Millisecond), n), 2, 100)) {
			switch e := e.(type) {
			case SendGrant:
				return e.Grant.EndpointID
			case SendRefuse:
				if e.Refuse.Error.RetryAfter == 0 {
					t.Error("refusal without a time to come back")
				}
				return "refused"
			}
		}
		return "queued"
	}
	step(t, p, 0, Takeover{Epoch: 1})
	step(t, p, 0, announceIn("e1", "a", 1))
	step(t, p, 0, announceIn("e2", "b", 1))
	var got []string
	step(t, p, 10, SetEvacuated{[]string{"a"}})
	for range 4 {
		got = append(got, granted(20))
	}
	step(t, p, 30, announceIn("e1", "a", 2))
	got = append(got, granted(40))
	step(t, p, 50, SetEvacuated{[]string{"a", "b"}})
	got = append(got, granted(60))
	step(t, p, 70, SetEvacuated{[]string{"b"}})
	got = append(got, granted(80))
	if diff := cmp.Diff([]string{"e2", "e2", "e2", "e2", "e2", "refused", "e1"}, got); diff != "" {
		t.Error(diff)
	}
}
