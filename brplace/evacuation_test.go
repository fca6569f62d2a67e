package brplace

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brlimit"
)

// evacuationReplay replays two evacuations, of which the daemons learn late and at
// different times. The last ones are cut off and learn of neither before the end of the cut.
type evacuationReplay struct {
	wrong     int           // dispatches to a domain whose evacuation the daemon knows
	refused   int           // rejections because of an evacuation
	rejected  int           // rejections after all daemons knew
	served    int           // dispatches after all daemons knew
	returned  int           // dispatches to a domain after its evacuation was withdrawn
	lastKnown time.Duration // time at which the last daemon that isn't cut off has learned
}

const (
	evacuationAt   = 2 * time.Second
	secondAt       = 2500 * time.Millisecond // evacuation of the second domain
	withdrawalAt   = 5 * time.Second         // withdrawal of both
	evacuationEnd  = 6 * time.Second
	evacuationLag  = 900 * time.Millisecond // until a daemon learns of a change at the latest
	cutOffDaemons  = 2
	cutOffUntil    = 4 * time.Second
	evacuatedZone  = "z1"
	evacuatedZone2 = "z4"
)

func (v *evacuationReplay) prepare(r *replayRun) {
	for _, change := range []struct {
		at      time.Duration
		domains []string
	}{
		{evacuationAt, []string{evacuatedZone}},
		{secondAt, []string{evacuatedZone, evacuatedZone2}},
		{withdrawalAt, nil},
	} {
		for daemon := range r.daemons {
			at := change.at + time.Duration(r.rng.Float64()*float64(evacuationLag))
			if daemon < cutOffDaemons {
				at = max(at, cutOffUntil)
			} else if change.at == secondAt {
				v.lastKnown = max(v.lastKnown, at)
			}
			r.after(at, func() {
				if r.states[daemon].Evacuated(evacuatedZone2) && len(change.domains) == 1 {
					return // a newer record is known already
				}
				r.step(daemon, DomainsEvacuated{change.domains})
			})
		}
	}
}

func (v *evacuationReplay) observe(r *replayRun, daemon int, _ *replayStream, e Effect) {
	inForce := r.now > v.lastKnown && r.now < withdrawalAt
	switch e := e.(type) {
	case Dispatch:
		zone := e.Endpoint.Zone
		if r.states[daemon].Evacuated(zone) {
			v.wrong++
		}
		if inForce {
			v.served++
		}
		if r.now > withdrawalAt && (zone == evacuatedZone || zone == evacuatedZone2) {
			v.returned++
		}
	case Reject:
		if e.Reason == Evacuated {
			v.refused++
		}
		if inForce {
			v.rejected++
		}
	}
}

// TestEvacuationReplay guards against requests to an evacuated domain, also of a daemon
// that was cut off and of those that wait when the order comes, against requests that are
// turned away while the other domains have room, and against endpoints that stay unused
// after the withdrawal. A third of the endpoints is evacuated at half of the usual load.
func TestEvacuationReplay(t *testing.T) {
	for _, daemons := range []int{11, 64, 200} {
		var v evacuationReplay
		replay := fleetReplay{
			daemons: daemons, endpoints: 78, slots: 4, kinds: draftingKinds, load: 0.5, duration: evacuationEnd,
			reportInterval: 150 * time.Millisecond, reportDelay: 100 * time.Millisecond,
			prepare: v.prepare, observe: v.observe,
		}
		r := replay.run()
		t.Logf("%d daemons: %+v; %v", daemons, v, r)
		if v.wrong > 0 || v.refused > 0 || 100*v.rejected > v.served || v.returned == 0 {
			t.Errorf("%d daemons: %d dispatches to evacuated domains, want 0; %d refused for them, want 0; %d of %d rejected, want at most 1 in 100; %d after the withdrawal, want some",
				daemons, v.wrong, v.refused, v.rejected, v.served, v.returned)
		}
	}
}

