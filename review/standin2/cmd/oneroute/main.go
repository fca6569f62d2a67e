//go:build review

// Command oneroute is the case of review/10: a rollout of a version that is bad on one route
// only, which gets a small part of the traffic of its service.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/review/standin2/world"
)

const durationS = 12

func main() {
	record := flag.String("record", "record.txt", "file")
	lookups := flag.Int("lookups", 260, "requests a second on the sound route")
	bookings := flag.Int("bookings", 4, "requests a second on the bad route")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := world.New(*record)
	w.Tolerance = 1
	w.Add(4, 4)
	w.PutConfig(world.Config(1,
		[]map[string]any{world.Route("lookup", "/lookup/", "safe", "desk", 2000), world.Route("book", "/book/", "unsafe", "desk", 2000)},
		[]map[string]any{world.Service("desk")}, world.Tenant("t1", "key-1")))
	for i := range 4 {
		w.AddEndpoint(101+i, "desk", &world.Endpoint{Version: "v1", Work: 15 * time.Millisecond, Slots: 6})
	}
	w.AwaitReady(15 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var answers []world.Answer
	var loads sync.WaitGroup
	for path, perSecond := range map[string]int{"/lookup/x": *lookups, "/book/x": *bookings} {
		loads.Go(func() {
			got := w.Load(ctx, perSecond, path, "key-1", 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got...)
		})
	}
	time.Sleep(5 * time.Second) // the daemons are in touch

	body, _ := json.Marshal(map[string]any{"service": "desk", "target": "v2", "duration_s": durationS})
	var ordered time.Time
	for i := 0; ordered.IsZero(); i++ {
		if status, _ := w.Call("POST", w.Daemons[i%4].Control(), "/-/rollouts", body); status == 200 {
			ordered = time.Now()
		}
	}
	w.Logf("the rollout of v2 is acknowledged")
	var endpoints []*world.Endpoint
	var n, bad atomic.Int64
	for i := range 4 {
		e := &world.Endpoint{Version: "v2", Slots: 6}
		e.Handle = func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(15 * time.Millisecond)
			id := r.Header.Get("X-Bramleyroute-Request-Id")
			rw.Header().Set("X-Bramleyroute-Response-Stamp", "stamp-"+id)
			if trouble && strings.HasPrefix(r.URL.Path, "/book/") && n.Add(1)%3 == 0 {
				bad.Add(1)
				w.Logf("v2 fails %s", id)
				rw.WriteHeader(500)
			}
			fmt.Fprintf(rw, "answer to %s", id)
		}
		endpoints = append(endpoints, w.AddEndpoint(111+i, "desk", e))
	}
	last := ""
	for time.Since(ordered) < durationS*time.Second {
		if s := state(w); s != last {
			w.Logf("the rollout is %s", s)
			last = s
		}
		time.Sleep(100 * time.Millisecond)
	}
	stop()
	loads.Wait()

	all, got := 0, 0
	var perSec [durationS + 1]int
	for _, a := range answers {
		if t := a.SentAt.Sub(ordered).Seconds(); t >= 0 && t < durationS {
			all++
		}
	}
	for _, e := range endpoints {
		for _, r := range e.AllRuns() {
			if t := r.At.Sub(ordered).Seconds(); t >= 0 && t < durationS {
				got++
				perSec[int(t)]++
			}
		}
	}
	allowed := 0.1*float64(all) + 50
	line := fmt.Sprintf("v2 got %d of %d requests to its service between its order and its deadline, %.0f are allowed to a bad version; %d bad answers; the rollout is %s; by second: %v",
		got, all, allowed, bad.Load(), last, perSec)
	w.Logf("%s", line)
	fmt.Println(line)
	switch {
	case !trouble && last != "succeeded":
		w.Logf("a good version has not succeeded")
		w.End(1)
	case trouble && float64(got) > allowed:
		w.Logf("RULE BROKEN: EXPOSURE")
		w.End(1)
	}
	w.End(0)
}

// state returns the state of the rollout.
func state(w *world.World) string {
	for _, d := range w.Daemons {
		if status, text := w.Call("GET", d.Control(), "/-/rollouts/desk", nil); status == 200 {
			var r struct{ State string }
			_ = json.Unmarshal([]byte(text), &r)
			return r.State
		}
	}
	return ""
}
