package brcapacity

import (
	"fmt"
	"net"
	"testing"
	"time"

	"bramleyroute/brwire"
)

// Measures the traffic between daemons while the control group is lost, when
// each daemon queries all others whether they are confirmed, and the traffic
// that remains after the control group is restored. The number of links grows
// with the square of the number of daemons.
func TestMeasureQueries(t *testing.T) {
	for _, n := range []int{5, 10, 16} {
		t.Run(fmt.Sprint("daemons=", n), func(t *testing.T) {
			if !*measure {
				t.Skip("measurement, runs only with -measure")
			}
			measureQueries(t, n)
		})
	}
}

func measureQueries(t *testing.T, n int) {
	peers, controls, _ := startControl(t, 1)
	f := startFleet(t, n, brwire.RoleEntry, peers)
	o := dialOperator(t, controls[0].Self().PeerAddress)
	end := time.Now().Add(15 * time.Second)
	for len(o.view().Daemons) < n+1 && time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond) // polling interval
	}
	m0 := f.readUsage(memoryOnly)
	if err := controls[0].Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second) // by then the links are dialed and the rate has dropped to one query per second
	u0 := f.readUsage(0)
	time.Sleep(4 * time.Second) // duration of the measurement
	u1 := f.readUsage(0)
	m1 := f.readUsage(memoryOnly)
	// Each link is counted at the dialed end: In has the queries and pings of the
	// dialing daemon, Out the replies and pings of the dialed one.
	seconds, pairs := float64(u1.At-u0.At)/1e9, float64(n*(n-1))
	t.Logf("%d of %d ready; per ordered pair and second: %.0f B of queries, %.0f B of replies, %.1f reads, %.1f writes, %.0f us of processor time; total per daemon %.1f KB/s",
		u1.Ready, n, float64(u1.In-u0.In)/seconds/pairs, float64(u1.Out-u0.Out)/seconds/pairs, float64(u1.Read-u0.Read)/seconds/pairs, float64(u1.Writes-u0.Writes)/seconds/pairs,
		float64((u1.CPU-u0.CPU).Microseconds())/seconds/pairs, 2*float64(u1.In-u0.In+u1.Out-u0.Out)/seconds/float64(n)/1000)
	t.Logf("memory per ordered pair: heap %.0f KiB, stacks %.0f KiB, goroutines %.1f",
		(float64(m1.Heap)-float64(m0.Heap))/1024/pairs, (float64(m1.Stack)-float64(m0.Stack))/1024/pairs, float64(m1.Goroutines-m0.Goroutines)/pairs)
	ln, err := net.Listen("tcp", peers[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	restarted, err := startDaemon(peers[0].DaemonID, ln, &traffic{}, peers, controls[0].dir, brwire.RoleControl)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	f.until(20*time.Second, "ready again", 0, func(u usage) bool { return u.Ready == n })
	time.Sleep(11 * time.Second) // links used only for queries are closed 10 s after the last query
	u2 := f.readUsage(0)
	time.Sleep(3 * time.Second) // duration of the measurement
	u3 := f.readUsage(0)
	seconds = float64(u3.At-u2.At) / 1e9
	t.Logf("after the control group was restored: %.0f B/s of queries and replies per ordered pair; %.1f goroutines per daemon, before the loss %.1f",
		float64(u3.In-u2.In+u3.Out-u2.Out)/seconds/pairs, float64(u3.Goroutines)/float64(n), float64(m0.Goroutines)/float64(n))
}
