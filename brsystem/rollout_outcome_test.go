package brsystem

import (
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brengine"
	"bramleyroute/broperator"
)

// Guards against a rollout that is lost, begun again or ended twice when the
// control leader is killed, or stands still and returns, and against orders of
// the former leader that take effect later. Two of the endpoints ignore fencing
// tokens.
func TestRolloutLeaderChanges(t *testing.T) {
	t.Parallel()
	for _, freeze := range []bool{false, true} {
		name := "killed"
		if freeze {
			name = "frozen"
		}
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, spec{daemons: 4, controls: 3, document: rolloutDocument("good")})
			fakes := append(c.rolloutFakes("good", 2), c.addFake("checks-1", "--model=good", "--step-base=4ms", "--load-time=300ms", "--capacity-tokens=4000", "--checks-fencing"))
			l := c.steadyLoad("good", 20)
			defer l.stop()
			id := c.startRollout(t, "good", "v1", "v2", 40*time.Second)
			within(t, 20*time.Second, "new version's traffic", func() bool { return byVersion(fakes)["v2"] > 0 })
			leader := c.controlLeader(t)
			alive := without(c.daemons, leader)
			if freeze {
				leader.freeze()
			} else {
				leader.kill()
			}
			next := c.controlLeaderOf(t, alive)
			if freeze {
				// Longer than the leader's lease and the timeout of an order.
				<-time.After(6 * time.Second)
				leader.thaw()
			} else {
				leader.start()
			}
			c.rolloutEnd(t, next, id, 50*time.Second)
			c.waitReady(leader)
			row := c.sameOutcome(t, id, c.daemons)
			if row.Outcome != "finished" {
				t.Errorf("%+v\n%s", row, c.notes(next, id))
			}
			serving(t, fakes, "v2")
			checkOrders(t, fakes)
			c.lateOrder(t, fakes)
		})
	}
}

// lateOrder plays a former leader whose orders arrive after the outcome. The
// endpoint that checks tokens refuses, the others are sent back.
func (c *cluster) lateOrder(t *testing.T, fakes []*fake) {
	t.Helper()
	for _, f := range fakes {
		late := brengine.Order{OrderID: "late-" + f.id, Kind: brengine.OrderLoadVersion, Model: "good", Version: "v1", FencingToken: 1}
		status := f.post(late)
		checks := f.id == "checks-1"
		if refused := status >= 400; refused != checks {
			t.Errorf("%s answered the late order with %d", f.id, status)
		}
		if !checks {
			began := time.Now()
			within(t, 10*time.Second, f.id+" on v1", func() bool { return f.state().Version == "v1" })
			serving(t, fakes, "v2")
			t.Logf("%s was back on v2 %v after the late order", f.id, time.Since(began).Round(10*time.Millisecond))
		}
	}
}

// checkOrders checks that no order with a lower token is carried out after one
// with a higher token on any endpoint, and that no endpoint is sent back and
// forth.
func checkOrders(t *testing.T, fakes []*fake) {
	t.Helper()
	var newer time.Time // first order of the highest token
	highest := uint64(0)
	for _, f := range fakes {
		for _, o := range f.orders() {
			if o.FencingToken > highest || o.FencingToken == highest && o.At.Before(newer) {
				highest, newer = o.FencingToken, o.At
			}
		}
	}
	seen := map[string]int{}
	for _, f := range fakes {
		for _, o := range f.orders() {
			t.Logf("%s: %s order %s to %s, token %d %s", f.id, o.At.Format("05.000"), o.OrderID[len(o.OrderID)-10:], o.Version, o.FencingToken, o.Refusal)
			if o.Refusal == "" && o.FencingToken < highest && o.At.After(newer) {
				t.Errorf("%s carried out an order of token %d after one of %d", f.id, o.FencingToken, highest)
			}
			seen[f.id+" "+o.OrderID]++
		}
	}
	if len(seen) < len(fakes) {
		t.Errorf("orders %v for %d endpoints", seen, len(fakes))
	}
}

// The parts run one after the other to bound the number of processes.
func TestRolloutStarts(t *testing.T) {
	t.Parallel()
	t.Run("abort_race", testAbortRace)
	t.Run("self_started", testSelfStarted)
	t.Run("by_move", testByMove)
}

// Guards against two outcomes when operators abort while the breaker trips, and
// against a rollout that is fought over with an earlier one of the same versions.
func testAbortRace(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3, document: rolloutDocument("fails")})
	fakes := c.rolloutFakes("fails", 3, `--faults={"v2":{"fail_rate":1}}`)
	l := c.steadyLoad("fails", 60)
	defer l.stop()
	// The third failure trips the breaker, and its outcome follows within 0.3 s.
	for round, failures := range []int{2, 3, 3} {
		before := byVersion(fakes)["v2"]
		id := c.startRollout(t, "fails", "v1", "v2", 40*time.Second)
		within(t, 30*time.Second, "failures", func() bool { return byVersion(fakes)["v2"]-before >= failures })
		var wg sync.WaitGroup
		results := make([]error, 2*len(c.daemons))
		for i := range results {
			wg.Go(func() {
				<-time.After(time.Duration(i+3*round) * 40 * time.Millisecond)
				_, results[i] = operate[broperator.AbortRollout, broperator.Accepted](c.daemons[i%len(c.daemons)], "POST", broperator.PathRolloutAbort,
					broperator.AbortRollout{CommandID: newID(), RolloutID: id})
			})
		}
		wg.Wait()
		row := c.sameOutcome(t, id, c.daemons)
		won := 0
		for _, err := range results {
			if err == nil {
				won++
			}
		}
		if row.Outcome != "taken_back" || won > 1 {
			t.Errorf("%d aborts accepted: %+v", won, row)
		}
		t.Logf("%d of %d aborts accepted: %s", won, len(results), row.Reason)
		serving(t, fakes, "v1")
	}
}

