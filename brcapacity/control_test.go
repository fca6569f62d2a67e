package brcapacity

import (
	"fmt"
	"testing"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// document is a configuration of the target's size: 860 customers, 4 models.
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

// change puts another weight of one customer and returns its revision.
func (o operator) change(i int) uint64 {
	v := o.view()
	c := v.Configuration.Customers[i%len(v.Configuration.Customers)]
	c.Weight = 1 + i%7 + 7*(i/7%2)
	return o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{
		Expected: v.ConfigurationRevision, Change: &brconfig.Change{Customers: []brconfig.Customer{c}}}}).Revision
}

// Measures heartbeats and changes at several numbers of daemons, with three
// control replicas in this process and the daemons in a child.
func TestMeasureControl(t *testing.T) {
	for _, n := range []int{10, 50, 100, 400} {
		t.Run(fmt.Sprint("daemons=", n), func(t *testing.T) {
			if !*measure {
				t.Skip("a measurement; needs -measure")
			}
			measureControl(t, n)
		})
	}
}

func measureControl(t *testing.T, n int) {
	peers, controls, seen := startControl(t, 3)
	started := time.Now()
	f := startFleet(t, n, brwire.RoleEntry, peers)
	f.until(20*time.Second, "all ready", 0, func(u usage) bool { return u.Ready == n })
	ready := time.Since(started)
	o := dialOperator(t, controls[0].Self().PeerAddress)
	for len(o.view().Daemons) < n+3 && time.Since(started) < 22*time.Second {
		time.Sleep(100 * time.Millisecond) // paces the polling only
	}
	registered, took := len(o.view().Daemons), time.Since(started)
	o.propose(brstate.Command{PutConfiguration: &brstate.PutConfiguration{Expected: o.view().ConfigurationRevision, Document: document(860)}})

	const idle = 4 * time.Second
	u0, cpu0, in0, out0, w0 := f.ask(0), processorTime(), seen.in.Load(), seen.out.Load(), seen.writes.Load()
	time.Sleep(idle) // the length of the measurement
	u1, cpu1 := f.ask(0), processorTime()
	per := float64(u1.At-u0.At) / 1e9
	t.Logf("n=%d ready in %.1f s; %d registered after %.1f s (%.0f ms each)", n, ready.Seconds(), registered, took.Seconds(), took.Seconds()*1000/float64(registered))
	t.Logf("n=%d idle, with %d registrations going on: a daemon %.3f%% of a core; three replicas %.2f%% of a core; per daemon %.0f B/s up, %.0f B/s down (incl. replicas' own), %.1f writes/s of the replicas",
		n, len(o.view().Daemons)-registered, 100*(u1.CPU-u0.CPU).Seconds()/per/float64(n), 100*(cpu1-cpu0).Seconds()/per,
		float64(seen.in.Load()-in0)/per/float64(n), float64(seen.out.Load()-out0)/per/float64(n), float64(seen.writes.Load()-w0)/per)

	const changes = 10
	var worst, sum, answer time.Duration
	cpu2, u2, out2 := processorTime(), f.ask(0), seen.out.Load()
	t2 := time.Now()
	for i := range changes {
		at := time.Now()
		r := o.change(i)
		answer += time.Since(at)
		u := f.until(5*time.Second, "in force", r, func(u usage) bool { return u.Applied == n })
		d := time.Duration(u.AppliedAt - at.UnixNano())
		worst, sum = max(worst, d), sum+d
	}
	took = time.Since(t2)
	u3, cpu3 := f.ask(0), processorTime()
	idleCPU := time.Duration(float64(cpu1-cpu0) * took.Seconds() / per)
	idleOut := float64(out2-out0) / per * took.Seconds()
	t.Logf("n=%d change: answered after %v, at all daemons after %v (mean) %v (worst); replicas %v of processor beyond idle for each change; a daemon %v with idle; %.0f B a daemon beyond idle",
		n, answer/changes, sum/changes, worst, (cpu3-cpu2-idleCPU)/changes, (u3.CPU-u2.CPU)/changes/time.Duration(n), (float64(seen.out.Load()-out2)-idleOut)/changes/float64(n))
	m := f.ask(memoryOnly)
	t.Logf("n=%d memory of a daemon: heap %d KiB, stacks %d KiB, %d goroutines", n, m.Heap/1024/uint64(n), m.Stack/1024/uint64(n), m.Goroutines/n)
}
