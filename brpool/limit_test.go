package brpool

import (
	"math"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// TestEndpointRateLimit guards against granting more requests than an endpoint says it
// takes, against requests beyond them that wait until their deadline, and against a limit
// that outlasts its announcement or a value that isn't one.
func TestEndpointRateLimit(t *testing.T) {
	const (
		rate    = 2.0                     // requests/s
		seconds = 4                       // of the check
		allowed = 17                      // 1.5 x rate x seconds + 5
		spacing = 50                      // ms between two requests
		wait    = 1200 * time.Millisecond // until the first token is due
	)
	p := newPool(brwire.KindEngine)
	step(t, p, 0, Takeover{Epoch: 1})
	now, n, limit := 0, 0, rate
	granted, refused := 0, 0
	// apply steps the pool, ends the requests that it grants and counts them.
	apply := func(ev Event) {
		for _, e := range step(t, p, now, ev) {
			switch e := e.(type) {
			case SendGrant:
				granted++
				step(t, p, now, Done{EntryID: "entry", Done: brwire.Done{
					RequestID: e.Grant.RequestID, Epoch: e.Grant.Epoch, Number: e.Grant.Number, OK: true, Outcome: brerror.Ran, OutputTokens: 9,
				}})
			case SendRefuse:
				if e.Refuse.RequestID == testID(start, n) && e.Refuse.Error.RetryAfter > 0 {
					refused++
				}
			}
		}
	}
	// send submits requests for some seconds and returns how many were granted and how
	// many were refused as they came.
	send := func(seconds int) (int, int) {
		granted, refused = 0, 0
		for end := now + 1000*seconds; now < end; now += spacing {
			if now%1000 == 0 {
				report := announce("a", "v1", uint64(1+now), 100_000)
				if stated := limit; stated != 0 {
					report.Announce.RateLimit = &stated
				}
				apply(report)
			}
			n++
			ev := submit("entry", testID(start, n), 2, 300)
			ev.Submit.Deadline = wait
			apply(ev)
			apply(Tick{})
		}
		return granted, refused
	}
	send(1) // a limit starts without a request saved up
	send(seconds)
	if granted > allowed || float64(granted) < 0.9*rate*seconds {
		t.Errorf("%d requests granted in %d s at a limit of %v a second, want at most %d and nine tenths of the limit", granted, seconds, rate, allowed)
	}
	if sent := 1000 * seconds / spacing; refused < sent/2 {
		t.Errorf("%d of %d requests refused at once, want those that the limit leaves no room for", refused, sent)
	}
	limit = math.NaN()
	if granted, _ := send(1); granted > int(rate)+2 {
		t.Errorf("%d requests granted in 1 s after an invalid limit, want the earlier limit to hold", granted)
	}
	limit = 0
	if granted, _ := send(1); granted < 1000/spacing {
		t.Errorf("%d requests granted in 1 s without a limit, want all", granted)
	}
}
