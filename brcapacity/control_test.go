package brcapacity

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// document returns a configuration with 4 models and the given number of
// customers, which is 860 at the size of the target.
func document(customers int) *brconfig.Document {
	d := &brconfig.Document{}
	var routes []brconfig.Route
	for i := range 4 {
		m := fmt.Sprint("model-", i)
		d.Models = append(d.Models, brconfig.Model{Name: m, Kind: "engine"})
		routes = append(routes, brconfig.Route{Name: fmt.Sprint("route-", i), Model: m, Tier: 1 + i, FirstTokenMS: 400, DeadlineMS: 60_000})
	}
	d.Templates = []brconfig.Template{{Name: "t", Routes: routes}}
	for i := range customers {
		tier := 1 + i%5
		d.Customers = append(d.Customers, brconfig.Customer{Name: fmt.Sprintf("customer-%03d", i), Template: "t", Weight: 1,
			Keys: []string{fmt.Sprintf("key-of-customer-%027d", i)}, Parameters: []brconfig.Parameters{{Route: "route-0", Tier: &tier}}})
	}
	return d
}

// change sets another weight of one customer and returns the revision of the
// change.
func (o operator) change(i int) uint64 {
	v := o.view()
	c := v.Configuration.Customers[i%len(v.Configuration.Customers)]
	c.Weight = 1 + i%7 + 7*(i/7%2)
	return o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{
		Expected: v.ConfigurationRevision, Change: &brconfig.Change{Customers: []brconfig.Customer{c}}}}).Revision
}

// Measures heartbeats and changes with different numbers of watchers. The three
// control replicas run in this process and the watchers in a child process.
func TestMeasureControl(t *testing.T) {
	for _, k := range []struct {
		kind brwire.Role
		n    int
	}{{roleLight, 10}, {roleLight, 50}, {roleLight, 100}, {roleLight, 400}, {brwire.RoleEntry, 10}, {brwire.RoleEntry, 50}, {brwire.RoleEntry, 100}} {
		t.Run(fmt.Sprintf("%s=%d", k.kind, k.n), func(t *testing.T) {
			if !*measure {
				t.Skip("measurement, runs only with -measure")
			}
			measureControl(t, k.kind, k.n)
		})
	}
}

func measureControl(t *testing.T, kind brwire.Role, n int) {
	peers, controls, counters := startControl(t, 3)
	started := time.Now()
	f := startFleet(t, n, kind, peers)
	f.until(20*time.Second, "all ready", 0, func(u usage) bool { return u.Ready == n })
	ready := time.Since(started)
	o := dialOperator(t, controls[0].Self().PeerAddress)
	want := 3 + n
	if kind == roleLight {
		want = 3 + sharedDaemonIDs
	}
	for len(o.view().Daemons) < want && time.Since(started) < 28*time.Second {
		time.Sleep(50 * time.Millisecond) // polling interval
	}
	registered, took := len(o.view().Daemons), time.Since(started)
	t.Logf("all ready after %.1f s; %d registered after %.1f s (%.0f ms each)", ready.Seconds(), registered, took.Seconds(), took.Seconds()*1000/float64(registered))
	o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Expected: o.view().ConfigurationRevision, Document: document(860)}})

	idle := measureIdle(t, f, counters, n)
	const changes = 10
	var worst, sum, acceptance time.Duration
	before := currentCost(f, counters)
	for i := range changes {
		at := time.Now()
		r := o.change(i)
		acceptance += time.Since(at)
		u := f.until(5*time.Second, "change applied", r, func(u usage) bool { return u.Applied == n })
		d := time.Duration(u.AppliedAt - at.UnixNano())
		worst, sum = max(worst, d), sum+d
	}
	c := currentCost(f, counters).minus(before).minus(idle.scaledTo(currentCost(f, counters).at - before.at))
	t.Logf("change: accepted after %v, applied by all watchers after %v (mean) and %v (maximum); in addition to the idle load: replicas %.2f ms of processor time and %.0f B sent, a watcher %.2f ms and %.0f B received",
		acceptance/changes, sum/changes, worst, c.replicas*1000/changes, c.out/changes, c.fleet*1000/changes/float64(n), c.out/changes/float64(n))
	m := f.readUsage(memoryOnly)
	t.Logf("memory of a watcher: heap %d KiB, stacks %d KiB, %d goroutines", m.Heap/1024/uint64(n), m.Stack/1024/uint64(n), m.Goroutines/n)
}

// cost is the consumption until a time: the time and the processor time of the
// replicas and the fleet in seconds, and the bytes and writes on the replicas'
// listeners.
type cost struct{ at, replicas, fleet, in, out, writes float64 }

// currentCost returns the consumption until now.
func currentCost(f *fleet, counters *traffic) cost {
	u := f.readUsage(0)
	return cost{float64(u.At) / 1e9, processorTime().Seconds(), u.CPU.Seconds(), float64(counters.in.Load()), float64(counters.out.Load()), float64(counters.writes.Load())}
}

func (c cost) minus(o cost) cost {
	return cost{c.at - o.at, c.replicas - o.replicas, c.fleet - o.fleet, c.in - o.in, c.out - o.out, c.writes - o.writes}
}

// scaledTo scales c linearly to a number of seconds.
func (c cost) scaledTo(seconds float64) cost {
	k := seconds / c.at
	return cost{seconds, c.replicas * k, c.fleet * k, c.in * k, c.out * k, c.writes * k}
}

// measureIdle measures 4 s without changes and returns the cost per second.
func measureIdle(t *testing.T, f *fleet, counters *traffic, n int) cost {
	before := currentCost(f, counters)
	time.Sleep(4 * time.Second) // duration of the measurement
	c := currentCost(f, counters).minus(before).scaledTo(1)
	t.Logf("idle, per second: a watcher %.3f%% of a core; the three replicas %.2f%% of a core, %.0f B in, %.0f B out, %.1f writes; per watcher %.0f B in, %.0f B out",
		100*c.fleet/float64(n), 100*c.replicas, c.in, c.out, c.writes, c.in/float64(n), c.out/float64(n))
	return c
}