// TestServiceInEvacuatedDomains guards against callers that wait for endpoints which get
// no request until an operator says so, and against an endpoint that is used because it was
// announced, or has moved, after the order.
func TestServiceInEvacuatedDomains(t *testing.T) {
	s := newState()
	announce := func(ms int, id, zone string) []Effect {
		return s.Step(at(ms), EndpointChanged{Endpoint{ID: id, Service: "s", Zone: zone, Slots: 1}})
	}
	announce(0, "a", "z1")
	checkEffects(t, "first request", s.Step(at(0), Submit{request(1, 1, 0)}), "dispatch 1 a")
	checkEffects(t, "second request waits", s.Step(at(0), Submit{request(2, 1, 0)}))
	checkEffects(t, "another domain", s.Step(at(10), DomainsEvacuated{[]string{"z2"}}))
	effects := s.Step(at(20), DomainsEvacuated{[]string{"z1", "z2"}})
	checkEffects(t, "order", effects, "reject 2 evacuated")
	if d := effects[0].(Reject).RetryAfter; d < minRetryAfter || d > maxRetryAfter {
		t.Errorf("Retry-After %v, want %v to %v", d, minRetryAfter, maxRetryAfter)
	}
	checkEffects(t, "running request ends", s.Step(at(30), Ended{ID: 1, Result: Succeeded}))
	checkEffects(t, "new request", s.Step(at(30), Submit{request(3, 0, 30)}), "reject 3 evacuated")
	checkEffects(t, "announced in the other domain", announce(40, "b", "z2"))
	checkEffects(t, "new request", s.Step(at(50), Submit{request(4, 0, 50)}), "reject 4 evacuated")
	checkEffects(t, "moved to a sound domain", announce(60, "b", "z3"))
	checkEffects(t, "new request", s.Step(at(60), Submit{request(5, 0, 60)}), "dispatch 5 b")
	checkEffects(t, "waits for b", s.Step(at(70), Submit{request(6, 1, 70)}))
	s.Step(at(75), EndpointChanged{Endpoint{ID: "b", Service: "s", Zone: "z3", Slots: 1, Leaving: true}})
	checkEffects(t, "b leaves", s.Step(at(80), Tick{}), "reject 6 evacuated")
	s.Step(at(85), EndpointChanged{Endpoint{ID: "b", Service: "s", Zone: "z3", Slots: 1}})
	checkEffects(t, "waits for b again", s.Step(at(85), Submit{request(7, 1, 85)}))
	checkEffects(t, "withdrawal", s.Step(at(90), DomainsEvacuated{[]string{"z2"}}), "dispatch 7 a")
}

// TestEvacuatedEndpointsHoldNoShares guards against a daemon that may use no endpoint but
// evacuated ones, since its shares of limits or slots lie there, while others have room.
func TestEvacuatedEndpointsHoldNoShares(t *testing.T) {
	for name, limit := range map[string]brlimit.Limit{
		"limited": {Limited: true, Rate: 1}, "brittle": {Brittle: true},
	} {
		const daemons = 4
		held := 0
		for d := range daemons {
			s := New(Config{Daemon: fmt.Sprint("d", d), FailureDomain: "z1", Random: func() float64 { return 0 }})
			s.Step(at(0), FleetChanged{daemonIDs(daemons)})
			for e := range 2 * daemons {
				id := fmt.Sprint("e", e)
				s.Step(at(0), EndpointChanged{Endpoint{ID: id, Service: "s", Zone: fmt.Sprint("z", e%2), Slots: 1, Born: 1}})
				s.Step(at(0), LimitPublished{ID: id, Born: 1, Limit: limit})
			}
			s.Step(at(0), Tick{})
			s.Step(at(10), DomainsEvacuated{[]string{"z1"}})
			s.Step(at(50), Tick{})
			for _, e := range s.endpoints {
				if e.slotUse.share > 0 || e.bucket.Rate() > 0 {
					held++
					if e.Zone == "z1" {
						t.Errorf("%s: daemon %d has a share of %s, which is evacuated", name, d, e.ID)
					}
				}
			}
		}
		if held != daemons {
			t.Errorf("%s: %d shares of %d endpoints, want one for each", name, held, daemons)
		}
	}
}
