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
	"bramleyroute/brtest"
)

// Guards against a rollout that is lost, restarted or ended twice when the
// control leader is killed or frozen for a time, and against orders of the
// former leader that take effect later. Two of the three endpoints don't check
// fencing tokens.
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
			brtest.Await(t, 20*time.Second, "new version's traffic", func() bool { return requestsByVersion(fakes)["v2"] > 0 })
			leader := c.controlLeader(t)
			alive := excluding(c.daemons, leader)
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
			c.waitOutcome(t, next, id, 50*time.Second)
			c.waitReady(leader)
			row := c.checkSameOutcome(t, id, c.daemons)
			if row.Outcome != "finished" {
				t.Errorf("rollout %+v, want outcome finished\n%s", row, c.timelineText(next, id))
			}
			waitServing(t, fakes, "v2")
			checkOrders(t, fakes)
			c.checkLateOrder(t, fakes)
		})
	}
}

// checkLateOrder sends each endpoint an order of a former leader after the
// outcome. The endpoint that checks fencing tokens must refuse it; the others
// load v1, and the current leader must order them back to v2.
func (c *cluster) checkLateOrder(t *testing.T, fakes []*fake) {
	t.Helper()
	for _, f := range fakes {
		late := brengine.Order{OrderID: "late-" + f.id, Kind: brengine.OrderLoadVersion, Model: "good", Version: "v1", FencingToken: 1}
		status := f.postOrder(late)
		checks := f.id == "checks-1"
		if refused := status >= 400; refused != checks {
			t.Errorf("%s responded to the late order with status %d, want a refusal only from an endpoint that checks fencing tokens", f.id, status)
		}
		if !checks {
			began := time.Now()
			brtest.Await(t, 10*time.Second, f.id+" on v1", func() bool { return f.state().Version == "v1" })
			waitServing(t, fakes, "v2")
			t.Logf("%s serves v2 again %v after the late order", f.id, time.Since(began).Round(10*time.Millisecond))
		}
	}
}

// checkOrders checks that no endpoint executes an order with a lower fencing
// token after the first order with the highest token, and that there are at
// least as many orders as endpoints. It logs all orders.
func checkOrders(t *testing.T, fakes []*fake) {
	t.Helper()
	var highestAt time.Time // time of the first order with the highest token
	highest := uint64(0)
	for _, f := range fakes {
		for _, o := range f.orders() {
			if o.FencingToken > highest || o.FencingToken == highest && o.At.Before(highestAt) {
				highest, highestAt = o.FencingToken, o.At
			}
		}
	}
	seen := map[string]int{}
	for _, f := range fakes {
		for _, o := range f.orders() {
			t.Logf("%s: %s order %s to %s, token %d %s", f.id, o.At.Format("05.000"), o.OrderID[len(o.OrderID)-10:], o.Version, o.FencingToken, o.Refusal)
			if o.Refusal == "" && o.FencingToken < highest && o.At.After(highestAt) {
				t.Errorf("%s executed an order with token %d after the first order with token %d, want it refused", f.id, o.FencingToken, highest)
			}
			seen[f.id+" "+o.OrderID]++
		}
	}
	if len(seen) < len(fakes) {
		t.Errorf("orders %v for %d endpoints, want at least one for each", seen, len(fakes))
	}
}

// The subtests run one after the other to limit the number of processes. Each
// one states what it guards against.
func TestRolloutStarts(t *testing.T) {
	t.Parallel()
	t.Run("abort_race", testAbortRace)
	t.Run("self_started", testSelfStarted)
	t.Run("by_move", testByMove)
}

// Guards against a rollout with two outcomes when operators abort it while the
// breaker trips, and against interference from an earlier rollout of the same
// versions.
func testAbortRace(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3, document: rolloutDocument("fails")})
	fakes := c.rolloutFakes("fails", 3, `--faults={"v2":{"fail_rate":1}}`)
	l := c.steadyLoad("fails", 60)
	defer l.stop()
	// The third failure trips the breaker, and the outcome follows within 0.3 s.
	for round, failures := range []int{2, 3, 3} {
		before := requestsByVersion(fakes)["v2"]
		id := c.startRollout(t, "fails", "v1", "v2", 40*time.Second)
		brtest.Await(t, 30*time.Second, "failures", func() bool { return requestsByVersion(fakes)["v2"]-before >= failures })
		var wg sync.WaitGroup
		results := make([]error, 2*len(c.daemons))
		for i := range results {
			wg.Go(func() {
				<-time.After(time.Duration(i+3*round) * 40 * time.Millisecond)
				_, results[i] = callOperator[broperator.AbortRollout, broperator.Accepted](c.daemons[i%len(c.daemons)], "POST", broperator.PathRolloutAbort,
					broperator.AbortRollout{CommandID: newID(), RolloutID: id})
			})
		}
		wg.Wait()
		row := c.checkSameOutcome(t, id, c.daemons)
		accepted := 0
		for _, err := range results {
			if err == nil {
				accepted++
			}
		}
		if row.Outcome != "taken_back" || accepted > 1 {
			t.Errorf("%d aborts accepted, want at most 1; rollout %+v, want outcome taken_back", accepted, row)
		}
		t.Logf("%d of %d aborts accepted: %s", accepted, len(results), row.Reason)
		waitServing(t, fakes, "v1")
	}
}

