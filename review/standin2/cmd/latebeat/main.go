//go:build review

// Command latebeat is the case of review/6: a worker that leaves is acknowledged, all processes of
// the core are killed and are back within a second, and a heartbeat that the worker had sent
// before arrives late.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"bramleyroute/review/standin2/world"
)

func main() {
	record := flag.String("record", "record.txt", "file")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := world.New(*record)
	w.Tolerance = 1
	w.Add(4, 4)
	w.PutConfig(world.Config(1, []map[string]any{world.Route("lookup", "/lookup/", "unsafe", "desk", 2000)},
		[]map[string]any{world.Service("desk")}, world.Tenant("t1", "key-1")))
	for i := range 2 {
		w.AddEndpoint(101+i, "desk", &world.Endpoint{Work: 15 * time.Millisecond, Slots: 6})
	}
	leaver := w.AddEndpoint(103, "desk", &world.Endpoint{Work: 15 * time.Millisecond, Slots: 6})
	w.AwaitReady(15 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan []world.Answer)
	go func() { done <- w.Load(ctx, 120, "/lookup/x", "key-1", 2*time.Second) }()
	time.Sleep(5 * time.Second) // the daemons are in touch

	// The worker is one of those that never report draining: it sends DELETE, goes on serving and
	// exits. Its last heartbeat is still on its way.
	late := leaver.Body()
	leaver.StopBeating()
	var gone time.Time
	for i := 0; gone.IsZero(); i++ {
		d := w.Daemons[i%4]
		if status, _ := w.Call("DELETE", d.Control(), "/-/instances/"+leaver.ID, nil); status/100 == 2 {
			gone = time.Now()
			w.Logf("%s has acknowledged that %s is gone", d.Name, leaver.ID)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.Logf("all processes are killed")
		var wg sync.WaitGroup
		for _, d := range w.Daemons {
			wg.Go(d.Kill)
		}
		wg.Wait()
		time.Sleep(700 * time.Millisecond)
		for _, d := range w.Daemons {
			d.Start()
		}
	}
	time.Sleep(time.Until(gone.Add(2500 * time.Millisecond)))
	for i := range w.Daemons {
		status, _ := w.Call("PUT", w.Daemons[i].Control(), "/-/instances/"+leaver.ID, late)
		w.Logf("the late heartbeat arrives at %s: %d", w.Daemons[i].Name, status)
		if status/100 == 2 {
			break
		}
	}
	touch := gone.Add(1500 * time.Millisecond).Add(3 * time.Second) // contact_ms after the processes are back
	time.Sleep(time.Until(gone.Add(10 * time.Second)))              // until then the worker goes on serving
	stop()
	answers := <-done
	sent := map[string]time.Time{}
	for _, a := range answers {
		sent[a.ID] = a.SentAt
	}
	n := 0
	for _, r := range leaver.AllRuns() {
		if sent[r.ID].After(touch) {
			n++
		}
	}
	w.Logf("%d requests that were sent later than 4.5 s after the acknowledgement, by machines in touch, reached %s; none may later than 2 s", n, leaver.ID)
	fmt.Printf("%d requests reached the worker that had gone, of %d sent in all\n", n, len(answers))
	if n > 0 {
		w.Logf("RULE BROKEN: DRAIN")
		w.End(1)
	}
	w.End(0)
}
