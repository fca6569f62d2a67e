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
	"bramleyroute/brtest"
	"bramleyroute/brtimeline"
)

var rolloutRoutes = []string{"question", "draft", "review"}

// rolloutDocument returns a configuration with three routes for each model. The
// route names start with the name of the model, as in x-question for model x.
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

// rolloutFakes starts n endpoints of a model, which serve version v1, each in a
// failure domain of its own.
func (c *cluster) rolloutFakes(name string, n int, flags ...string) []*fake {
	var list []*fake
	for i := range n {
		all := append([]string{"--model=" + name, "--step-base=4ms", "--load-time=300ms", "--capacity-tokens=4000", "--failure-domain=" + string(rune('a'+i))}, flags...)
		list = append(list, c.addFake(fmt.Sprintf("%s-%d", name, i+1), all...))
	}
	return list
}

// steadyLoad is a load with a constant rate on one model through all entries.
type steadyLoad struct {
	sent, failed atomic.Int64 // numbers of requests
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
				// The prompts differ, so that no endpoint is preferred for its prefix cache.
				cl := call{model: name, route: name + "-" + rolloutRoutes[i%3], prompt: fmt.Sprintf("question %d of a traveller", i)}
				if a := complete(ctx, c.daemons[i%len(c.daemons)].caller, cl); !a.finished && ctx.Err() == nil {
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

// requestsByVersion returns the number of requests that the engines served
// with each version.
func requestsByVersion(list []*fake) map[string]int {
	sum := map[string]int{}
	for _, f := range list {
		for v, n := range f.counts().Versions {
			sum[v] += n
		}
	}
	return sum
}

// requestsBetween returns the number of requests of all versions between two
// results of requestsByVersion.
func requestsBetween(before, after map[string]int) int {
	n := 0
	for v := range after {
		n += after[v] - before[v]
	}
	return n
}

// startRollout starts a rollout that must finish within length and returns its
// ID.
func (c *cluster) startRollout(t *testing.T, name, from, to string, length time.Duration) string {
	t.Helper()
	id := newID()
	brtest.Await(t, 10*time.Second, "rollout accepted", func() bool {
		_, err := callOperator[broperator.StartRollout, broperator.Accepted](c.daemons[0], "POST", broperator.PathRollouts,
			broperator.StartRollout{CommandID: id, Model: name, From: from, To: to, FinishBy: time.Now().Add(length)})
		return err == nil
	})
	return "rollout-" + id
}

// rollout returns a rollout as listed by d, or a zero value if d doesn't list
// it.
func (d *daemon) rollout(id string) (row broperator.Rollout) {
	list, err := callOperator[broperator.Empty, []broperator.Rollout](d, "GET", broperator.PathRollouts, broperator.Empty{})
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

// waitOutcome waits until d lists the outcome of a rollout and returns the
// rollout.
func (c *cluster) waitOutcome(t *testing.T, d *daemon, id string, limit time.Duration) broperator.Rollout {
	t.Helper()
	var row broperator.Rollout
	brtest.Await(t, limit, "outcome of "+id, func() bool { row = d.rollout(id); return row.Outcome != "" })
	return row
}

// rolloutEvents returns the timeline of a rollout, read through d.
func (c *cluster) rolloutEvents(d *daemon, id string) []brtimeline.Event {
	line, _ := callOperator[broperator.TimelineQuery, broperator.Timeline](d, "POST", broperator.PathTimeline,
		broperator.TimelineQuery{Filter: brtimeline.Filter{RolloutID: id}})
	return line.Events
}

// checkSameOutcome waits for the outcome of a rollout, checks that every
// daemon lists the same one and that all RolloutEnded events agree with it,
// and returns the rollout.
func (c *cluster) checkSameOutcome(t *testing.T, id string, at []*daemon) broperator.Rollout {
	t.Helper()
	row := c.waitOutcome(t, at[0], id, 5*time.Second)
	for _, d := range at[1:] {
		if other := c.waitOutcome(t, d, id, 5*time.Second); other != row {
			t.Errorf("rollout %s: %+v through %s, but %+v through %s; want them equal", id, row, at[0].id, other, d.id)
		}
	}
	ended := 0
	for _, e := range c.rolloutEvents(at[0], id) {
		if e.Kind != brtimeline.RolloutEnded {
			continue
		}
		ended++
		want := row.Outcome + ": " + row.Reason
		if e.Reason != want[:min(len(want), brtimeline.MaxTextBytes)] {
			t.Errorf("rollout %s: timeline of %s has outcome %q, want %q", id, e.Process, e.Reason, want)
		}
	}
	if ended == 0 || row.Reason == "" {
		t.Errorf("rollout %s: %d RolloutEnded events, reason %q; want at least one event and a reason", id, ended, row.Reason)
	}
	return row
}

// waitServing waits until all endpoints serve a version.
func waitServing(t *testing.T, list []*fake, version string) {
	t.Helper()
	brtest.Await(t, 20*time.Second, "all endpoints on "+version, func() bool {
		return !slices.ContainsFunc(list, func(f *fake) bool { return f.state().Version != version })
	})
}

// postOrder sends an order and returns the HTTP status of the response.
func (f *fake) postOrder(o brengine.Order) int {
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

// orders returns the orders that an endpoint executed or refused.
func (f *fake) orders() []brfake.OrderRecord { return f.counts().OrderLog }

// controlLeader waits for a control leader and returns it.
func (c *cluster) controlLeader(t *testing.T) *daemon {
	t.Helper()
	return c.controlLeaderOf(t, c.daemons)
}

// controlLeaderOf waits until one of some daemons reports itself as control
// leader and returns it.
func (c *cluster) controlLeaderOf(t *testing.T, at []*daemon) *daemon {
	t.Helper()
	var leader *daemon
	brtest.Await(t, 20*time.Second, "control leader", func() bool {
		for _, d := range at {
			s, err := callOperator[broperator.Empty, broperator.Status](d, "GET", broperator.PathStatus, broperator.Empty{})
			if err == nil && s.Replica != nil && s.Replica.Leader != "" && s.Replica.Leader == s.Replica.ID {
				leader = d
				return true
			}
		}
		return false
	})
	return leader
}

// timelineText returns the timeline of a rollout as text for failure messages.
func (c *cluster) timelineText(d *daemon, id string) string {
	var b strings.Builder
	for _, e := range c.rolloutEvents(d, id) {
		fmt.Fprintf(&b, "%s %s %v %s %s share %d %s %s\n", time.Unix(0, e.Stamp.Wall).Format("05.000"), e.Process, e.Kind, e.EndpointID, e.Route, e.PerMille, e.Detail, e.Reason)
	}
	return b.String()
}

// state returns the state that the endpoint reports, or a zero value if it can't
// be read.
func (f *fake) state() (s brengine.State) {
	res, err := http.Get("http://" + f.address + brengine.PathState)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&s) // callers poll, so a zero state is read again
	return s
}
