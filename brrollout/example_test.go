package brrollout_test

import (
	"fmt"
	"time"

	"bramleyroute/brrollout"
)

func ExampleStep() {
	now := time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)
	state, _ := brrollout.Step(brrollout.State{}, now, brrollout.Started{
		RolloutID: "r1", Model: "drafting", OldVersion: "v1", NewVersion: "v2",
		FinishBy:  now.Add(time.Hour),
		Endpoints: []brrollout.Target{{ID: "e1", Version: "v1"}, {ID: "e2", Version: "v1"}},
	})
	run := func(ev brrollout.Event) {
		var effects []brrollout.Effect
		now = now.Add(time.Second)
		state, effects = brrollout.Step(state, now, ev)
		for _, e := range effects {
			switch e := e.(type) {
			case brrollout.PlaceOrder:
				fmt.Println("order", e.EndpointID, e.Order.Version)
			case brrollout.SetShare:
				fmt.Println("share", e.PerMille)
			case brrollout.Finish:
				fmt.Println(e.Outcome, e.Reason)
			}
		}
	}
	run(brrollout.Tick{})
	run(brrollout.VersionReady{EndpointID: "e1", Version: "v2"})
	run(brrollout.Tick{})
	run(brrollout.Tripped{Pool: "drafting@gauteng", Reason: "8 errors in a row"})
	run(brrollout.Tick{})
	// Output:
	// order e1 v2
	// share 10
	// share 0
	// taken_back breaker of pool drafting@gauteng: 8 errors in a row
	// order e1 v1
}