// Guards against a template's move that starts no rollout or isn't held to its
// date, and against loads that take more than the weight store's rate.
func testByMove(t *testing.T) {
	const rate, weights = 1_000_000, 3_000_000 // bytes/s, bytes: 3 s for each load
	doc := rolloutDocument("moved")
	doc.Models[0].WeightBytes = weights
	c := newCluster(t, spec{daemons: 3, controls: 3, document: doc, settings: map[string]string{"WEIGHT_STORE_BYTES_PER_SECOND": "1000000"}})
	fakes := c.rolloutFakes("moved", 4, `--faults={"v3":{"fail_load":"v3"}}`)
	l := c.steadyLoad("moved", 30)
	defer l.stop()
	var move brconfig.Document
	b, _ := json.Marshal(doc) // a copy; a document always has a JSON form
	if err := json.Unmarshal(b, &move); err != nil {
		t.Fatal(err)
	}
	finishBy := time.Now().Add(40 * time.Second).UTC().Truncate(time.Millisecond)
	move.Templates[0].Moves = []brconfig.Move{{Model: "moved", From: "v1", To: "v2", FinishBy: finishBy}}
	c.putConfig(move)
	var id string
	within(t, 10*time.Second, "rollout of the move", func() bool {
		list, err := operate[broperator.Empty, []broperator.Rollout](c.daemons[2], "GET", broperator.PathRollouts, broperator.Empty{})
		if err == nil && len(list) == 1 {
			id = list[0].ID
		}
		return id != ""
	})
	row := c.rolloutEnd(t, c.daemons[2], id, time.Until(finishBy)+5*time.Second)
	if row.Outcome != "finished" || !row.FinishBy.Equal(finishBy) || row.EndedAt.After(finishBy) {
		t.Errorf("%+v\n%s", row, c.notes(c.daemons[2], id))
	}
	c.sameOutcome(t, id, c.daemons)
	serving(t, fakes, "v2")
	checkPace(t, fakes, "v2", weights/rate*time.Second)

	// Loads that fail follow each other within 2 s if nothing paces them.
	id = c.startRollout(t, "moved", "v2", "v3", 150*time.Second)
	if row := c.rolloutEnd(t, c.daemons[2], id, 30*time.Second); row.Outcome != "taken_back" {
		t.Errorf("%+v", row)
	}
	checkPace(t, fakes, "v3", weights/rate*time.Second)
}

// checkPace checks that three loads of a version or more are at least gap apart.
func checkPace(t *testing.T, fakes []*fake, version string, gap time.Duration) {
	t.Helper()
	var times []time.Time
	for _, f := range fakes {
		for _, o := range f.orders() {
			if o.Version == version {
				times = append(times, o.At)
			}
		}
	}
	if len(times) < 3 {
		t.Errorf("%d loads of %s", len(times), version)
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		d := times[i].Sub(times[i-1])
		t.Logf("load %d of "+version+" began %v after the one before", i+1, d.Round(time.Millisecond))
		if d < gap-50*time.Millisecond { // orders travel for some milliseconds
			t.Errorf("loads %v apart, the weight store's rate allows one in %v", d, gap)
		}
	}
}

// Guards against traffic that a version gets because its endpoints were started
// by hand: those of the new version of a rollout get its share, those of a
// version that no rollout names get nothing.
func testSelfStarted(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3, document: rolloutDocument("mixed")})
	fakes := c.rolloutFakes("mixed", 2)
	l := c.steadyLoad("mixed", 40)
	defer l.stop()
	id := c.startRollout(t, "mixed", "v1", "v2", 60*time.Second)
	within(t, 10*time.Second, "a share", func() bool { return c.daemons[0].rollout(id).SharePerMille > 0 })
	before := byVersion(fakes)
	started := time.Now()
	flags := []string{"--model=mixed", "--step-base=4ms", "--load-time=300ms", "--capacity-tokens=4000"}
	second := c.addFake("self-1", append(flags, "--serve-version=v2")...)
	unknown := c.addFake("self-2", append(flags, "--serve-version=v9")...)
	all := append(fakes, second, unknown)
	within(t, 30*time.Second, "400 requests", func() bool { return total(before, byVersion(all)) >= 400 })
	after := byVersion(all)
	share := float64(after["v2"]-before["v2"]) / float64(total(before, after))
	t.Logf("%.2f%% of %d requests to v2 in %v, %d to v9, %d to the self-started endpoint of v2", 100*share, total(before, after),
		time.Since(started).Round(time.Second), after["v9"], second.counts().Versions["v2"])
	if share >= 0.025 || after["v9"] != 0 {
		t.Errorf("share %.4f, %d requests to v9", share, after["v9"])
	}
	if _, err := operate[broperator.AbortRollout, broperator.Accepted](c.daemons[1], "POST", broperator.PathRolloutAbort,
		broperator.AbortRollout{CommandID: newID(), RolloutID: id}); err != nil {
		t.Fatal(err)
	}
	row := c.sameOutcome(t, id, c.daemons)
	if row.Outcome != "taken_back" {
		t.Errorf("%+v", row)
	}
	serving(t, append(fakes, second), "v1")
	if n := byVersion(all)["v9"]; n != 0 {
		t.Errorf("%d requests to v9 after the outcome", n)
	}
}
