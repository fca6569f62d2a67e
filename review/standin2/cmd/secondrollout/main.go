//go:build review

// Command secondrollout is the case of review/9: a bad version is rolled back, and before its
// endpoints have left, a rollout of another version of the service is ordered.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"bramleyroute/review/standin2/world"
)

const (
	durationS = 12
	perSecond = 300
)

func main() {
	record := flag.String("record", "record.txt", "file")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := world.New(*record)
	w.Tolerance = 1
	w.Add(4, 4)
	route := world.Route("lookup", "/lookup/", "unsafe", "desk", 2000)
	route["max_attempts"] = 1
	w.PutConfig(world.Config(1, []map[string]any{route}, []map[string]any{world.Service("desk")}, world.Tenant("t1", "key-1")))
	for i := range 4 {
		w.AddEndpoint(101+i, "desk", &world.Endpoint{Version: "v1", Work: 15 * time.Millisecond, Slots: 6})
	}
	w.AwaitReady(15 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan []world.Answer)
	go func() { done <- w.Load(ctx, perSecond, "/lookup/x", "key-1", 2*time.Second) }()
	time.Sleep(5 * time.Second) // the daemons are in touch

	// The bad version: every fifth of its responses is a failure. Its endpoints start when its
	// rollout is ordered.
	var bad []*world.Endpoint
	order(w, "v2")
	ordered := time.Now()
	var n atomic.Int64
	for i := range 4 {
		e := &world.Endpoint{Version: "v2", Slots: 6}
		e.Handle = func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(15 * time.Millisecond)
			id := r.Header.Get("X-Bramleyroute-Request-Id")
			rw.Header().Set("X-Bramleyroute-Response-Stamp", "stamp-"+id)
			if n.Add(1)%5 == 0 {
				rw.WriteHeader(500)
			}
			fmt.Fprintf(rw, "answer to %s", id)
		}
		bad = append(bad, w.AddEndpoint(111+i, "desk", e))
	}
	for state(w) != "rolled_back" {
		if time.Since(ordered) > durationS*time.Second {
			world.Must(fmt.Errorf("the bad version was not rolled back in time"))
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.Logf("v2 is rolled back %.1f s after its order", time.Since(ordered).Seconds())
	go func() { // "at rolled_back, the new workers drain some seconds later"
		time.Sleep(6 * time.Second)
		w.Logf("the endpoints of v2 begin to leave")
		for _, e := range bad {
			e.Drain()
		}
	}()
	if trouble {
		time.Sleep(500 * time.Millisecond)
		order(w, "v3")
		for i := range 4 {
			w.AddEndpoint(121+i, "desk", &world.Endpoint{Version: "v3", Work: 15 * time.Millisecond, Slots: 6})
		}
	}
	time.Sleep(time.Until(ordered.Add(durationS * time.Second)))
	stop()
	answers := <-done

	all, got := 0, 0
	var perSec [durationS + 1]int
	for _, a := range answers {
		if t := a.SentAt.Sub(ordered).Seconds(); t >= 0 && t < durationS {
			all++
		}
	}
	for _, e := range bad {
		for _, r := range e.AllRuns() {
			if t := r.At.Sub(ordered).Seconds(); t >= 0 && t < durationS {
				got++
				perSec[int(t)]++
			}
		}
	}
	allowed := 0.1*float64(all) + 50
	w.Logf("requests that reached v2 in each second after its order: %v", perSec)
	w.Logf("v2 got %d of %d requests to its service between its order and its deadline; %.0f are allowed; state: %s", got, all, allowed, state(w))
	fmt.Printf("v2 got %d of %d requests, %.0f are allowed; by second: %v\n", got, all, allowed, perSec)
	if float64(got) > allowed {
		w.Logf("RULE BROKEN: EXPOSURE")
		w.End(1)
	}
	w.End(0)
}

// order orders a rollout.
func order(w *world.World, target string) {
	body, _ := json.Marshal(map[string]any{"service": "desk", "target": target, "duration_s": durationS})
	for i := range 20 {
		d := w.Daemons[i%len(w.Daemons)]
		status, text := w.Call("POST", d.Control(), "/-/rollouts", body)
		w.Logf("rollout of %s ordered at %s: %d %s", target, d.Name, status, text)
		if status == 200 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	world.Must(fmt.Errorf("the rollout of %s is not accepted", target))
}

// state returns the state of the latest rollout.
func state(w *world.World) string {
	for _, d := range w.Daemons {
		if status, text := w.Call("GET", d.Control(), "/-/rollouts/desk", nil); status == 200 {
			var r struct{ State, Target string }
			_ = json.Unmarshal([]byte(text), &r)
			return r.State
		}
	}
	return ""
}