// Guards against a template's move that starts no rollout or misses its
// finish_by, and against loads that exceed the weight store's rate.
func testByMove(t *testing.T) {
	const rate, weights = 1_000_000, 3_000_000 // bytes/s and bytes, so each load takes 3 s
	doc := rolloutDocument("moved")
	doc.Models[0].WeightBytes = weights
	c := newCluster(t, spec{daemons: 3, controls: 3, document: doc, settings: map[string]string{"WEIGHT_STORE_BYTES_PER_SECOND": "1000000"}})
	fakes := c.rolloutFakes("moved", 4, `--faults={"v3":{"fail_load":"v3"}}`)
	l := c.steadyLoad("moved", 30)
	defer l.stop()
	var move brconfig.Document
	b, _ := json.Marshal(doc) // deep copy; encoding a document can't fail
	if err := json.Unmarshal(b, &move); err != nil {
		t.Fatal(err)
	}
	finishBy := time.Now().Add(40 * time.Second).UTC().Truncate(time.Millisecond)
	move.Templates[0].Moves = []brconfig.Move{{Model: "moved", From: "v1", To: "v2", FinishBy: finishBy}}
	c.putConfig(move)
	var id string
	brtest.Await(t, 10*time.Second, "rollout of the move", func() bool {
		list, err := callOperator[broperator.Empty, []broperator.Rollout](c.daemons[2], "GET", broperator.PathRollouts, broperator.Empty{})
		if err == nil && len(list) == 1 {
			id = list[0].ID
		}
		return id != ""
	})
	row := c.waitOutcome(t, c.daemons[2], id, time.Until(finishBy)+5*time.Second)
	if row.Outcome != "finished" || !row.FinishBy.Equal(finishBy) || row.EndedAt.After(finishBy) {
		t.Errorf("rollout %+v, want outcome finished by the move's finish_by\n%s", row, c.timelineText(c.daemons[2], id))
	}
	c.checkSameOutcome(t, id, c.daemons)
	waitServing(t, fakes, "v2")
	checkLoadInterval(t, fakes, "v2", weights/rate*time.Second)

	// Without the rate limit, failing loads follow each other within 2 s.
	id = c.startRollout(t, "moved", "v2", "v3", 150*time.Second)
	if row := c.waitOutcome(t, c.daemons[2], id, 30*time.Second); row.Outcome != "taken_back" {
		t.Errorf("rollout %+v, want outcome taken_back", row)
	}
	checkLoadInterval(t, fakes, "v3", weights/rate*time.Second)
}

// checkLoadInterval checks that there were at least three loads of a version
// and that they began at least interval apart.
func checkLoadInterval(t *testing.T, fakes []*fake, version string, interval time.Duration) {
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
		t.Errorf("%d loads of %s, want at least 3", len(times), version)
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		d := times[i].Sub(times[i-1])
		t.Logf("load %d of "+version+" began %v after the previous one", i+1, d.Round(time.Millisecond))
		if d < interval-50*time.Millisecond { // the delivery time of orders varies by some milliseconds
			t.Errorf("loads began %v apart, want at least %v at the weight store's rate", d, interval)
		}
	}
}

// Guards against traffic that a version gets only because its endpoints were
// started by hand. Such endpoints with the new version of a rollout must share
// the rollout's traffic share; those with a version of no rollout must get no
// traffic.
func testSelfStarted(t *testing.T) {
	c := newCluster(t, spec{daemons: 3, controls: 3, document: rolloutDocument("mixed")})
	fakes := c.rolloutFakes("mixed", 2)
	l := c.steadyLoad("mixed", 40)
	defer l.stop()
	id := c.startRollout(t, "mixed", "v1", "v2", 60*time.Second)
	brtest.Await(t, 10*time.Second, "a share", func() bool { return c.daemons[0].rollout(id).SharePerMille > 0 })
	before := requestsByVersion(fakes)
	started := time.Now()
	flags := []string{"--model=mixed", "--step-base=4ms", "--load-time=300ms", "--capacity-tokens=4000"}
	second := c.addFake("self-1", append(flags, "--serve-version=v2")...)
	unknown := c.addFake("self-2", append(flags, "--serve-version=v9")...)
	all := append(fakes, second, unknown)
	brtest.Await(t, 30*time.Second, "400 requests", func() bool { return requestsBetween(before, requestsByVersion(all)) >= 400 })
	after := requestsByVersion(all)
	share := float64(after["v2"]-before["v2"]) / float64(requestsBetween(before, after))
	t.Logf("%.2f%% of %d requests to v2 in %v, %d to v9, %d to the self-started endpoint of v2", 100*share, requestsBetween(before, after),
		time.Since(started).Round(time.Second), after["v9"], second.counts().Versions["v2"])
	if share >= 0.025 || after["v9"] != 0 {
		t.Errorf("share of v2 %.4f, want less than 0.025; %d requests to v9, want 0", share, after["v9"])
	}
	if _, err := callOperator[broperator.AbortRollout, broperator.Accepted](c.daemons[1], "POST", broperator.PathRolloutAbort,
		broperator.AbortRollout{CommandID: newID(), RolloutID: id}); err != nil {
		t.Fatal(err)
	}
	row := c.checkSameOutcome(t, id, c.daemons)
	if row.Outcome != "taken_back" {
		t.Errorf("rollout %+v, want outcome taken_back", row)
	}
	waitServing(t, append(fakes, second), "v1")
	if n := requestsByVersion(all)["v9"]; n != 0 {
		t.Errorf("%d requests to v9 after the outcome, want 0", n)
	}
}
