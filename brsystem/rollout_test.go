package brsystem

import (
	"testing"
	"time"

	"bramleyroute/brtimeline"
)

const (
	rolloutLength = 30 * time.Second
	rolloutRate   = 40 // requests/s on each model
)

// Guards against good versions whose rollout doesn't finish in time, and
// against bad versions that aren't rolled back, get a large share of the
// requests or still get requests after the breaker tripped. Three rollouts of
// each kind run one after the other under steady load.
func TestRolloutKinds(t *testing.T) {
	t.Parallel()
	kinds := []struct{ name, fault string }{
		{"good", ""},
		{"fails", `{"fail_rate":1}`},
		{"slow", `{"slow_factor":60}`},
		{"oneroute", `{"fail_route":"oneroute-draft"}`},
		{"noload", "fail_load"},
	}
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	c := newCluster(t, spec{daemons: 3, controls: 3, document: rolloutDocument(names...)})
	t.Run("each", func(t *testing.T) {
		for _, k := range kinds {
			var flags []string
			switch k.fault {
			case "":
			case "fail_load":
				flags = []string{`--faults={"v2":{"fail_load":"v2"},"v3":{"fail_load":"v3"},"v4":{"fail_load":"v4"}}`}
			default:
				flags = []string{`--faults={"v2":` + k.fault + `,"v3":` + k.fault + `,"v4":` + k.fault + `}`}
			}
			fakes := c.rolloutFakes(k.name, 3, flags...)
			t.Run(k.name, func(t *testing.T) {
				t.Parallel()
				l := c.steadyLoad(k.name, rolloutRate)
				defer l.stop()
				for i, to := range []string{"v2", "v3", "v4"} {
					if k.fault == "" {
						c.goodRollout(t, k.name, fakes, l, []string{"v1", "v2", "v3"}[i], to)
					} else {
						c.badRollout(t, k.name, fakes, to)
					}
				}
			})
		}
	})
}

// goodRollout rolls out a good version and checks that the rollout finishes in
// time without failed requests.
func (c *cluster) goodRollout(t *testing.T, name string, fakes []*fake, l *steadyLoad, from, to string) {
	t.Helper()
	failed := l.failed.Load()
	id := c.startRollout(t, name, from, to, rolloutLength)
	row := c.waitOutcome(t, c.daemons[1], id, rolloutLength+5*time.Second)
	if row.Outcome != "finished" || row.EndedAt.After(row.FinishBy) {
		t.Fatalf("%s to %s: rollout %+v, want outcome finished by finish_by\n%s", name, to, row, c.timelineText(c.daemons[1], id))
	}
	waitServing(t, fakes, to)
	c.checkSameOutcome(t, id, c.daemons)
	if n := l.failed.Load() - failed; n > 0 {
		t.Errorf("%s to %s: %d requests failed, want 0", name, to, n)
	}
	t.Logf("%s to %s: finished %v before finish_by", name, to, row.FinishBy.Sub(row.EndedAt).Round(time.Millisecond))
}

// badRollout replaces v1 by a bad version and checks that it is rolled back and
// got less than 2% of the requests.
func (c *cluster) badRollout(t *testing.T, name string, fakes []*fake, to string) {
	t.Helper()
	before := requestsByVersion(fakes)
	began := time.Now()
	id := c.startRollout(t, name, "v1", to, rolloutLength)
	row := c.waitOutcome(t, c.daemons[1], id, rolloutLength+5*time.Second)
	stopped, tripped := row.EndedAt, "no trip"
	for _, e := range c.rolloutEvents(c.daemons[1], id) {
		if e.Kind == brtimeline.RolloutTripped {
			stopped = time.Unix(0, e.Stamp.Wall)
			tripped = "outcome " + row.EndedAt.Sub(stopped).Round(time.Millisecond).String() + " after the trip"
		}
	}
	// Later than a second after the trip no request may reach the bad version.
	<-time.After(time.Until(stopped.Add(time.Second)))
	after := requestsByVersion(fakes)
	if row.Outcome != "taken_back" {
		t.Fatalf("%s to %s: rollout %+v, want outcome taken_back\n%s", name, to, row, c.timelineText(c.daemons[1], id))
	}
	c.checkSameOutcome(t, id, c.daemons)
	waitServing(t, fakes, "v1")
	<-time.After(time.Until(stopped.Add(3 * time.Second)))
	if late := requestsByVersion(fakes)[to] - after[to]; late > 0 {
		t.Errorf("%s to %s: %d requests to the bad version later than a second after the trip, want 0", name, to, late)
	}
	bad, all := after[to]-before[to], requestsBetween(before, after)
	share := 100 * float64(bad) / float64(all)
	if share >= 2 {
		t.Errorf("%s to %s: %d of %d requests, %.2f%%, went to the bad version, want less than 2%%\n%s", name, to, bad, all, share, c.timelineText(c.daemons[1], id))
	}
	t.Logf("%s to %s: after %v, %d of %d requests (%.2f%%), %s: %s", name, to, row.EndedAt.Sub(began).Round(100*time.Millisecond), bad, all, share, tripped, row.Reason)
}
