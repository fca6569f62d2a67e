package brpool

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

// TestFatalPromptEndsFewEndpoints guards against requests with one beginning of their
// prompts that end one endpoint after the other, against waiting requests with it that
// get no response, and against refusing those that share an earlier part.
func TestFatalPromptEndsFewEndpoints(t *testing.T) {
	const (
		system, document, fatal = 1, 2, 3
		endpoints               = 6
		requests                = 14
	)
	p := newPool(brwire.KindEngine)
	step(t, p, 0, Takeover{Epoch: 1})
	for i := range endpoints {
		step(t, p, 0, announce(string(rune('a'+i)), "v1", 1, 400))
	}
	id := func(n int) string { return testID(start, n) }
	send := func(ms, n int, hashes ...uint64) []Effect {
		ev := submit("entry", id(n), 2, 300)
		ev.Submit.PrefixHashes = hashes
		return step(t, p, ms, ev)
	}
	granted := func(effects []Effect) *brwire.Grant {
		for _, e := range effects {
			if g, ok := e.(SendGrant); ok {
				return &g.Grant
			}
		}
		return nil
	}
	end := func(ms int, g *brwire.Grant, d brwire.Done) []Effect {
		t.Helper()
		if g == nil {
			t.Fatal("request without a grant")
		}
		d.RequestID, d.Epoch, d.Number = g.RequestID, g.Epoch, g.Number
		return step(t, p, ms, Done{EntryID: "entry", Done: d})
	}
	lost := brwire.Done{Outcome: brerror.Unknown, Kind: brerror.EndpointFailed, EndpointLost: true}

	end(10, granted(send(10, 1, system)), brwire.Done{OK: true, Outcome: brerror.Ran, OutputTokens: 9})
	var running []*brwire.Grant
	for n := range requests { // some run on all endpoints, the others wait
		if g := granted(send(20, 10+n, system, document, fatal, uint64(100+n))); g != nil {
			running = append(running, g)
		}
	}
	if g := granted(send(21, 90, system, 5)); g != nil || len(running) == requests {
		t.Fatal("requests beyond the capacity of the endpoints are granted")
	}
	refused := 0
	for lostCount := 1; len(running) > 0; lostCount++ {
		effects := end(20+lostCount, running[0], lost)
		running = running[1:]
		for _, e := range effects {
			switch e := e.(type) {
			case SendGrant:
				if lostCount >= 3 && e.Grant.RequestID != id(90) {
					t.Errorf("request %s is granted after %d lost endpoints, want it refused", shortID(e.Grant.RequestID), lostCount)
				}
				if e.Grant.RequestID != id(90) {
					running = append(running, &e.Grant)
				}
			case SendRefuse:
				refused++
				if e.Refuse.Error.Kind != brerror.EndpointUnavailable || e.Refuse.Error.RetryAfter < 5*time.Second {
					t.Errorf("refusal %+v, want kind EndpointUnavailable and some seconds", e.Refuse.Error)
				}
			}
		}
	}
	if p.queue.Get(id(90)) == nil && p.requests[id(90)] == nil {
		t.Error("waiting request with the first part alone was refused, want it to wait or run")
	}
	if n := p.queue.Len(); n > 1 || refused == 0 {
		t.Errorf("%d requests wait and %d were refused, want at most 1 and some", n, refused)
	}
	if g := granted(send(50, 91, system, document, fatal, 9)); g != nil {
		t.Errorf("request with the part is granted to %s, want it refused", g.EndpointID)
	}
}

// TestFailureIsNoLoss guards against blaming a prompt for a failure after which the
// endpoint is still there, and for one after it made progress.
func TestFailureIsNoLoss(t *testing.T) {
	for name, d := range map[string]brwire.Done{
		"failure":         {Outcome: brerror.Unknown, Kind: brerror.EndpointFailed},
		"lost midway":     {Outcome: brerror.Unknown, Kind: brerror.EndpointFailed, EndpointLost: true, OutputTokens: minProgressTokens},
		"caller canceled": {Outcome: brerror.Unknown, Kind: brerror.Canceled},
	} {
		p := newOwnedPool(t, 10_000)
		for n := range 5 {
			ev := submit("entry", testID(start, n), 2, 300)
			ev.Submit.PrefixHashes = []uint64{1}
			step(t, p, n, announce("e1", "v1", uint64(n+2), 10_000))
			step(t, p, n, ev)
			d.RequestID, d.Epoch, d.Number = ev.Submit.RequestID, 1, uint64(n+1)
			step(t, p, n, Done{EntryID: "entry", Done: d})
		}
		if n := len(p.quarantine.Quarantined()); n != 0 {
			t.Errorf("%s: %d quarantined parts, want none", name, n)
		}
	}
}

// TestFatalCallEndsFewServices guards against a call of a plain service that ends one
// endpoint after the other, since it comes with another ID each time, and against refusing
// other calls of the route.
func TestFatalCallEndsFewServices(t *testing.T) {
	const endpoints = 6
	p := newPool(brwire.KindService)
	step(t, p, 0, Takeover{Epoch: 1})
	// starts announces a start of an endpoint.
	starts := func(ms int, endpointID string, incarnation int) {
		report := announce(endpointID, "v1", 1, 2)
		report.Announce.Kind, report.Announce.Incarnation = brwire.KindService, fmt.Sprint(incarnation)
		step(t, p, ms, report)
	}
	for i := range endpoints {
		starts(0, string(rune('a'+i)), 0)
	}
	lost := brwire.Done{Outcome: brerror.Unknown, Kind: brerror.EndpointFailed, EndpointLost: true}
	sound := brwire.Done{OK: true, Outcome: brerror.Ran}
	// call submits a call, ends it if it is granted, and returns the refusal if it isn't.
	call := func(n int, fingerprint string, d brwire.Done) (granted bool, refusal *brerror.Error) {
		ev := submit("entry", testID(start, n), 2, 1)
		ev.Submit.Fingerprint = fingerprint
		for _, e := range step(t, p, 10*n, ev) {
			switch e := e.(type) {
			case SendGrant:
				d.RequestID, d.Epoch, d.Number = e.Grant.RequestID, e.Grant.Epoch, e.Grant.Number
				step(t, p, 10*n, Done{EntryID: "entry", Done: d})
				granted = true
				if d.EndpointLost {
					starts(10*n, e.Grant.EndpointID, n)
				}
			case SendRefuse:
				refusal = &e.Refuse.Error
			}
		}
		return granted, refusal
	}
	grants := 0
	for n := 1; n < 40; n += 2 {
		granted, refusal := call(n, "fatal", lost)
		if granted {
			grants++
		} else if refusal == nil || refusal.Kind != brerror.EndpointUnavailable || refusal.RetryAfter < time.Second {
			t.Errorf("fatal call %d: refusal %+v, want kind EndpointUnavailable and some seconds", n, refusal)
		}
		if granted, refusal := call(n+1, fmt.Sprint("sound", n), sound); !granted {
			t.Errorf("sound call %d is refused: %v", n+1, refusal)
		}
	}
	if grants != 2 {
		t.Errorf("%d grants of the fatal call, want 2", grants)
	}
}
