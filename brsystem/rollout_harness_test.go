package brsystem

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/broperator"
	"bramleyroute/brtimeline"
)

var rolloutRoutes = []string{"question", "draft", "review"}

// rolloutDocument has a template with three routes for each model. A question of
// model x has the route x-question.
func rolloutDocument(models ...string) *brconfig.Document {
	d := &brconfig.Document{
		Templates: []brconfig.Template{{Name: "visits"}},
		Customers: []brconfig.Customer{{Name: "trust", Template: "visits", Keys: []string{customerKey}}},
	}
	for _, m := range models {
		d.Models = append(d.Models, brconfig.Model{Name: m, Kind: "engine"})
		for i, r := range rolloutRoutes {
			d.Templates[0].Routes = append(d.Templates[0].Routes, brconfig.Route{
				Name: m + "-" + r, Model: m, Tier: i + 1, FirstTokenMS: 150, TokenMS: 28, DeadlineMS: 8000})
		}
	}
	return d
}

// rolloutFakes starts endpoints of a model that serve v1.
func (c *cluster) rolloutFakes(name string, n int, flags ...string) []*fake {
	var list []*fake
	for i := range n {
		all := append([]string{"--model=" + name, "--step-base=4ms", "--load-time=300ms", "--capacity-tokens=4000", "--failure-domain=" + string(rune('a'+i))}, flags...)
		list = append(list, c.addFake(fmt.Sprintf("%s-%d", name, i+1), all...))
	}
	return list
}

// steadyLoad is a load on one model through all entries.
type steadyLoad struct {
	sent, failed atomic.Int64
	cancel       context.CancelFunc
	done         chan struct{}
}

func (c *cluster) steadyLoad(name string, perSecond int) *steadyLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &steadyLoad{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			wg.Go(func() {
				l.sent.Add(1)
				// The prompts differ, so that no endpoint is preferred for its cache.
				cl := call{model: name, route: name + "-" + rolloutRoutes[i%3], prompt: fmt.Sprintf("question %d of a traveller", i)}
				if a := complete(ctx, c.daemons[i%len(c.daemons)].caller, cl); !a.whole && ctx.Err() == nil {
					l.failed.Add(1)
				}
			})
		}
	}()
	return l
}

func (l *steadyLoad) stop() {
	l.cancel()
	<-l.done
}

// byVersion adds up what the engines counted while they served each version.
func byVersion(list []*fake) map[string]int {
	sum := map[string]int{}
	for _, f := range list {
		for v, n := range f.counts().Versions {
			sum[v] += n
		}
	}
	return sum
}

// total adds up the requests since the counts in before.
func total(before, after map[string]int) int {
	n := 0
	for v := range after {
		n += after[v] - before[v]
	}
	return n
}

// within polls until ok. Unlike cluster.eventually it fails the given test.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (c *cluster) startRollout(t *testing.T, name, from, to string, length time.Duration) string {
	t.Helper()
	id := newID()
	within(t, 10*time.Second, "rollout accepted", func() bool {
		_, err := operate[broperator.StartRollout, broperator.Accepted](c.daemons[0], "POST", broperator.PathRollouts,
			broperator.StartRollout{CommandID: id, Model: name, From: from, To: to, FinishBy: time.Now().Add(length)})
		return err == nil
	})
	return "rollout-" + id
}

func (d *daemon) rollout(id string) (row broperator.Rollout) {
	list, err := operate[broperator.Empty, []broperator.Rollout](d, "GET", broperator.PathRollouts, broperator.Empty{})
	if err != nil {
		return row
	}
	for _, r := range list {
		if r.ID == id {
			return r
		}
	}
	return row
}

// rolloutEnd waits for the outcome as d knows it.
func (c *cluster) rolloutEnd(t *testing.T, d *daemon, id string, limit time.Duration) broperator.Rollout {
	t.Helper()
	var row broperator.Rollout
	within(t, limit, "outcome of "+id, func() bool { row = d.rollout(id); return row.Outcome != "" })
	return row
}

func (c *cluster) rolloutEvents(d *daemon, id string) []brtimeline.Event {
	line, _ := operate[broperator.TimelineQuery, broperator.Timeline](d, "POST", broperator.PathTimeline,
		broperator.TimelineQuery{Filter: brtimeline.Filter{RolloutID: id}})
	return line.Events
}

// sameOutcome checks that every daemon and every entry of the timeline has the
// same one outcome.
func (c *cluster) sameOutcome(t *testing.T, id string, at []*daemon) broperator.Rollout {
	t.Helper()
	row := c.rolloutEnd(t, at[0], id, 5*time.Second)
	for _, d := range at[1:] {
		if other := c.rolloutEnd(t, d, id, 5*time.Second); other != row {
			t.Errorf("%s: %+v through %s, %+v through %s", id, row, at[0].id, other, d.id)
		}
	}
	ended := 0
	for _, e := range c.rolloutEvents(at[0], id) {
		if e.Kind != brtimeline.RolloutEnded {
			continue
		}
		ended++
		want := row.Outcome + ": " + row.Reason
		if e.Reason != want[:min(len(want), brtimeline.MaxText)] {
			t.Errorf("%s: timeline of %s has %q, the outcome is %q", id, e.Process, e.Reason, want)
		}
	}
	if ended == 0 || row.Reason == "" {
		t.Errorf("%s: %d ends in the timeline, reason %q", id, ended, row.Reason)
	}
	return row
}

// serving waits until all endpoints serve a version.
func serving(t *testing.T, list []*fake, version string) {
	t.Helper()
	within(t, 20*time.Second, "all endpoints on "+version, func() bool {
		return !slices.ContainsFunc(list, func(f *fake) bool { return f.state().Version != version })
	})
}

// post sends an order and returns the status of the answer.
func (f *fake) post(o brengine.Order) int {
	f.t.Helper()
	b, err := json.Marshal(o)
	if err != nil {
		f.t.Fatal(err)
	}
	res, err := http.Post("http://"+f.address+brengine.PathOrders, "application/json", bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// orders returns the orders that an endpoint carried out or refused.
func (f *fake) orders() []brfake.OrderSeen { return f.counts().OrderLog }

func (c *cluster) controlLeader(t *testing.T) *daemon {
	t.Helper()
	return c.controlLeaderOf(t, c.daemons)
}

// controlLeaderOf returns the leader among some daemons.
func (c *cluster) controlLeaderOf(t *testing.T, at []*daemon) *daemon {
	t.Helper()
	var leader *daemon
	within(t, 20*time.Second, "control leader", func() bool {
		for _, d := range at {
			s, err := operate[broperator.Empty, broperator.Status](d, "GET", broperator.PathStatus, broperator.Empty{})
			if err == nil && s.Replica != nil && s.Replica.Leader != "" && s.Replica.Leader == s.Replica.ID {
				leader = d
				return true
			}
		}
		return false
	})
	return leader
}

// notes returns the timeline of a rollout as text, for failures.
func (c *cluster) notes(d *daemon, id string) string {
	var b strings.Builder
	for _, e := range c.rolloutEvents(d, id) {
		fmt.Fprintf(&b, "%s %s %v %s %s share %d %s %s\n", time.Unix(0, e.Stamp.Wall).Format("05.000"), e.Process, e.Kind, e.EndpointID, e.Route, e.PerMille, e.Detail, e.Reason)
	}
	return b.String()
}

func (f *fake) state() (s brengine.State) {
	res, err := http.Get("http://" + f.address + brengine.PathState)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&s) // an empty state is waited over
	return s
}
