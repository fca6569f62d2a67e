package brcapacity

import (
	"fmt"
	"net"
	"testing"
	"time"

	"bramleyroute/brwire"
)

// Measures what daemons send each other while the control group is lost, when
// each asks all others whether they are confirmed, and what stays of it after
// the control group is back. Links grow with the square of the number.
func TestMeasureQuestions(t *testing.T) {
	for _, n := range []int{5, 10, 16} {
		t.Run(fmt.Sprint("daemons=", n), func(t *testing.T) {
			if !*measure {
				t.Skip("a measurement; needs -measure")
			}
			measureQuestions(t, n)
		})
	}
}

func measureQuestions(t *testing.T, n int) {
	peers, controls, _ := startControl(t, 1)
	f := startFleet(t, n, brwire.RoleEntry, peers)
	o := dialOperator(t, controls[0].Self().PeerAddress)
	end := time.Now().Add(15 * time.Second)
	for len(o.view().Daemons) < n+1 && time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond) // paces the polling only
	}
	m0 := f.ask(memoryOnly)
	if err := controls[0].Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(6 * time.Second) // links are dialled and the rate is down to one question a second
	u0 := f.ask(0)
	time.Sleep(4 * time.Second) // the length of the measurement
	u1 := f.ask(0)
	m1 := f.ask(memoryOnly)
	// Each link is counted at the end that was dialled: in is what one daemon asks
	// and the others' pings, out is the answers and its own pings.
	per, pairs := float64(u1.At-u0.At)/1e9, float64(n*(n-1))
	t.Logf("%d of %d ready; for each ordered pair and second: %.0f B asked, %.0f B answered, %.1f reads, %.1f writes, %.0f us of processor; so a daemon has %.1f KB/s",
		u1.Ready, n, float64(u1.In-u0.In)/per/pairs, float64(u1.Out-u0.Out)/per/pairs, float64(u1.Read-u0.Read)/per/pairs, float64(u1.Writes-u0.Writes)/per/pairs,
		float64((u1.CPU-u0.CPU).Microseconds())/per/pairs, 2*float64(u1.In-u0.In+u1.Out-u0.Out)/per/float64(n)/1000)
	t.Logf("memory for each ordered pair: heap %.0f KiB, stacks %.0f KiB, goroutines %.1f",
		(float64(m1.Heap)-float64(m0.Heap))/1024/pairs, (float64(m1.Stack)-float64(m0.Stack))/1024/pairs, float64(m1.Goroutines-m0.Goroutines)/pairs)
	ln, err := net.Listen("tcp", peers[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	again, err := startDaemon(peers[0].DaemonID, ln, &traffic{}, peers, controls[0].dir, brwire.RoleControl)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	f.until(20*time.Second, "ready again", 0, func(u usage) bool { return u.Ready == n })
	time.Sleep(11 * time.Second) // links for questions only are closed 10 s after the last
	u2 := f.ask(0)
	time.Sleep(3 * time.Second) // the length of the measurement
	u3 := f.ask(0)
	per = float64(u3.At-u2.At) / 1e9
	t.Logf("after the control group's return: %.0f B/s asked and answered for each ordered pair; %.1f goroutines of a daemon, before the loss %.1f",
		float64(u3.In-u2.In+u3.Out-u2.Out)/per/pairs, float64(u3.Goroutines)/float64(n), float64(m0.Goroutines)/float64(n))
}
